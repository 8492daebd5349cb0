"""Read benchmark results and group their points."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from pathlib import Path
from statistics import median

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.codec import decode_json
from catkinhollow.errors import Problem
from catkinhollow.generated.bench import BenchResult, Point


@frozen(kw_only=True, order=True)
class FigureKey:
    """Identify one figure of one series at one size."""

    series: str
    size: int
    figure: str


def read_results(path: Path) -> Result[list[BenchResult], list[Problem]]:
    """Return the results of a file or of all files in a directory.

    The errors name every file that cannot be read or decoded.
    """
    files = sorted(path.glob("*.json")) if path.is_dir() else [path]
    results, problems = [], []
    for file in files:
        try:
            data = file.read_bytes()
        except OSError as error:
            problems.append(_problem(file, str(error.strerror)))
            continue
        decoded = decode_json(data, BenchResult)
        if decoded.is_error():
            problems.append(_problem(file, decoded.error.reason))
        else:
            results.append(decoded.ok)
    if not files:
        problems.append(_problem(path, "the directory holds no results"))
    return Error(problems) if problems else Ok(results)


def group_values(points: Iterable[Point]) -> Mapping[FigureKey, list[float]]:
    """Return the values of all repeats by figure."""
    grouped: dict[FigureKey, list[float]] = defaultdict(list)
    for point in points:
        for figure, value in point.figures.items():
            key = FigureKey(series=point.series, size=point.size, figure=figure)
            grouped[key].append(value)
    return grouped


def compute_medians(points: Iterable[Point]) -> Mapping[FigureKey, float]:
    """Return the median over the repeats by figure."""
    return {key: median(values) for key, values in group_values(points).items()}


def _problem(path: Path, reason: str) -> Problem:
    return Problem(path="", reason=reason, file=str(path))
