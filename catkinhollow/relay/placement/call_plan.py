"""Decide the steps of one call at its ingress daemon."""

from collections.abc import Callable

from attrs import define, field, frozen

from catkinhollow.calls.retries import SERVER_ERROR, RetryBudget
from catkinhollow.generated.relay import Answer, CallOutcome, RelayRoute
from catkinhollow.relay.placement.peers import Peer

# Limit of the gates that one call is sent to. A refusal costs no target any
# work, but delays the answer to a caller that could retry elsewhere.
MAX_GATES = 3
# Retry hint to callers when no gate accepts calls. The gate of a restarted
# daemon opens at the next announcement of its target, about once a second.
NO_GATE_RETRY_S = 1.0
# With less time left, another gate cannot answer before the deadline.
MIN_TIME_LEFT_S = 0.02
# Cost of a retry, in tokens of the retry budget, after a target has refused
# the call or may have run it; it is free if the call has not reached a target.
# A repeated run repeats its own calls too, which add retries at the services
# that it calls.
REFUSED_RETRY_COST = 1.0
RUN_RETRY_COST = 2.0
IDEMPOTENT_KINDS = ("safe", "download")


def is_idempotent(route: RelayRoute) -> bool:
    """Return whether a request on the route may run more than once.

    An unknown kind of route is treated as not idempotent.
    """
    return route.kind in IDEMPOTENT_KINDS


@frozen
class SendTo:
    """Request that the call is sent to a peer."""

    peer: Peer


@frozen(kw_only=True)
class GiveUp:
    """Request an error response because no target has answered."""

    outcome: CallOutcome
    reason: str
    retry_after_s: float = 0.0


@frozen
class Deliver:
    """Request that a target's answer is returned to the caller."""

    answer: Answer


Step = SendTo | GiveUp | Deliver

ChoosePeer = Callable[[set[str]], Peer | None]


@define(eq=False, kw_only=True)
class CallPlan:
    """Choose the gates of one call until it has an answer.

    A call that is not idempotent is sent to another gate only while it is
    certain that no target has run it.
    """

    route: RelayRoute
    service: str
    deadline_s: float
    choose_peer: ChoosePeer
    budget: RetryBudget
    tried_addresses: set[str] = field(factory=set)
    target_attempts: int = 0
    """Number of attempts that reached a target."""
    outcome_unknown: bool = False
    """Whether a target may have run the call without a final answer."""
    reason: str = "no target accepts calls"
    """Reason that an error response gives."""
    retry_after_s: float = 0.0
    """Shortest retry hint of the refusals."""
    _fallback_answer: Answer | None = None
    """Error response of a target, delivered if no retry succeeds."""
    _gates_tried: int = 0
    _retry_cost: float = 0.0
    """Cost of the next attempt in tokens of the retry budget."""

    @property
    def idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return is_idempotent(self.route)

    def next_step(self, now_s: float) -> Step:
        """Choose the gate of the next attempt or end the call."""
        left_s = self.deadline_s - now_s
        if left_s <= MIN_TIME_LEFT_S or self._gates_tried >= MAX_GATES:
            return self._finish()
        if self.target_attempts >= self.route.max_attempts:
            return self._finish()
        if self.outcome_unknown and not self.idempotent:
            return self._finish()
        peer = self.choose_peer(self.tried_addresses)
        if peer is None:
            if not self._gates_tried:
                self.retry_after_s = NO_GATE_RETRY_S
            return self._finish()
        if self._retry_cost and not self.budget.spend(self._retry_cost):
            self.reason = f"{self.reason}; retry budget spent"
            return self._finish()
        self._retry_cost = 0.0
        self._gates_tried += 1
        self.tried_addresses.add(peer.record.address)
        return SendTo(peer)

    def on_answer(self, answer: Answer) -> Deliver | None:
        """Handle the answer of a gate; return `Deliver` if it is final."""
        if answer.reached_target:
            self.target_attempts += 1
            refused = answer.outcome is CallOutcome.NOT_RUN
            self._retry_cost = REFUSED_RETRY_COST if refused else RUN_RETRY_COST
        self.reason = answer.reason
        match answer.outcome:
            case CallOutcome.ANSWERED if not self._should_retry(answer):
                return Deliver(answer)
            case CallOutcome.ANSWERED:
                self._fallback_answer = answer
                self.outcome_unknown = True
            case CallOutcome.UNKNOWN:
                self.outcome_unknown = True
            case CallOutcome.NOT_RUN:
                hint_s = answer.retry_after_ms / 1000.0
                known_s = self.retry_after_s
                self.retry_after_s = min(known_s, hint_s) if known_s else hint_s
        return None

    def _should_retry(self, answer: Answer) -> bool:
        return (
            answer.status >= SERVER_ERROR
            and self.idempotent
            and self.target_attempts < self.route.max_attempts
        )

    def _finish(self) -> GiveUp | Deliver:
        if self._fallback_answer is not None:
            return Deliver(self._fallback_answer)
        outcome = CallOutcome.UNKNOWN if self.outcome_unknown else CallOutcome.NOT_RUN
        return GiveUp(
            outcome=outcome, reason=self.reason, retry_after_s=self.retry_after_s
        )
