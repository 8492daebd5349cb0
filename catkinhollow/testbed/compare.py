"""Compare the results of two versions of the code."""

from collections.abc import Iterator, Sequence

from attrs import frozen

from catkinhollow.generated.bench import BenchResult
from catkinhollow.testbed.results import Cell, medians


@frozen(kw_only=True)
class Comparison:
    """Hold one figure before and after; no ratio without an old value."""

    experiment: str
    cell: Cell
    old: float
    new: float
    ratio: float | None


@frozen(kw_only=True)
class Unmatched:
    """Hold a figure that only one of the results has."""

    experiment: str
    cell: Cell


def compare(
    old: Sequence[BenchResult], new: Sequence[BenchResult]
) -> Iterator[Comparison | Unmatched]:
    """Yield every figure of the experiments that both sides have."""
    newer = {result.experiment: result for result in new}
    for result in old:
        other = newer.get(result.experiment)
        if other is not None:
            yield from _compare_one(result, other)


def _compare_one(
    old: BenchResult, new: BenchResult
) -> Iterator[Comparison | Unmatched]:
    before, after = medians(old.points), medians(new.points)
    for cell in sorted(before.keys() | after.keys()):
        if cell not in before or cell not in after:
            yield Unmatched(experiment=old.experiment, cell=cell)
            continue
        yield Comparison(
            experiment=old.experiment,
            cell=cell,
            old=before[cell],
            new=after[cell],
            ratio=after[cell] / before[cell] if before[cell] else None,
        )
