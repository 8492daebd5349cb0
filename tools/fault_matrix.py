"""Run the fault matrix and write docs/fault-matrix.md.

Run it as `python -m tools.fault_matrix` from the root of the repository.
"""

import re
import sys
from collections import defaultdict
from pathlib import Path

import pytest

from tests.fault_table import FAULTS, NOT_APPLICABLE, STEPS

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "fault-matrix.md"
TEST_FILES = [
    str(ROOT / "tests" / f"test_fault_{name}.py")
    for name in ("orders", "configuration", "moves", "cold_start")
]
CELL_PATTERN = re.compile(r"\[(?P<cell>.+)-\d+\]$")

Cell = tuple[str, str]


class Recorder:
    """Record the results of the tests of each cell."""

    def __init__(self) -> None:
        self.cells: dict[Cell, list[bool]] = defaultdict(list)

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the result of a test."""
        if report.when == "call" or report.failed:
            self.cells[_parse_cell(report.nodeid)].append(report.passed)


def _parse_cell(node_id: str) -> Cell:
    match = CELL_PATTERN.search(node_id)
    assert match, node_id
    text = match["cell"]
    return next(
        (text.removeprefix(f"{step}-"), step)
        for step in STEPS
        if text.removeprefix(f"{step}-") in FAULTS
    )


def run_tests() -> dict[Cell, list[bool]]:
    """Run the tests and return the results by cell."""
    recorder = Recorder()
    pytest.main(TEST_FILES, plugins=[recorder])
    return recorder.cells


def render(cells: dict[Cell, list[bool]]) -> str:
    """Return the text of the page for the results."""
    reasons = {
        reason: number
        for number, reason in enumerate(dict.fromkeys(NOT_APPLICABLE.values()), 1)
    }
    passed = sum(all(results) for results in cells.values())
    lines = [
        "# Fault matrix",
        "",
        "Written by `python -m tools.fault_matrix`; do not edit. Rows are faults,",
        "columns are steps. A cell holds the number of its tests that passed, or",
        "**red** with the number that failed, or in brackets the number of the",
        "reason why the fault does not apply to the step.",
        "",
        f"{passed} cells passed, {len(cells) - passed} red, "
        f"{len(NOT_APPLICABLE)} not applicable; "
        f"{sum(map(len, cells.values()))} tests.",
        "",
        "| fault | " + " | ".join(STEPS.values()) + " |",
        "| --- |" + " --- |" * len(STEPS),
    ]
    for fault, title in FAULTS.items():
        texts = [_format_cell(cells, reasons, (fault, step)) for step in STEPS]
        lines.append(f"| {title} | " + " | ".join(texts) + " |")
    lines += ["", "Not applicable because:", ""]
    lines += [f"{number}. {reason}" for reason, number in reasons.items()]
    return "\n".join(lines) + "\n"


def _format_cell(
    cells: dict[Cell, list[bool]], reasons: dict[str, int], cell: Cell
) -> str:
    if cell in NOT_APPLICABLE:
        return f"({reasons[NOT_APPLICABLE[cell]]})"
    results = cells.get(cell, [])
    failed = results.count(False)
    if failed or not results:
        return f"**red** {failed}"
    return str(len(results))


def main() -> int:
    """Run every cell, write the page and return 1 if a cell is red."""
    cells = run_tests()
    PAGE.write_text(render(cells))
    return int(any(not all(results) or not results for results in cells.values()))


if __name__ == "__main__":
    sys.exit(main())
