"""Decide the next step of one call."""

from collections.abc import Callable
from typing import Protocol

from attrs import define, field, frozen

from catkinhollow.calls.directory import TargetEntry
from catkinhollow.calls.exchange import Outcome
from catkinhollow.calls.policy import Policy
from catkinhollow.calls.retries import (
    MIN_ATTEMPT_S,
    AttemptKind,
    AttemptResult,
    attempt_timeout_s,
    classify_result,
    combine_outcomes,
    is_retryable,
    retry_cost,
)
from catkinhollow.calls.waiting import wait_time_s
from catkinhollow.generated.fleet import Route

NO_CAPACITY = "no target has free capacity"
SHED = "shed"
NO_BUDGET = "the retry budget is used up"


@frozen(kw_only=True)
class RequestAttributes:
    """Describe the attributes of a request that the decisions depend on.

    `deadline_ms` is the time that the caller still allows, in milliseconds.
    """

    method: str
    path: str
    backer: str = ""
    deadline_ms: int | None = None


@frozen(kw_only=True)
class Refusal:
    """Represent why a call was not begun; the request did not run."""

    status: int
    reason: str


@frozen(kw_only=True)
class SendTo:
    """Represent the decision to send the request to a target now."""

    entry: TargetEntry
    timeout_s: float


@frozen(kw_only=True)
class Wait:
    """Represent the decision to wait for a notification until `until_s`."""

    until_s: float


@frozen(kw_only=True)
class GiveUp:
    """Represent the decision to end the call without another attempt.

    With the outcome "answered" the caller gets the last whole response that
    the dispatcher received, a 5xx for which no further attempt is made.
    """

    outcome: Outcome
    reason: str


@frozen(kw_only=True)
class FinishedAttempt:
    """Represent an ended attempt as the call reports it to its host."""

    entry: TargetEntry
    result: AttemptResult
    duration_s: float
    timeout_s: float


class CallHost(Protocol):
    """Provide a call with targets and budgets, and record its attempts."""

    def pick_target(
        self, call: "Call", excluded: list[TargetEntry], now_s: float
    ) -> TargetEntry | None:
        """Return a target with free capacity, or None."""

    def admit(self, call: "Call", now_s: float) -> bool:
        """Count the call as in flight; return False if there is no room."""

    def is_outranked(self, call: "Call") -> bool:
        """Return whether a waiting call goes before this one."""

    def enqueue(self, call: "Call", now_s: float) -> bool:
        """Count the call as no longer in flight and queue it.

        Return False if the waiting list is full.
        """

    def dequeue(self, call: "Call") -> None:
        """Remove the call from the waiting list."""

    def start(self, entry: TargetEntry) -> None:
        """Count an attempt as in flight."""

    def spend_retry(self, call: "Call", cost: float) -> bool:
        """Return whether the budget allows a retry, and charge it."""

    def median_latency_s(self, call: "Call") -> float:
        """Return the median latency of the call's route, 0 if unknown."""

    def record_attempt(
        self, call: "Call", attempt: FinishedAttempt, now_s: float
    ) -> None:
        """Record the result of an attempt that has ended."""

    def release(self, call: "Call", now_s: float) -> None:
        """Count the end of the call and grant targets to waiting calls."""


