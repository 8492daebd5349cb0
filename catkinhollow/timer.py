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


# A periodic callback that is due within this share of its interval runs with
# another one that is due, so that both need one wake-up of the process.
COALESCED_SHARE = 0.1


@define(eq=False)
class Subscription:
    """Represent a scheduled callback, one-shot if interval_s is None."""

    callback: Callable[[], None]
    interval_s: float | None
    due_s: float = field(default=inf, init=False)
    """When the callback is due, for a periodic one."""
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
        self._periodic: list[Subscription] = []
        # When the task wakes up; an earlier callback wakes it at once.
        self._wakeup_s = -inf
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

        The first call comes after first_delay_s, by default one interval. A
        call may come earlier by a tenth of the interval.
        """
        subscription = Subscription(callback, interval_s)
        delay_s = interval_s if first_delay_s is None else first_delay_s
        subscription.due_s = self._clock.monotonic() + delay_s
        self._periodic.append(subscription)
        self._wake_before(subscription.due_s)
        return subscription

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> Subscription:
        """Call the callback once after a delay in seconds."""
        subscription = Subscription(callback, None)
        due_s = self._clock.monotonic() + delay_s
        heappush(self._due, (due_s, next(self._sequence), subscription))
        self._wake_before(due_s)
        return subscription

    async def run(self) -> None:
        """Run due callbacks until cancelled."""
        while True:
            self._run_due()
            self._changed = trio.Event()
            self._wakeup_s = self._next_due_s()
            delay_s = max(0.0, self._wakeup_s - self._clock.monotonic())
            with trio.move_on_after(delay_s):
                await self._changed.wait()

    def _wake_before(self, due_s: float) -> None:
        if due_s < self._wakeup_s:
            self._changed.set()

    def _next_due_s(self) -> float:
        while self._due and self._due[0][2].cancelled:
            heappop(self._due)
        next_s = self._due[0][0] if self._due else inf
        return min([next_s, *(item.due_s for item in self._periodic)])

    def _run_due(self) -> None:
        # Callbacks that are added meanwhile wake the task up again.
        self._wakeup_s = inf
        now_s = self._clock.monotonic()
        self._run_periodic(now_s)
        while self._due and self._due[0][0] <= now_s:
            subscription = heappop(self._due)[2]
            if not subscription.cancelled:
                subscription.callback()

    def _run_periodic(self, now_s: float) -> None:
        self._periodic = [item for item in self._periodic if not item.cancelled]
        if all(item.due_s > now_s for item in self._periodic):
            return
        for item in list(self._periodic):
            interval_s = item.interval_s or 0.0
            is_due = item.due_s - now_s <= COALESCED_SHARE * interval_s
            if is_due and not item.cancelled:
                item.callback()
                item.due_s = self._clock.monotonic() + interval_s
