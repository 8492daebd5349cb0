"""Find how many calls a target stands that has just started or recovered.

Made for targets that take up to 4 times as long while they warm up and fail
or start again when they get more calls than they stand, while a service at
its capacity has calls for all slots of a target from its first second on.
"""

from math import inf
from typing import Protocol

from attrs import define

# Share of the slots with which a target begins whose safe number of calls is
# unknown. A target that is 4 times as slow as usual stands a quarter of the
# usual calls in the usual time.
INITIAL_SHARE = 0.25
# Share after the target was unreachable for less than SHORT_DOWN_S, which it
# also is when a single connection fails.
SHORT_DOWN_SHARE = 0.5
SHORT_DOWN_S = 1.0
# A run time that exceeds the expected one by this factor is a sign of too many
# calls. Run times vary by a third by themselves.
RUN_TIME_TOLERANCE = 1.5
# Weights of a run in the recent run time and in the recent failures.
RUN_TIME_WEIGHT = 0.3
FAILURE_WEIGHT = 0.2
# Share of failures beyond that of the peers that is a sign of too many calls:
# one failure after many successes exceeds it.
FAILURE_TOLERANCE = 0.15
# The number of calls is raised only if at least this share of it was at the
# target; otherwise a run tells nothing about it.
USED_SHARE = 0.5
# Time for which the largest number of calls at the target counts as recent:
# runs that started together also end together.
RECENT_S = 0.5
# Calls per second by which the number grows while runs are longer than at the
# peers. A slow machine gets calls for 8 slots within 12 s; with 1.0 a target
# that takes 12 s to warm up gets more calls than it stands.
SLOW_RAISE_PER_S = 0.5
# Share of the number of calls at which runs failed or got longer that is not
# exceeded until runs are like those of the peers, or this time has passed. It
# doubles each time: a target that is overloaded again warms up again.
CEILING_SHARE = 0.75
MIN_CEILING_S = 4.0
MAX_CEILING_S = 60.0
# Time without a start after a failure of the only call at the target, doubled
# with each further one.
MIN_HOLD_S = 0.1
MAX_HOLD_S = 1.0


class ServicePeers(Protocol):
    """Look up the other targets of the service."""

    def started_before(self, started_ms: int) -> bool | None:
        """Return whether one of them started earlier and has run calls.

        None if no other target is known.
        """

    def run_ms(self, route: str) -> float:
        """Return their usual run time of a route, 0 if it is unknown."""

    def failure_share(self) -> float:
        """Return the share of their runs that failed."""


class NoPeers:
    """Represent a service with one target."""

    def started_before(self, started_ms: int) -> bool | None:
        """Return None: no other target is known."""
        return None

    def run_ms(self, route: str) -> float:
        """Return 0: no run time is known."""
        return 0.0

    def failure_share(self) -> float:
        """Return 0: no failures are known."""
        return 0.0