@define(kw_only=True, eq=False)
class Call:
    """Represent one call from its first decision to its outcome.

    The dispatcher calls `next_step`, and `finish_attempt` after each attempt,
    until the call is done. The host grants a target to a waiting call as soon
    as there is room. `grant` reserves the target at once, so that the order of
    waiting calls does not depend on the order in which the dispatcher's tasks
    run.
    """

    route: Route
    policy: Policy
    account: str
    deadline_s: float
    host: CallHost
    outcome: Outcome | None = field(default=None, init=False)
    attempts: int = field(default=0, init=False)
    admitted: bool = field(default=False, init=False)
    _waiting: bool = field(default=False, init=False)
    _wait_until_s: float | None = field(default=None, init=False)
    _granted: bool = field(default=False, init=False)
    _refusal: str = field(default="", init=False)
    _notify: Callable[[], None] | None = field(default=None, init=False)
    _tried: list[TargetEntry] = field(factory=list, init=False)
    _outcomes: list[Outcome] = field(factory=list, init=False)
    _last: AttemptResult | None = field(default=None, init=False)
    _sent: SendTo | None = field(default=None, init=False)
    _sent_at_s: float = field(default=0.0, init=False)
    _released: bool = field(default=False, init=False)

    @property
    def done(self) -> bool:
        """Return whether the call has its outcome."""
        return self.outcome is not None

    @property
    def in_flight(self) -> TargetEntry | None:
        """Return the target that has the request now, or None."""
        return self._sent.entry if self._sent else None

    def next_step(self, now_s: float) -> SendTo | Wait | GiveUp:
        """Return whether to send the request, wait, or end the call."""
        assert not self.done
        if self._granted and self._sent:
            self._granted = False
            return self._sent
        assert self._sent is None
        refusal = self._refuse(now_s)
        if refusal:
            return self._give_up(refusal, now_s)
        if not self._waiting and self._start(now_s):
            assert self._sent
            return self._sent
        return self._wait(now_s)

    def on_wait_end(self, notify: Callable[[], None]) -> None:
        """Register the function to call when the wait ends early."""
        self._notify = notify

    def grant(self, now_s: float) -> bool:
        """Reserve a target if there is room; return whether the wait ended.

        The wait also ends if the retry budget is used up.
        """
        self._granted = self._start(now_s)
        ended = self._granted or self._refusal is NO_BUDGET
        if ended:
            self._leave_queue()
            self._notify_dispatcher()
        return ended

    def shed(self) -> None:
        """End the wait in favour of a call of higher priority.

        The waiting list has already removed this call.
        """
        self._waiting = False
        self._refusal = SHED
        self._notify_dispatcher()

    def finish_attempt(self, result: AttemptResult, now_s: float) -> None:
        """Record the result of the attempt in flight."""
        sent = self._sent
        assert sent is not None
        self._sent = None
        self._granted = False
        attempt = FinishedAttempt(
            entry=sent.entry,
            result=result,
            duration_s=max(0.0, now_s - self._sent_at_s),
            timeout_s=sent.timeout_s,
        )
        self.host.record_attempt(self, attempt, now_s)
        if self.done:
            self._release(now_s)
            return
        self._last = result
        self._outcomes.append(classify_result(result))
        if not is_retryable(result, self.route.idempotent):
            self._end(now_s)

    def close(self, now_s: float) -> None:
        """End the call because the caller disconnected.

        A target that still has the request counts it as in flight until
        `finish_attempt`.
        """
        if self.done:
            return
        if self._granted:
            # The dispatcher has not sent this attempt.
            self.outcome = combine_outcomes(self._outcomes)
            self.finish_attempt(AttemptResult(kind=AttemptKind.CANCELLED), now_s)
            return
        if self._sent is not None:
            self._outcomes.append(Outcome.UNKNOWN)
        self._end(now_s)

    def _refuse(self, now_s: float) -> str:
        if self.deadline_s - now_s < MIN_ATTEMPT_S:
            return "the deadline has passed"
        if self.attempts >= self.policy.max_attempts:
            return "too many attempts"
        return "" if self._waiting else self._refusal

    def _start(self, now_s: float) -> bool:
        if not self._waiting and self.host.is_outranked(self):
            self._refusal = self._refusal or NO_CAPACITY
            return False
        entry = self._pick(now_s)
        if entry is None:
            self._refusal = NO_CAPACITY
            return False
        if not self.admitted and not self.host.admit(self, now_s):
            self._refusal = SHED
            return False
        self.admitted = True
        if self._last and not self.host.spend_retry(self, retry_cost(self._last)):
            self._refusal = NO_BUDGET
            return False
        self._refusal = ""
        self._send(entry, now_s)
        return True

    def _wait(self, now_s: float) -> Wait | GiveUp:
        if self._wait_until_s is None:
            self._wait_until_s = now_s + wait_time_s(self.deadline_s - now_s)
        if now_s >= self._wait_until_s or self._refusal is NO_BUDGET:
            return self._give_up(self._refusal, now_s)
        if not self._waiting:
            # A target that refused may have a free slot after the wait.
            self._tried.clear()
            if not self.host.enqueue(self, now_s):
                return self._give_up(SHED, now_s)
            self._waiting = True
        return Wait(until_s=self._wait_until_s)

    def _leave_queue(self) -> None:
        if self._waiting:
            self._waiting = False
            self.host.dequeue(self)

    def _notify_dispatcher(self) -> None:
        if self._notify:
            self._notify()

    def _pick(self, now_s: float) -> TargetEntry | None:
        entry = self.host.pick_target(self, self._tried, now_s)
        refused = self._last and self._last.kind is AttemptKind.REFUSED
        if entry is None and self._tried and not refused:
            # After a lost connection, a second attempt at the only target may
            # succeed.
            return self.host.pick_target(self, [], now_s)
        return entry

    def _send(self, entry: TargetEntry, now_s: float) -> None:
        timeout_s = attempt_timeout_s(
            self.policy,
            self.route.idempotent,
            self.attempts,
            self.deadline_s - now_s,
            self.host.median_latency_s(self),
        )
        self.attempts += 1
        self._tried.append(entry)
        self._sent = SendTo(entry=entry, timeout_s=timeout_s)
        self._sent_at_s = now_s
        self.host.start(entry)

    def _give_up(self, reason: str, now_s: float) -> GiveUp:
        outcome = self._end(now_s)
        return GiveUp(outcome=outcome, reason=reason)

    def _end(self, now_s: float) -> Outcome:
        self._leave_queue()
        self.outcome = combine_outcomes(self._outcomes)
        self._release(now_s)
        return self.outcome

    def _release(self, now_s: float) -> None:
        if self._sent is None and not self._released:
            self._released = True
            self.host.release(self, now_s)
