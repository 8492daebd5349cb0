"""Write a result as a table in Markdown and a plot in SVG."""

from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from pygal.graph.xy import XY

from catkinhollow.generated.bench import BenchResult
from catkinhollow.testbed.fits import DESIGN_SIZE, fit_all
from catkinhollow.testbed.results import Cell, gather

# The plot library carries no type annotations.
_xy: Any = XY

MEBIBYTE = 1024 * 1024

# Figures of each kind of experiment that share a unit and make one plot.
PLOTTED = {
    "hop": ("added_p50_per_daemon_ms", "added_p99_per_daemon_ms"),
    "convergence": ("delay_p50_ms", "delay_p99_ms", "last_daemon_median_ms"),
    "rest": ("peer_median_bytes_per_s", "peer_max_bytes_per_s"),
    "storm": ("ready_p50_ms", "ready_max_ms"),
    "domain": (
        "served_before_percent",
        "served_during_percent",
        "served_after_percent",
    ),
    "move": ("reached_percent",),
}
# These say how a figure was measured and are no function of the size.
# Only these kinds measure how a figure grows with the number of daemons.
FITTED = {"convergence", "rest", "storm"}
NOT_FITTED = {"load_average", "pairs", "failed", "restarted"}


def write_report(result: BenchResult, directory: Path) -> list[Path]:
    """Write both files and return their paths."""
    text = directory / f"{result.experiment}.md"
    plot = directory / f"{result.experiment}.svg"
    text.write_text(make_markdown(result))
    plot.write_text(make_plot(result))
    return [text, plot]


def make_markdown(result: BenchResult) -> str:
    """Return the tables of a result."""
    return "\n".join([*_head(result), *_tables(result)]) + "\n"


def make_plot(result: BenchResult) -> str:
    """Return a plot of the main figures against the size."""
    cells = gather(result.points)
    chart = _xy(
        title=result.settings.description,
        x_title="daemons",
        js=[],
        disable_xml_declaration=True,
    )
    for series in _series(result):
        for figure in PLOTTED[kind_of(result)]:
            points = [
                (cell.size, median(values))
                for cell, values in sorted(cells.items())
                if (cell.series, cell.figure) == (series, figure)
            ]
            if points:
                chart.add(f"{series}: {figure}", points)
    rendered: str = chart.render()
    return rendered


def kind_of(result: BenchResult) -> str:
    """Return the name of the plan that the experiment has."""
    return next(kind for kind in PLOTTED if getattr(result.settings, kind) is not None)


def _head(result: BenchResult) -> Iterator[str]:
    machine = result.machine
    load = ", ".join(f"{value:.1f}" for value in machine.load_average)
    settings = result.settings
    yield f"# {result.experiment}"
    yield ""
    yield f"{settings.description}."
    yield ""
    yield f"- command: `catkinhollow bench run {result.experiment}`"
    yield f"- commit: {result.commit}, started {result.started}"
    yield f"- repeats: {settings.repeat}, seed {settings.seed}"
    if not result.complete:
        yield "- the run did not come to its end"
    yield (
        f"- machine: {machine.cores} cores, {machine.memory_bytes / MEBIBYTE:.0f} MiB,"
        f" kernel {machine.kernel}, Python {machine.python}"
    )
    yield f"- load average at the start: {load}"


def _tables(result: BenchResult) -> Iterator[str]:
    # The size of a hop experiment is the length of a chain, not of a fleet.
    cells = gather(result.points)
    for series in _series(result):
        own = {cell: values for cell, values in cells.items() if cell.series == series}
        yield ""
        yield f"## {series}"
        yield ""
        yield "Median over the repeats, with the extremes where they differ."
        yield ""
        yield from _value_table(own)
        if kind_of(result) in FITTED:
            yield from _fit_table(own)


def _value_table(cells: Mapping[Cell, Sequence[float]]) -> Iterator[str]:
    sizes = sorted({cell.size for cell in cells})
    yield _row(["figure", *(f"{size} daemons" for size in sizes)])
    yield _row(["---"] + ["---:"] * len(sizes))
    for figure in _figures(cells):
        values = [_values(cells, figure, size) for size in sizes]
        yield _row([figure, *(_summary(item) for item in values)])


def _fit_table(cells: Mapping[Cell, Sequence[float]]) -> Iterator[str]:
    rows = []
    for figure in _figures(cells):
        if figure in NOT_FITTED:
            continue
        points = [
            (cell.size, value)
            for cell, values in cells.items()
            if cell.figure == figure
            for value in values
        ]
        if len({value for _, value in points}) == 1:
            continue
        for fit in fit_all(points):
            numbers = (fit.slope, fit.intercept, fit.r_squared, fit.at_design_size)
            rows.append(_row([figure, fit.scale, *map(_number, numbers)]))
    if rows:
        yield ""
        yield f"Straight lines through the repeats, carried to N = {DESIGN_SIZE}:"
        yield ""
        yield _row(["figure", "scale", "slope", "intercept", "R²", f"at {DESIGN_SIZE}"])
        yield _row(["---", "---"] + ["---:"] * 4)
        yield from rows


def _series(result: BenchResult) -> list[str]:
    return list(dict.fromkeys(point.series for point in result.points))


def _figures(cells: Mapping[Cell, Sequence[float]]) -> list[str]:
    return list(dict.fromkeys(cell.figure for cell in cells))


def _values(
    cells: Mapping[Cell, Sequence[float]], figure: str, size: int
) -> Sequence[float]:
    for cell, values in cells.items():
        if (cell.figure, cell.size) == (figure, size):
            return values
    return []


def _summary(values: Sequence[float]) -> str:
    if not values:
        return "-"
    middle = _number(median(values))
    low, high = _number(min(values)), _number(max(values))
    return middle if low == high else f"{middle} ({low} to {high})"


def _number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:.0f}"
    return f"{value:.4g}"


def _row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
