"""Define what a target reports about its load."""

from math import inf

from attrs import define, frozen

# Time after which the figures of a target are out of date. They change many
# times per second and arrive with each answer.
LOAD_MEMORY_S = 2.0
# Age from which on a busy target is asked for its load.
MAX_LOAD_AGE_S = 1.0
# A report may have been written before answers that the gate has received
# already; calls that ended within this time are not unknown.
REPORT_DELAY_S = 0.05


@frozen
class LoadFigures:
    """Represent one report of a target about its load."""

    running: int
    waiting: int
    slots: int
    slowness: float = 0.0
    """Duration of work relative to the usual one, 0 if it is not reported."""


@define
class UnknownLoad:
    """Count the calls that a target holds beyond those that the gate knows.

    Made for targets that go on with a run after its caller has left, and that
    never answer a request that they cannot queue: the gate that counts only
    its own calls would send them more than their queue takes.
    """

    _count: int = 0
    _counted_s: float = -inf
    _recent_calls: int = 0
    """Number of calls at the target before one of them ended recently."""
    _recent_s: float = -inf

    @property
    def seen(self) -> bool:
        """Return whether the target has reported its load."""
        return self._counted_s > -inf

    def restart(self) -> None:
        """Forget the load of an earlier lifetime."""
        self._count = 0
        self._counted_s = -inf

    def record_end(self, calls: int, now_s: float) -> None:
        """Note how many calls were at the target before one was answered."""
        if calls >= self._recent_calls or now_s - self._recent_s > REPORT_DELAY_S:
            self._recent_calls, self._recent_s = calls, now_s

    def abandon(self, now_s: float) -> None:
        """Count a call without an answer, which the target may still run."""
        if self.seen:
            self._count = self.count(now_s) + 1
            self._counted_s = now_s

    def record(self, figures: LoadFigures, calls: int, now_s: float) -> None:
        """Handle a report while the gate has this many calls at the target."""
        known = calls
        if now_s - self._recent_s <= REPORT_DELAY_S:
            known = max(known, self._recent_calls)
        self._count = max(0, figures.running + figures.waiting - known)
        self._counted_s = now_s

    def count(self, now_s: float) -> int:
        """Return the number of unknown calls, 0 if it is out of date."""
        return self._count if now_s - self._counted_s <= LOAD_MEMORY_S else 0

    def changes_s(self, now_s: float) -> float:
        """Return when the count is forgotten, infinity if there is none."""
        return self._counted_s + LOAD_MEMORY_S if self.count(now_s) else inf

    def is_old(self, now_s: float) -> bool:
        """Return whether a target that reports its load has not done so."""
        return self.seen and now_s - self._counted_s > MAX_LOAD_AGE_S
