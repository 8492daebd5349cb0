"""Run the tests except those listed in KNOWN-RED.txt."""

import os
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# With more workers the tests that start processes wait for each other.
MAX_WORKERS = 8


def read_known_red() -> list[str]:
    """Return the pytest node ids of the entries in KNOWN-RED.txt."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    ]


def main() -> int:
    """Run pytest and print each test that is deselected."""
    known_red = read_known_red()
    for node_id in known_red:
        print(f"known red, not run: {node_id}")
    deselect = [f"--deselect={node_id}" for node_id in known_red]
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    parallel = ["-n", str(workers), "--dist", "worksteal"]
    return int(pytest.main([*parallel, *deselect, *sys.argv[1:]]))


if __name__ == "__main__":
    sys.exit(main())
