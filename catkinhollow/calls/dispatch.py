"""Execute the decisions of the call router."""

from collections.abc import Awaitable, Callable

import trio

from catkinhollow.calls.call import Call, GiveUp, RequestAttributes, SendTo, Wait
from catkinhollow.calls.call_router import CallRouter
from catkinhollow.calls.egress import TargetClient
from catkinhollow.calls.exchange import (
    BACKER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    TRACE_HEADER,
    Headers,
    Outcome,
    Request,
    Response,
    not_run_response,
    plain_response,
    request_with_headers,
    unknown_response,
    with_header,
)
from catkinhollow.calls.idempotency import (
    Conflict,
    Fresh,
    IdempotencyTable,
    InFlight,
    Replay,
    TableFull,
    Unknown,
    fingerprint,
)
from catkinhollow.calls.retries import AttemptKind, AttemptResult
from catkinhollow.daemon.metrics import Metrics
from catkinhollow.daemon.tracing import HopSpan, Tracer
from catkinhollow.logs import get_logger
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Waiting calls use capacity that appears without a release at most this much
# later.
WAKE_INTERVAL_S = 0.01

Disconnected = Callable[[], Awaitable[None]]


class Dispatcher:
    """Handle calls: admit them, make attempts and retries."""

    def __init__(
        self,
        *,
        router: CallRouter,
        client: TargetClient,
        tracer: Tracer,
        timer: Timer,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._client = client
        self._tracer = tracer
        self._timer = timer
        self._clock = timer.clock
        self._metrics = metrics
        self._keys = IdempotencyTable()
        self._wake_due = False

    async def dispatch(self, request: Request, disconnected: Disconnected) -> Response:
        """Return the whole response to the request.

        `disconnected` returns when the caller has disconnected.
        """
        started_s = self._clock.monotonic()
        begun = self._router.begin(_read_attributes(request), started_s)
        if begun.is_error():
            refusal = begun.error
            self._metrics.refusals.inc({"reason": refusal.reason})
            return not_run_response(refusal.reason, status=refusal.status)
        call = begun.ok
        response = await self._handle(call, request, disconnected)
        duration_s = self._clock.monotonic() - started_s
        self._count(call, duration_s)
        return response

    async def _handle(
        self, call: Call, request: Request, disconnected: Disconnected
    ) -> Response:
        key = request.header(IDEMPOTENCY_HEADER)
        try:
            if key is None or call.route.idempotent:
                return await self._run(call, request, disconnected)
            backer = request.header(BACKER_HEADER) or b""
            # Header values have no line breaks, so the joined name is unique.
            name = (backer + b"\n" + key).decode("latin-1")
            return await self._run_keyed(call, request, name, disconnected)
        finally:
            # Ends a call whose task was cancelled or whose key already decided
            # the response.
            call.close(self._clock.monotonic())

    async def _run_keyed(
        self, call: Call, request: Request, key: str, disconnected: Disconnected
    ) -> Response:
        path = f"{request.path}?{request.query.decode('latin-1')}"
        request_fingerprint = fingerprint(request.method, path, request.body)
        while True:
            step = self._keys.begin(key, request_fingerprint, self._clock.monotonic())
            match step:
                case Fresh():
                    return await self._run_new_key(call, request, key, disconnected)
                case InFlight():
                    await self._wait_for_key(key)
                case Replay(response=response):
                    return response
                case Unknown():
                    return unknown_response("the outcome of this key is unknown")
                case Conflict():
                    reason = "the key belongs to a different request"
                    return plain_response(409, reason)
                case TableFull():
                    return not_run_response("too many keyed requests")

    async def _run_new_key(
        self, call: Call, request: Request, key: str, disconnected: Disconnected
    ) -> Response:
        outcome, response = Outcome.UNKNOWN, None
        try:
            response = await self._run(call, request, disconnected)
            outcome = call.outcome or Outcome.UNKNOWN
            return response
        finally:
            self._keys.finish(key, outcome, response, self._clock.monotonic())

    async def _wait_for_key(self, key: str) -> None:
        finished = trio.Event()
        self._keys.wait(key, finished.set)
        await finished.wait()

    async def _run(
        self, call: Call, request: Request, disconnected: Disconnected
    ) -> Response:
        span = self._tracer.start(request, call.route.name)
        try:
            response = await self._attempt_until_done(call, request, span, disconnected)
            span.set("http.response.status_code", response.status)
            return response
        finally:
            span.end()

    async def _attempt_until_done(
        self, call: Call, request: Request, span: HopSpan, disconnected: Disconnected
    ) -> Response:
        last_response: Response | None = None
        while True:
            step = call.next_step(self._clock.monotonic())
            if isinstance(step, GiveUp):
                if not call.attempts:
                    self._metrics.refusals.inc({"reason": step.reason})
                return _build_response(step, last_response)
            if isinstance(step, Wait):
                if not await self._wait(call, step, disconnected):
                    return not_run_response("the caller went away")
                continue
            response = await self._attempt(call, step, request, span)
            last_response = response or last_response
            if call.done:
                if call.outcome is Outcome.ANSWERED and response is not None:
                    return response
                reason = "no answer from the target"
                return _build_response(
                    GiveUp(outcome=call.outcome or Outcome.UNKNOWN, reason=reason),
                    last_response,
                )

    async def _wait(self, call: Call, step: Wait, disconnected: Disconnected) -> bool:
        """Wait for capacity; return False if the caller disconnected."""
        changed = trio.Event()
        call.on_wait_end(changed.set)
        self._schedule_wake()
        caller_disconnected = trio.Event()

        async def watch() -> None:
            await disconnected()
            caller_disconnected.set()
            nursery.cancel_scope.cancel()

        remaining_s = max(0.0, step.until_s - self._clock.monotonic())
        with trio.move_on_after(remaining_s):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch)
                await changed.wait()
                nursery.cancel_scope.cancel()
        return not caller_disconnected.is_set()

    def _schedule_wake(self) -> None:
        if not self._wake_due:
            self._wake_due = True
            self._timer.call_after(WAKE_INTERVAL_S, self._wake)

    def _wake(self) -> None:
        self._wake_due = False
        if self._router.wake(self._clock.monotonic()):
            self._schedule_wake()

    async def _attempt(
        self, call: Call, step: SendTo, request: Request, span: HopSpan
    ) -> Response | None:
        address = step.entry.record.address
        result = AttemptResult(kind=AttemptKind.CANCELLED)
        try:
            with span.attempt(address):
                outgoing = _prepare(request, step, span)
                attempt = await self._client.send(address, outgoing, step.timeout_s)
            result = AttemptResult(kind=attempt.kind, status=attempt.status)
        finally:
            call.finish_attempt(result, self._clock.monotonic())
        if attempt.kind is AttemptKind.ANSWERED:
            return attempt.response
        logger.debug(
            "attempt failed",
            request_id=(request.header(REQUEST_ID_HEADER) or b"").decode("latin-1"),
            address=address,
            kind=attempt.kind.name,
            reason=attempt.reason,
        )
        return None

    def _count(self, call: Call, duration_s: float) -> None:
        outcome = call.outcome.value if call.outcome else "cancelled"
        self._metrics.calls.inc({"route": call.route.name, "outcome": outcome})
        self._metrics.call_seconds.observe({"route": call.route.name}, duration_s)


def _read_attributes(request: Request) -> RequestAttributes:
    deadline = request.header(DEADLINE_HEADER)
    return RequestAttributes(
        method=request.method,
        path=request.path,
        backer=(request.header(BACKER_HEADER) or b"").decode("latin-1"),
        deadline_ms=int(deadline) if deadline and deadline.isdigit() else None,
    )


def _prepare(request: Request, step: SendTo, span: HopSpan) -> Request:
    deadline_ms = max(1, int(step.timeout_s * 1000))
    headers: Headers = with_header(
        request.headers, DEADLINE_HEADER, str(deadline_ms).encode()
    )
    headers = with_header(headers, TRACE_HEADER, span.traceparent)
    return request_with_headers(request, headers)


def _build_response(step: GiveUp, last_response: Response | None) -> Response:
    match step.outcome:
        case Outcome.ANSWERED if last_response is not None:
            return last_response
        case Outcome.NOT_RUN:
            return not_run_response(step.reason)
        case _:
            return unknown_response(step.reason)
