"""Decide the steps of one call."""

from typing import Protocol

from attrs import define, field, frozen

from catkinhollow.directory import TargetEntry
from catkinhollow.exchange import Outcome
from catkinhollow.generated.fleet import Route
from catkinhollow.policy import Policy
from catkinhollow.retries import (
    MIN_ATTEMPT_S,
    AttemptKind,
    AttemptResult,
    attempt_time_s,
    classify,
    combine,
    may_send_again,
    retry_cost,
)


@frozen(kw_only=True)
class CallFacts:
    """Hold what the decisions need to know about a request."""

    method: str
    path: str
    backer: str = ""
    deadline_ms: int | None = None


@frozen(kw_only=True)
class Refusal:
    """Hold why a call was not begun; the request did not run."""

    status: int
    reason: str


@frozen(kw_only=True)
class SendTo:
    """Tell the edge to send the request to a target."""

    entry: TargetEntry
    timeout_s: float


@frozen(kw_only=True)
class GiveUp:
    """Tell the edge to end the call.

    With the outcome "answered" the caller gets the last whole response that
    the edge received, a 5xx that is not retried.
    """

    outcome: Outcome
    reason: str


@frozen(kw_only=True)
class FinishedAttempt:
    """Hold an attempt as the call reports it to its router."""

    entry: TargetEntry
    result: AttemptResult
    busy_s: float
    timeout_s: float


class CallHost(Protocol):
    """Provide a call with targets and budgets, and learn from its attempts."""

    def pick_target(
        self, call: "Call", excluded: list[TargetEntry], now_s: float
    ) -> TargetEntry | None:
        """Return a target with free capacity, or None."""

    def spend_retry(self, call: "Call", cost: float) -> bool:
        """Take a retry from the service's budget if it is there."""

    def usual_latency_s(self, call: "Call") -> float:
        """Return the usual latency of the call's route, 0 if unknown."""

    def learn(self, call: "Call", attempt: FinishedAttempt, now_s: float) -> None:
        """Count an attempt that has ended."""

    def release(self, call: "Call", now_s: float) -> None:
        """Take the call out of flight."""


@define(kw_only=True, eq=False)
class Call:
    """Hold one call: ask `next_step`, report `finished`, until it is done."""

    route: Route
    policy: Policy
    account: str
    deadline_s: float
    host: CallHost
    outcome: Outcome | None = field(default=None, init=False)
    attempts: int = field(default=0, init=False)
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
        """Return the target that the request is with, if it is with one."""
        return self._sent.entry if self._sent else None

    def next_step(self, now_s: float) -> SendTo | GiveUp:
        """Return where to send the request now, or how the call ends."""
        assert not self.done
        assert self._sent is None
        remaining_s = self.deadline_s - now_s
        if remaining_s < MIN_ATTEMPT_S:
            return self._give_up("the deadline has passed", now_s)
        refused = self._refuse_retry() if self._last else ""
        if refused:
            return self._give_up(refused, now_s)
        entry = self._pick(now_s)
        if entry is None:
            return self._give_up("no target has free capacity", now_s)
        if self._last and not self.host.spend_retry(self, retry_cost(self._last)):
            return self._give_up("the retry budget is used up", now_s)
        return self._send(entry, remaining_s, now_s)

    def finished(self, result: AttemptResult, now_s: float) -> None:
        """Take what the attempt in flight came to."""
        sent = self._sent
        assert sent is not None
        self._sent = None
        attempt = FinishedAttempt(
            entry=sent.entry,
            result=result,
            busy_s=max(0.0, now_s - self._sent_at_s),
            timeout_s=sent.timeout_s,
        )
        self.host.learn(self, attempt, now_s)
        if self.done:
            self._release(now_s)
            return
        self._last = result
        self._outcomes.append(classify(result))
        if not may_send_again(result, self.route.idempotent):
            self._end(now_s)

    def close(self, now_s: float) -> None:
        """End the call because the caller went away.

        A target that still has the request stays busy until `finished`.
        """
        if self.done:
            return
        if self._sent is not None:
            self._outcomes.append(Outcome.UNKNOWN)
        self._end(now_s)

    def _refuse_retry(self) -> str:
        return "" if self.attempts < self.policy.max_attempts else "too many attempts"

    def _pick(self, now_s: float) -> TargetEntry | None:
        entry = self.host.pick_target(self, self._tried, now_s)
        refused = self._last and self._last.kind is AttemptKind.REFUSED
        if entry is None and self._tried and not refused:
            # A second try at the only target helps against a lost connection.
            return self.host.pick_target(self, [], now_s)
        return entry

    def _send(self, entry: TargetEntry, remaining_s: float, now_s: float) -> SendTo:
        timeout_s = attempt_time_s(
            self.policy,
            self.route.idempotent,
            self.attempts,
            remaining_s,
            self.host.usual_latency_s(self),
        )
        self.attempts += 1
        self._tried.append(entry)
        self._sent = SendTo(entry=entry, timeout_s=timeout_s)
        self._sent_at_s = now_s
        entry.stats.start()
        return self._sent

    def _give_up(self, reason: str, now_s: float) -> GiveUp:
        outcome = self._end(now_s)
        return GiveUp(outcome=outcome, reason=reason)

    def _end(self, now_s: float) -> Outcome:
        self.outcome = combine(self._outcomes)
        self._release(now_s)
        return self.outcome

    def _release(self, now_s: float) -> None:
        if self._sent is None and not self._released:
            self._released = True
            self.host.release(self, now_s)