@define
class Pace:
    """Raise and lower the number of calls at a target by its answers.

    The number grows by one for each run that takes as long as at the peers,
    so that it doubles within one run time. It grows by one each second
    while runs are longer than at the peers, but get no longer. It is halved
    when runs get longer or fail, at most once for the runs that were at the
    target at the same time.
    """

    limit: float = inf
    """Calls that may be at the target, infinity while no pace is in force."""
    reason: str = ""
    """Why the limit was last set, lowered or ended."""
    changes: int = 0
    """Number of such changes."""
    _changed_s: float = -inf
    _ratio: float = 0.0
    """Recent run time relative to the expected one, 0 if none is known."""
    _least_ratio: float = inf
    _failures: float = 0.0
    _answered_s: float = 0.0
    _recent_calls: int = 0
    _recent_s: float = 0.0
    _ceiling: float = inf
    _ceiling_s: float = 0.0
    _ceiling_until_s: float = 0.0
    _hold_s: float = 0.0
    _held_until_s: float = -inf

    @property
    def in_force(self) -> bool:
        """Return whether the number of calls is limited."""
        return self.limit < inf

    def begin(self, limit: float, reason: str, now_s: float) -> None:
        """Limit the calls at a target that has started or recovered."""
        self._ratio, self._least_ratio = 0.0, inf
        self._failures = self._hold_s = 0.0
        self._held_until_s = -inf
        self._answered_s = now_s
        self._ceiling, self._ceiling_s = inf, 0.0
        self._change(max(1.0, limit), reason, now_s)

    def end(self, reason: str) -> None:
        """Lift the limit."""
        if self.in_force:
            self._change(inf, reason, self._changed_s)

    def held_until_s(self, now_s: float) -> float:
        """Return until when no call may start, 0 if one may."""
        return self._held_until_s if self._held_until_s > now_s else 0.0

    def record_failure(self, started_s: float, peer_share: float, now_s: float) -> None:
        """Handle a run that failed; the share is that of the peers' runs."""
        if not self.in_force:
            return
        self._failures += FAILURE_WEIGHT * (1.0 - self._failures)
        if self._failures <= peer_share + FAILURE_TOLERANCE:
            return
        if self.limit < 2.0:
            self._hold_s = min(MAX_HOLD_S, max(MIN_HOLD_S, 2.0 * self._hold_s))
            self._held_until_s = now_s + self._hold_s
        self._lower("runs fail", started_s, now_s)

    def record_success(
        self, ratio: float, started_s: float, calls: int, full: int, now_s: float
    ) -> None:
        """Handle a run that was answered.

        The ratio is its run time over the expected one, 0 if none is known.
        `calls` were at the target when it ended, and `full` is the number at
        which the pace ends.
        """
        if not self.in_force:
            return
        self._failures -= FAILURE_WEIGHT * self._failures
        self._hold_s = 0.0
        if ratio:
            before = self._ratio or ratio
            self._ratio = before + RUN_TIME_WEIGHT * (ratio - before)
            self._least_ratio = min(self._least_ratio, self._ratio)
        if self._ratio > RUN_TIME_TOLERANCE * max(1.0, self._least_ratio):
            self._lower("runs get longer", started_s, now_s)
            return
        like_peers = 0.0 < self._ratio <= RUN_TIME_TOLERANCE
        since_s, self._answered_s = now_s - self._answered_s, now_s
        if calls >= self._recent_calls or now_s - self._recent_s > RECENT_S:
            self._recent_calls, self._recent_s = calls, now_s
        if self._recent_calls >= USED_SHARE * self.limit:
            self._raise(like_peers=like_peers, since_s=since_s, full=full, now_s=now_s)
        if like_peers and self.limit >= full:
            self.end("runs like its peers")

    def _raise(
        self, *, like_peers: bool, since_s: float, full: int, now_s: float
    ) -> None:
        if like_peers or now_s >= self._ceiling_until_s:
            self._ceiling = inf
        step = 1.0 if like_peers else min(1.0, SLOW_RAISE_PER_S * since_s)
        bound = min(float(full), max(self.limit, self._ceiling))
        self.limit = min(bound, self.limit + step)

    def _lower(self, reason: str, started_s: float, now_s: float) -> None:
        # Runs that started before the last change say nothing about it.
        if started_s >= self._changed_s and self.limit > 1.0:
            self._least_ratio = min(self._least_ratio, self._ratio or inf)
            self._ceiling = max(1.0, CEILING_SHARE * self.limit)
            doubled_s = max(MIN_CEILING_S, 2.0 * self._ceiling_s)
            self._ceiling_s = min(MAX_CEILING_S, doubled_s)
            self._ceiling_until_s = now_s + self._ceiling_s
            self._change(max(1.0, 0.5 * self.limit), reason, now_s)

    def _change(self, limit: float, reason: str, now_s: float) -> None:
        self.limit, self.reason, self._changed_s = limit, reason, now_s
        self.changes += 1
