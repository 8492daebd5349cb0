"""Serve the stand-in target over HTTP."""

from math import inf
from urllib.parse import parse_qs
from uuid import uuid4

import trio
from attrs import evolve
from expression import Error, Ok, Result

from catkinhollow.calls.exchange import (
    DEADLINE_HEADER,
    IDEMPOTENCY_HEADER,
    REQUEST_ID_HEADER,
    VERSION_HEADER,
    Request,
    Response,
    not_run_response,
)
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
from catkinhollow.codec import encode_json
from catkinhollow.generated.testbed import Execution, FaultMode
from catkinhollow.testbed.downstream import DownstreamCaller, parse_then
from catkinhollow.testbed.responses import cancel_on_disconnect, send_truncated
from catkinhollow.testbed.target_control import TargetControl
from catkinhollow.testbed.target_model import Call, Plan, TargetModel, Work
from catkinhollow.timer import Clock

MAX_REQUEST_BYTES = 8 * 1024 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
DOWNSTREAM_FAILED_STATUS = 502


class TargetApp:
    """Serve the HTTP calls to a stand-in target."""

    def __init__(
        self,
        model: TargetModel,
        clock: Clock,
        control: TargetControl,
        downstream: DownstreamCaller | None = None,
    ) -> None:
        self._model = model
        self._downstream = downstream or DownstreamCaller()
        self._clock = clock
        self._control = control
        self._slot_events: dict[Work, trio.Event] = {}
        self._previous_call = Call(request_id="none", method="GET", path="/none")

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        read = await read_request(scope, receive, MAX_REQUEST_BYTES)
        if read.is_error():
            await send_response(send, read.error)
            return
        response = self._control.respond(read.ok)
        if response is not None:
            await send_response(send, response)
            return
        call = _parse_call(read.ok)
        if call.is_error():
            await send_response(send, call.error)
        else:
            await self._serve_call(call.ok, receive, send)

    async def _serve_call(self, call: Call, receive: Receive, send: Send) -> None:
        admitted = self._model.admit(call, self._clock.monotonic())
        if admitted.is_error():
            await self._send_refusal(call, admitted.error.reason, send)
            return
        work = admitted.ok
        if not work.has_slot and not await self._wait_for_slot(work, receive):
            self._release(work)
            return
        plan = self._model.begin(work, self._clock.monotonic())
        if plan.is_error():
            self._release(work)
            await self._send_refusal(call, plan.error.reason, send)
            return
        finished = await self._run(work, plan.ok)
        await self._send_response(call, finished, send)

    async def _wait_for_slot(self, work: Work, receive: Receive) -> bool:
        slot_event = self._slot_events[work] = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, receive, nursery)
            await slot_event.wait()
            nursery.cancel_scope.cancel()
        del self._slot_events[work]
        return slot_event.is_set()

    def _release(self, work: Work) -> None:
        following = self._model.release(work)
        if following is not None:
            self._slot_events[following].set()

    async def _run(self, work: Work, plan: Plan) -> Plan:
        call = work.call
        number = self._control.recorder.start(
            Execution(
                request_id=call.request_id,
                method=call.method,
                path=call.path,
                idempotency_key=call.idempotency_key,
                start_ms=self._clock.unix_ms(),
            )
        )
        await trio.sleep(plan.duration_s)
        if not await self._downstream.call(call):
            plan = evolve(plan, status=DOWNSTREAM_FAILED_STATUS)
        end_ms = self._clock.unix_ms()
        self._control.recorder.finish(number, end_ms=end_ms, status=plan.status)
        self._release(work)
        return plan

    async def _send_response(self, call: Call, plan: Plan, send: Send) -> None:
        named_call = self._previous_call if plan.fault is FaultMode.MISMATCH else call
        self._previous_call = call
        response = Response(
            status=plan.status,
            headers=[
                (b"content-type", b"application/json"),
                *self._identity_headers(named_call),
            ],
            body=self._body(named_call, call.body_bytes),
        )
        if plan.fault is FaultMode.TRUNCATE:
            await send_truncated(send, response)
        else:
            await send_response(send, response)

    async def _send_refusal(self, call: Call, reason: str, send: Send) -> None:
        refusal = not_run_response(reason)
        refusal.headers.extend(self._identity_headers(call))
        await send_response(send, refusal)

    def _identity_headers(self, call: Call) -> list[tuple[bytes, bytes]]:
        return [
            (REQUEST_ID_HEADER, call.request_id.encode("latin-1")),
            (VERSION_HEADER, self._control.identity.version.encode("latin-1")),
        ]

    def _body(self, call: Call, size_bytes: int) -> bytes:
        body = encode_json(
            {
                "request_id": call.request_id,
                "path": call.path,
                "service": self._control.identity.service,
                "version": self._control.identity.version,
            }
        )
        return body.ljust(size_bytes)


def _parse_call(request: Request) -> Result[Call, Response]:
    try:
        return Ok(_read_call(request))
    except ValueError as error:
        return Error(not_run_response(str(error), status=400))


def _read_call(request: Request) -> Call:
    query = parse_qs(request.query.decode("latin-1")) if request.query else {}
    deadline_ms = request.header(DEADLINE_HEADER)
    request_id = request.header(REQUEST_ID_HEADER)
    return Call(
        request_id=request_id.decode("latin-1") if request_id else uuid4().hex,
        method=request.method,
        path=request.path,
        idempotency_key=(request.header(IDEMPOTENCY_HEADER) or b"").decode("latin-1"),
        deadline_s=int(deadline_ms) / 1000 if deadline_ms else None,
        work_ms=_number(query, "work_ms"),
        body_bytes=min(int(_number(query, "size") or 0), MAX_RESPONSE_BYTES),
        then=parse_then(query.get("then", [""])[0]),
    )


def _number(query: dict[str, list[str]], name: str) -> float | None:
    if name not in query:
        return None
    value = float(query[name][0])
    if not 0.0 <= value < inf:
        raise ValueError(f"{name} is no size or time")
    return value
