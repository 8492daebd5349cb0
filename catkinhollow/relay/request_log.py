"""Log decisions about requests at a limited rate."""

from typing import Any

from catkinhollow.calls.egress import SendResult
from catkinhollow.generated.relay import Call
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.token_bucket import TokenBucket
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# Lines per second of one daemon. A line takes about 0.1 ms of processor time,
# so that logging takes less than 2 % of a core under overload.
LINES_PER_S = 20.0
BURST_LINES = 60.0
# One of this many answered requests is logged, so that most lines remain for
# failures.
ANSWERED_SAMPLE = 200


class RequestLog:
    """Log every failed request and a sample of the answered ones."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._line_bucket = TokenBucket(BURST_LINES, clock.monotonic())
        self._dropped_lines = 0
        self._answered_requests = 0

    def refused_at_gate(self, call: Call, reason: str, gate: Gate) -> None:
        """Log that the gate refused a call."""
        self._write(
            "gate refused",
            request_id=call.request_id,
            route=call.route,
            reason=reason,
            running=gate.running,
            waiting=gate.waiting,
            lifetime=gate.lifetime,
            budget_ms=call.budget_ms,
        )

    def run_failed(self, call: Call, attempt: SendResult, lifetime: str) -> None:
        """Log that a run at the target ended without an answer."""
        self._write(
            "run failed",
            request_id=call.request_id,
            route=call.route,
            kind=attempt.kind.name.lower(),
            reason=attempt.reason,
            lifetime=lifetime,
        )

    def attempt_failed(self, request_id: str, **fields: Any) -> None:
        """Log that a gate did not answer a call, or refused it."""
        self._write("attempt failed", request_id=request_id, **fields)

    def failed(self, request_id: str, **fields: Any) -> None:
        """Log that a caller gets no answer from a target."""
        self._write("request failed", request_id=request_id, **fields)

    def answered(self, request_id: str, **fields: Any) -> None:
        """Log a sample of the requests that a target answered."""
        self._answered_requests += 1
        if self._answered_requests % ANSWERED_SAMPLE == 0:
            self._write("request answered", request_id=request_id, **fields)

    def _write(self, event: str, **fields: Any) -> None:
        self._line_bucket.refill(LINES_PER_S, self._clock.monotonic())
        if not self._line_bucket.has_token:
            self._dropped_lines += 1
            return
        self._line_bucket.take()
        if self._dropped_lines:
            fields["lines_dropped"], self._dropped_lines = self._dropped_lines, 0
        logger.info(event, **fields)
