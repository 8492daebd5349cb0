"""Choose the target of an attempt."""

from bisect import bisect
from collections.abc import Collection, Iterator
from itertools import accumulate
from random import Random
from typing import Protocol

from catkinhollow.calls.directory import TargetEntry
from catkinhollow.calls.pool import ServicePool, VersionGroup


class Picker(Protocol):
    """Choose the target of each attempt."""

    def pick(
        self,
        pool: ServicePool,
        max_in_flight: int,
        excluded: Collection[TargetEntry],
        now_s: float,
    ) -> TargetEntry | None:
        """Return a target with free capacity, or None."""


class Balancer:
    """Pick by version split, distance, and the less loaded of two draws."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def pick(
        self,
        pool: ServicePool,
        max_in_flight: int,
        excluded: Collection[TargetEntry],
        now_s: float,
    ) -> TargetEntry | None:
        """Return a target with free capacity, or None."""
        for number, group in enumerate(self._in_drawn_order(pool.groups)):
            if number and not pool.accepts_overflow(group):
                continue
            for tier in group.tiers:
                free = [
                    entry
                    for entry in tier
                    if (stats := entry.stats).in_flight < stats.limit
                    and stats.paused_until_s <= now_s
                    and stats.in_flight < max_in_flight
                    and entry not in excluded
                ]
                if free:
                    return self._less_loaded_of_two(free)
        return None

    def _in_drawn_order(self, groups: list[VersionGroup]) -> Iterator[VersionGroup]:
        left = list(groups)
        while len(left) > 1:
            drawn = self._draw([group.percent for group in left])
            yield left.pop(drawn)
        yield from left

    def _less_loaded_of_two(self, free: list[TargetEntry]) -> TargetEntry:
        if len(free) == 1:
            return free[0]
        weights = [entry.stats.weight for entry in free]
        totals = list(accumulate(weights))
        random, end = self._random.random, totals[-1]
        first = free[min(bisect(totals, random() * end), len(free) - 1)]
        second = free[min(bisect(totals, random() * end), len(free) - 1)]
        return second if _load(second) < _load(first) else first

    def _draw(self, weights: list[float]) -> int:
        totals = list(accumulate(weights))
        drawn = bisect(totals, self._random.random() * totals[-1])
        return min(drawn, len(weights) - 1)


def _load(entry: TargetEntry) -> float:
    return entry.stats.in_flight / entry.stats.limit
