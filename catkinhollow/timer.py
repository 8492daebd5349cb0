"""Run callbacks at intervals and after delays."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from math import inf
from typing import Protocol

import trio
from attrs import define, field


class Clock(Protocol):
    """Provide the current time."""

    def monotonic(self) -> float:
        """Return a time in seconds that never decreases."""

    def boottime(self) -> float:
        """Return a time in seconds that advances during a suspension."""

    def unix_ms(self) -> int:
        """Return the Unix time in milliseconds."""


@define(eq=False)
class Subscription:
    """Represent a scheduled callback, one-shot if interval_s is None."""

    callback: Callable[[], None]
    interval_s: float | None
    _cancelled: bool = field(default=False, init=False)

    @property
    def cancelled(self) -> bool:
        """Return whether the subscription has been cancelled."""
        return self._cancelled

    def cancel(self) -> None:
        """Prevent further calls of the callback."""
        self._cancelled = True


class Timer:
    """Run callbacks in one task when they are due."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # Keeps callbacks with equal due times in scheduling order in the heap.
        self._sequence = count()
        self._due: list[tuple[float, int, Subscription]] = []
        self._changed = trio.Event()

    @property
    def clock(self) -> Clock:
        """Return the clock that decides when a callback is due."""
        return self._clock

    def subscribe(
        self,
        interval_s: float,
        callback: Callable[[], None],
        *,
        first_delay_s: float | None = None,
    ) -> Subscription:
        """Call the callback at intervals given in seconds.

        The first call comes after first_delay_s, by default one interval.
        """
        subscription = Subscription(callback, interval_s)
        delay_s = interval_s if first_delay_s is None else first_delay_s
        self._schedule(subscription, delay_s)
        return subscription

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call the callback once after a delay in seconds."""
        subscription = Subscription(callback, None)
        self._schedule(subscription, delay_s)
        return subscription

    async def run(self) -> None:
        """Run due callbacks until cancelled."""
        while True:
            self._run_due()
            self._changed = trio.Event()
            next_due = self._due[0][0] if self._due else inf
            with trio.move_on_after(max(0.0, next_due - self._clock.monotonic())):
                await self._changed.wait()

    def _schedule(self, subscription: Subscription, delay_s: float) -> None:
        due = self._clock.monotonic() + delay_s
        heappush(self._due, (due, next(self._sequence), subscription))
        self._changed.set()

    def _run_due(self) -> None:
        now = self._clock.monotonic()
        while self._due and self._due[0][0] <= now:
            subscription = heappop(self._due)[2]
            if subscription.cancelled:
                continue
            subscription.callback()
            if subscription.interval_s is not None and not subscription.cancelled:
                self._schedule(subscription, subscription.interval_s)
