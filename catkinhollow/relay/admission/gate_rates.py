"""Estimate arrival rates at a gate and the waiting time they cause."""

from collections.abc import Sequence
from math import exp
from operator import itemgetter

from attrs import define

# Time constant with which past arrivals lose weight in the arrival rates, from
# which the load of more urgent calls is predicted.
ARRIVAL_MEMORY_S = 2.0
# Limit of the capacity share that more urgent calls are assumed to take;
# above it every other call would be refused at once.
MAX_OVERTAKING_SHARE = 0.9
# Factor on that share, because arrivals come in bursts.
ARRIVAL_BURST_FACTOR = 1.5


@define
class ArrivalRate:
    """Estimate the arrival rate of calls of one urgency."""

    count: float = 0.0
    """Number of past arrivals, in which older ones have less weight."""
    updated_s: float = 0.0

    def add(self, now_s: float) -> None:
        """Count an arrival."""
        self.count = self._decayed(now_s) + 1.0
        self.updated_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the recent arrivals per second."""
        return self._decayed(now_s) / ARRIVAL_MEMORY_S

    def _decayed(self, now_s: float) -> float:
        return self.count * exp((self.updated_s - now_s) / ARRIVAL_MEMORY_S)


def estimate_overtaken_wait_s(
    wait_s: float, overtakers: Sequence[tuple[float, float]]
) -> float:
    """Return how long a call waits if later calls overtake it, in seconds.

    `wait_s` is its wait if none does. Each overtaker is the share of the
    target's capacity that one kind of calls takes, and the wait in seconds
    after which calls of this kind no longer overtake.
    """
    total = sum(share for share, _ in overtakers)
    if total <= 0.0:
        return wait_s
    scale = min(ARRIVAL_BURST_FACTOR, MAX_OVERTAKING_SHARE / total)
    # Start with the wait if every kind of calls overtakes until its end. A
    # kind whose window ends earlier adds a fixed delay instead of a share.
    fixed_s, remaining_share = wait_s, scale * total
    estimate_s = fixed_s / (1.0 - remaining_share)
    for share, window_s in sorted(overtakers, key=itemgetter(1)):
        if window_s >= estimate_s:
            break
        fixed_s += scale * share * window_s
        remaining_share -= scale * share
        estimate_s = fixed_s / (1.0 - remaining_share)
    return estimate_s
