"""Write a benchmark result as Markdown tables and an SVG plot."""

from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from statistics import median
from typing import Any

from pygal.graph.xy import XY

from catkinhollow.generated.bench import BenchResult
from catkinhollow.testbed.fits import DESIGN_SIZE, fit_all
from catkinhollow.testbed.results import FigureKey, group_values

# The plot library has no type annotations.
_xy: Any = XY

MEBIBYTE = 1024 * 1024

# The plotted figures of each kind of experiment; they share a unit.
PLOTTED_FIGURES = {
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
# Only these kinds measure how a figure grows with the number of daemons.
FITTED_KINDS = {"convergence", "rest", "storm"}
# These figures describe the measurement and do not depend on the size.
UNFITTED_FIGURES = {"load_average", "pairs", "failed", "restarted"}


def write_report(result: BenchResult, directory: Path) -> list[Path]:
    """Write the tables and the plot, and return the paths."""
    text = directory / f"{result.experiment}.md"
    plot = directory / f"{result.experiment}.svg"
    text.write_text(make_markdown(result))
    plot.write_text(make_plot(result))
    return [text, plot]


def make_markdown(result: BenchResult) -> str:
    """Return the tables of a result in Markdown."""
    return "\n".join([*_header_lines(result), *_table_lines(result)]) + "\n"


def make_plot(result: BenchResult) -> str:
    """Return an SVG plot of the main figures by size."""
    grouped = group_values(result.points)
    chart = _xy(
        title=result.settings.description,
        x_title="daemons",
        js=[],
        disable_xml_declaration=True,
    )
    for series in _list_series(result):
        for figure in PLOTTED_FIGURES[kind_of(result)]:
            points = [
                (key.size, median(values))
                for key, values in sorted(grouped.items())
                if (key.series, key.figure) == (series, figure)
            ]
            if points:
                chart.add(f"{series}: {figure}", points)
    rendered: str = chart.render()
    return rendered


def kind_of(result: BenchResult) -> str:
    """Return the kind of the experiment."""
    return next(
        kind for kind in PLOTTED_FIGURES if getattr(result.settings, kind) is not None
    )


def _header_lines(result: BenchResult) -> Iterator[str]:
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
        yield "- the run did not complete"
    yield (
        f"- machine: {machine.cores} cores, {machine.memory_bytes / MEBIBYTE:.0f} MiB,"
        f" kernel {machine.kernel}, Python {machine.python}"
    )
    yield f"- load average at the start: {load}"


def _table_lines(result: BenchResult) -> Iterator[str]:
    # The size of a hop experiment is the length of a chain, not of a fleet.
    grouped = group_values(result.points)
    for series in _list_series(result):
        series_values = {
            key: values for key, values in grouped.items() if key.series == series
        }
        yield ""
        yield f"## {series}"
        yield ""
        yield "Median over the repeats, with the extremes where they differ."
        yield ""
        yield from _value_table_lines(series_values)
        if kind_of(result) in FITTED_KINDS:
            yield from _fit_table_lines(series_values)


def _value_table_lines(grouped: Mapping[FigureKey, Sequence[float]]) -> Iterator[str]:
    sizes = sorted({key.size for key in grouped})
    yield _format_row(["figure", *(f"{size} daemons" for size in sizes)])
    yield _format_row(["---"] + ["---:"] * len(sizes))
    for figure in _list_figures(grouped):
        values = [_find_values(grouped, figure, size) for size in sizes]
        yield _format_row([figure, *(_format_values(item) for item in values)])


def _fit_table_lines(grouped: Mapping[FigureKey, Sequence[float]]) -> Iterator[str]:
    rows = []
    for figure in _list_figures(grouped):
        if figure in UNFITTED_FIGURES:
            continue
        points = [
            (key.size, value)
            for key, values in grouped.items()
            if key.figure == figure
            for value in values
        ]
        if len({value for _, value in points}) == 1:
            continue
        for fit in fit_all(points):
            numbers = (fit.slope, fit.intercept, fit.r_squared, fit.at_design_size)
            rows.append(_format_row([figure, fit.scale, *map(_format_number, numbers)]))
    if rows:
        yield ""
        yield f"Linear fits of the repeats, extrapolated to N = {DESIGN_SIZE}:"
        yield ""
        yield _format_row(
            ["figure", "scale", "slope", "intercept", "R²", f"at {DESIGN_SIZE}"]
        )
        yield _format_row(["---", "---"] + ["---:"] * 4)
        yield from rows


def _list_series(result: BenchResult) -> list[str]:
    return list(dict.fromkeys(point.series for point in result.points))


def _list_figures(grouped: Mapping[FigureKey, Sequence[float]]) -> list[str]:
    return list(dict.fromkeys(key.figure for key in grouped))


def _find_values(
    grouped: Mapping[FigureKey, Sequence[float]], figure: str, size: int
) -> Sequence[float]:
    for key, values in grouped.items():
        if (key.figure, key.size) == (figure, size):
            return values
    return []


def _format_values(values: Sequence[float]) -> str:
    if not values:
        return "-"
    middle = _format_number(median(values))
    low, high = _format_number(min(values)), _format_number(max(values))
    return middle if low == high else f"{middle} ({low} to {high})"


def _format_number(value: float) -> str:
    if abs(value) >= 1000:
        return f"{value:.0f}"
    return f"{value:.4g}"


def _format_row(cells: Sequence[str]) -> str:
    return f"| {' | '.join(cells)} |"
