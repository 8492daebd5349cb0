"""Compare the benchmark results of two versions of the code."""

from collections.abc import Iterator, Sequence

from attrs import frozen

from catkinhollow.generated.bench import BenchResult
from catkinhollow.testbed.results import FigureKey, compute_medians


@frozen(kw_only=True)
class Comparison:
    """Represent one figure of both results.

    The ratio is None if the old value is 0.
    """

    experiment: str
    key: FigureKey
    old: float
    new: float
    ratio: float | None


@frozen(kw_only=True)
class Unmatched:
    """Represent a figure that only one of the results has."""

    experiment: str
    key: FigureKey


def compare(
    old: Sequence[BenchResult], new: Sequence[BenchResult]
) -> Iterator[Comparison | Unmatched]:
    """Yield every figure of the experiments that both results have."""
    newer = {result.experiment: result for result in new}
    for result in old:
        matching = newer.get(result.experiment)
        if matching is not None:
            yield from _compare_one(result, matching)


def _compare_one(
    old: BenchResult, new: BenchResult
) -> Iterator[Comparison | Unmatched]:
    before, after = compute_medians(old.points), compute_medians(new.points)
    for key in sorted(before.keys() | after.keys()):
        if key not in before or key not in after:
            yield Unmatched(experiment=old.experiment, key=key)
            continue
        yield Comparison(
            experiment=old.experiment,
            key=key,
            old=before[key],
            new=after[key],
            ratio=after[key] / before[key] if before[key] else None,
        )
