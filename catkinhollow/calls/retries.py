"""Decide whether a request is sent again, and with which timeout."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

from attrs import define, frozen

from catkinhollow.calls.exchange import Outcome

if TYPE_CHECKING:
    from catkinhollow.calls.policy import Policy

# Most tokens that a service may save up; allows an idle service a short burst
# of retries.
BUDGET_BURST = 10.0
# A refused attempt costs a target no work. With half of the targets draining,
# each call needs one more attempt, which a budget of 20 % then still covers.
NOT_RUN_COST = 0.2
RETRY_COST = 1.0
# With less time left, a response from another failure domain would be late.
MIN_ATTEMPT_S = 0.003
# An attempt gets half of the remaining time, to leave the rest for a retry,
# only if that half is above this multiple of the route's median latency.
EARLY_TIMEOUT_RATIO = 4.0
SERVER_ERROR = 500


class AttemptKind(Enum):
    """Classify how an attempt ended, as the I/O layer observed it."""

    ANSWERED = auto()
    """A whole response with the request's own id."""
    REFUSED = auto()
    """The target refused with `Catkinhollow-Not-Run: 1`."""
    NOT_CONNECTED = auto()
    """No byte of the request was written."""
    BROKEN = auto()
    """The connection failed later, or the response has another id."""
    TIMEOUT = auto()
    """No whole response within the timeout of the attempt."""
    SILENT = auto()
    """The peer has acknowledged nothing any more; the request may have run."""
    CANCELLED = auto()
    """The caller disconnected."""


@frozen(kw_only=True)
class AttemptResult:
    """Represent the result of one attempt."""

    kind: AttemptKind
    status: int = 0

    @property
    def is_server_error(self) -> bool:
        """Return whether the target answered with a 5xx status."""
        return self.kind is AttemptKind.ANSWERED and self.status >= SERVER_ERROR


_NOT_RUN = (AttemptKind.REFUSED, AttemptKind.NOT_CONNECTED)


def classify_result(result: AttemptResult) -> Outcome:
    """Return whether the request ran, as far as the result shows."""
    if result.kind is AttemptKind.ANSWERED:
        return Outcome.ANSWERED
    return Outcome.NOT_RUN if result.kind in _NOT_RUN else Outcome.UNKNOWN


def combine_outcomes(outcomes: list[Outcome]) -> Outcome:
    """Return the call's outcome: "not run" only if no attempt may have run."""
    for outcome in (Outcome.ANSWERED, Outcome.UNKNOWN):
        if outcome in outcomes:
            return outcome
    return Outcome.NOT_RUN


def is_retryable(result: AttemptResult, idempotent: bool) -> bool:
    """Return whether another attempt is safe and may succeed."""
    outcome = classify_result(result)
    if outcome is Outcome.NOT_RUN:
        return True
    return idempotent and (outcome is Outcome.UNKNOWN or result.is_server_error)


def retry_cost(result: AttemptResult) -> float:
    """Return the cost in tokens of an attempt after this one."""
    return NOT_RUN_COST if classify_result(result) is Outcome.NOT_RUN else RETRY_COST


def attempt_timeout_s(
    policy: Policy, idempotent: bool, attempts: int, remaining_s: float, median_s: float
) -> float:
    """Return the timeout in seconds of the next attempt.

    `attempts` is the number of attempts that the call has made so far.
    """
    last = attempts + 1 >= policy.max_attempts
    half_s = remaining_s / 2
    if idempotent and not last and 0.0 < median_s * EARLY_TIMEOUT_RATIO < half_s:
        return half_s
    return remaining_s


@define(kw_only=True)
class RetryBudget:
    """Limit retries to a percentage of a service's calls."""

    percent: float
    tokens: float = BUDGET_BURST
    burst: float = BUDGET_BURST

    def earn(self) -> None:
        """Add the fraction of a token that one new call allows."""
        self.tokens = min(self.burst, self.tokens + self.percent / 100)

    def spend(self, cost: float) -> bool:
        """Take the tokens for a retry; return False if none is allowed."""
        if not self.percent or self.tokens < cost:
            return False
        self.tokens -= cost
        return True
