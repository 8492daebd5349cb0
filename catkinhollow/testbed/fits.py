"""Fit figures to the number of daemons and extrapolate them."""

from collections.abc import Callable, Sequence
from math import log2
from statistics import correlation, linear_regression

from attrs import frozen

DESIGN_SIZE = 1400
MIN_SIZES = 3


@frozen(kw_only=True)
class Fit:
    """Represent a linear fit over a scale of the size."""

    scale: str
    slope: float
    intercept: float
    r_squared: float
    at_design_size: float


SCALES: dict[str, Callable[[float], float]] = {"N": float, "log2 N": log2}


def fit_all(points: Sequence[tuple[int, float]]) -> list[Fit]:
    """Return a linear fit for each scale, or none for too few sizes."""
    if len({size for size, _ in points}) < MIN_SIZES:
        return []
    return [_fit(scale, points) for scale in SCALES]


def _fit(scale: str, points: Sequence[tuple[int, float]]) -> Fit:
    to_scale = SCALES[scale]
    sizes = [to_scale(size) for size, _ in points]
    values = [value for _, value in points]
    slope, intercept = linear_regression(sizes, values)
    constant = len(set(values)) == 1
    return Fit(
        scale=scale,
        slope=slope,
        intercept=intercept,
        r_squared=1.0 if constant else correlation(sizes, values) ** 2,
        at_design_size=intercept + slope * to_scale(DESIGN_SIZE),
    )
