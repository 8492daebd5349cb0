"""Decide when to probe the store and what a late answer means.

A probe uses a connection that is kept open between probes, so that it shares
the fate of the other open connections. If its answer is late, further probes
use new connections. The store is slow if the answer on the kept connection
comes first, and the open connections are silent if another one does.
"""

from enum import Enum
from math import inf
from typing import Protocol, TypeAlias

from attrs import define, field, frozen

# A change is expected in force 2 s after its acknowledgement. The interval,
# the time until an answer is late and one more round trip must leave time to
# pass the change on.
PROBE_INTERVAL_S = 0.8
LATE_S = 0.7
# Interval of the probes on new connections while none is answered.
RETRY_INTERVAL_S = 1.0
# Minimum time between renewals. It doubles with each one, as the store may
# only be slow, until so many answers on the kept connection are in time.
MIN_RENEWAL_INTERVAL_S = 2.0
MAX_RENEWAL_INTERVAL_S = 32.0
STEADY_ANSWERS = 4


class ProbeOutcome(Enum):
    """Tell how a probe has ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The store has responded, but without a usable answer."""
    FAILED = "failed"
    """There is no response."""


@frozen
class SendProbe:
    """Request a probe on the kept connection or on a new one."""

    number: int
    fresh: bool


@frozen
class RenewConnections:
    """Request new connections for all calls, as the open ones are silent."""

    silent_s: float


@frozen
class ReportSilence:
    """Report that the store answers on no connection."""

    silent_s: float


ProbeCommand: TypeAlias = SendProbe | RenewConnections | ReportSilence


class ProbePolicy(Protocol):
    """Decide when to probe the store and when to renew its connections."""

    @property
    def due_s(self) -> float:
        """Return the time of the next check."""

    def check(self, now_s: float) -> list[ProbeCommand]:
        """Return the commands that are due."""

    def record(
        self, number: int, outcome: ProbeOutcome, now_s: float
    ) -> list[ProbeCommand]:
        """Process the end of a probe and return the commands that follow."""


@define(eq=False)
class ProbePlan:
    """Probe at intervals, and repeat a late probe on new connections."""

    _due_s: float = 0.0
    _number: int = 0
    _kept: int | None = None
    """Number of the probe on the kept connection that is not answered."""
    _sent_s: float = 0.0
    """When that probe was sent."""
    _fresh: set[int] = field(factory=set)
    """Numbers of the probes on new connections since then."""
    _unanswered: bool = False
    """Whether a new connection was tried and none has answered."""
    _reported: bool = False
    _steady_answers: int = 0
    _renewed_s: float = -inf
    _renewal_interval_s: float = MIN_RENEWAL_INTERVAL_S

    @property
    def due_s(self) -> float:
        """Return the time of the next check."""
        return self._due_s

    def check(self, now_s: float) -> list[ProbeCommand]:
        """Return the commands that are due."""
        if now_s < self._due_s:
            return []
        if self._kept is None:
            self._kept = self._next_number()
            self._sent_s = now_s
            self._due_s = now_s + LATE_S
            return [SendProbe(self._kept, fresh=False)]
        commands: list[ProbeCommand] = []
        if self._unanswered and not self._reported:
            self._reported = True
            commands.append(ReportSilence(now_s - self._sent_s))
        number = self._next_number()
        self._fresh.add(number)
        self._unanswered = True
        self._due_s = now_s + RETRY_INTERVAL_S
        return [*commands, SendProbe(number, fresh=True)]

    def record(
        self, number: int, outcome: ProbeOutcome, now_s: float
    ) -> list[ProbeCommand]:
        """Process the end of a probe and return the commands that follow."""
        if outcome is ProbeOutcome.FAILED:
            self._record_failure(number, now_s)
        elif number == self._kept:
            self._record_kept_answer(now_s)
            self._end_probe(self._sent_s + PROBE_INTERVAL_S)
        elif number in self._fresh:
            return self._record_fresh_answer(now_s)
        return []

    def _record_kept_answer(self, now_s: float) -> None:
        in_time = now_s - self._sent_s < LATE_S
        self._steady_answers = self._steady_answers + 1 if in_time else 0
        if self._steady_answers >= STEADY_ANSWERS:
            self._renewal_interval_s = MIN_RENEWAL_INTERVAL_S

    def _record_fresh_answer(self, now_s: float) -> list[ProbeCommand]:
        self._unanswered = self._reported = False
        if now_s - self._renewed_s < self._renewal_interval_s:
            return []
        silent_s = now_s - self._sent_s
        self._record_renewal(now_s)
        # The next probe opens the new kept connection.
        self._end_probe(now_s)
        return [RenewConnections(silent_s)]

    def _record_failure(self, number: int, now_s: float) -> None:
        self._fresh.discard(number)
        # An early failure is no silence, as each connection shows it. A late
        # one leaves open whether the other connections are silent.
        if number == self._kept and now_s - self._sent_s < LATE_S:
            self._end_probe(self._sent_s + PROBE_INTERVAL_S)

    def _end_probe(self, next_s: float) -> None:
        self._kept = None
        self._fresh.clear()
        self._unanswered = self._reported = False
        self._due_s = next_s

    def _record_renewal(self, now_s: float) -> None:
        if self._renewed_s > -inf:
            doubled_s = 2 * self._renewal_interval_s
            self._renewal_interval_s = min(doubled_s, MAX_RENEWAL_INTERVAL_S)
        self._renewed_s = now_s
        self._steady_answers = 0

    def _next_number(self) -> int:
        self._number += 1
        return self._number
