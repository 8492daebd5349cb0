"""Serve the stand-in store over HTTP."""

from math import inf
from typing import Any
from urllib.parse import parse_qs, unquote

import trio
from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.calls.exchange import Request, Response, json_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
    wait_disconnect,
)
from catkinhollow.codec import decode_json, encode_json
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.store import ErrorBody, ObjectWrite, StoredObject
from catkinhollow.generated.testbed import (
    OutageMode,
    ResponseLoss,
    StoreFaults,
)
from catkinhollow.platform.headers import STORE_ERA_HEADER
from catkinhollow.testbed.faults import merge_faults
from catkinhollow.testbed.responses import cancel_on_disconnect, send_truncated
from catkinhollow.testbed.store_state import StoreState

MAX_VALUE_BYTES = 1024 * 1024

# The body holds the writer id and JSON syntax beside the value.
MAX_BODY_BYTES = MAX_VALUE_BYTES + 1024

MAX_WAIT_S = 60.0

STATUS_BY_KIND = {StoreErrorKind.CONFLICT: 409, StoreErrorKind.NOT_FOUND: 404}


@frozen(kw_only=True)
class _Watch:
    """Describe a watch as a client requests it."""

    kind: str
    after: int
    wait_s: float


class StoreApp:
    """Serve the HTTP calls to a stand-in store."""

    def __init__(self, state: StoreState) -> None:
        self._state = state
        self._changed = trio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""

        async def send_with_era(message: Any) -> None:
            if self._state.era and message["type"] == "http.response.start":
                era = (STORE_ERA_HEADER, str(self._state.era).encode())
                message = {**message, "headers": [*message["headers"], era]}
            await send(message)

        await self._serve(scope, receive, send_with_era)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        read = await read_request(scope, receive, MAX_BODY_BYTES)
        if read.is_error():
            await send_response(send, read.error)
        elif read.ok.path.startswith("/v1/"):
            await self._serve_api(read.ok, receive, send)
        else:
            await send_response(send, self._control(read.ok))

    async def _serve_api(self, request: Request, receive: Receive, send: Send) -> None:
        segments = request.path.removeprefix("/v1/").split("/")
        self._state.count_call(_call_name(request.method, segments))
        if await self._apply_outage(receive, send):
            return
        await trio.sleep(self._state.faults.delay_ms / 1000)
        if request.method == "GET" and segments == ["watch"]:
            await self._serve_watch(request, receive, send)
        elif request.method in ("PUT", "DELETE"):
            await self._serve_write(request, segments, receive, send)
        else:
            await send_response(send, self._read(request, segments))

    async def _apply_outage(self, receive: Receive, send: Send) -> bool:
        mode = self._state.faults.outage
        if mode is OutageMode.REFUSE:
            await send_response(send, _error(503, "the store is unavailable"))
        elif mode is OutageMode.HANG:
            await wait_disconnect(receive)
        return mode is not OutageMode.NONE

    def _read(self, request: Request, segments: list[str]) -> Response:
        match request.method, segments:
            case "GET", ["objects", kind]:
                return json_response(200, self._state.list_objects(unquote(kind)))
            case "GET", ["objects", kind, name]:
                stored = self._state.get(unquote(kind), unquote(name))
                if stored is None or stored.deleted:
                    return _not_found_response(stored)
                return json_response(200, stored)
        return _error(400, "no such call")

    async def _serve_write(
        self, request: Request, segments: list[str], receive: Receive, send: Send
    ) -> None:
        result = self._write(request, segments)
        if result.is_error():
            await send_response(send, result.error)
            return
        self._notify()
        response = json_response(200, result.ok)
        match self._state.consume_response_loss():
            case None:
                await send_response(send, response)
            case ResponseLoss.CUT:
                await send_truncated(send, response)
            case ResponseLoss.HANG:
                await wait_disconnect(receive)

    def _write(
        self, request: Request, segments: list[str]
    ) -> Result[StoredObject, Response]:
        if len(segments) != 3 or segments[0] != "objects":
            return Error(_error(400, "no such call"))
        kind, name = unquote(segments[1]), unquote(segments[2])
        if_revision = _parse_revision(request.header(b"if-match"))
        if if_revision is None:
            return Error(_error(400, "If-Match holds no revision"))
        if request.method == "DELETE":
            writer_id = (request.header(b"x-writer-id") or b"").decode("latin-1")
            result = self._state.delete(kind, name, writer_id, if_revision=if_revision)
            return result.map_error(_error_response)
        write = decode_json(request.body, ObjectWrite)
        if write.is_error():
            return Error(_error(400, write.error.reason))
        if len(encode_json(write.ok.value)) > MAX_VALUE_BYTES:
            return Error(_error(413, f"the value exceeds {MAX_VALUE_BYTES} bytes"))
        result = self._state.put(kind, name, write.ok, if_revision=if_revision)
        return result.map_error(_error_response)

    async def _serve_watch(
        self, request: Request, receive: Receive, send: Send
    ) -> None:
        parsed = _parse_watch(request)
        if parsed.is_error():
            await send_response(send, parsed.error)
            return
        watch = parsed.ok
        await self._wait_for_changes(watch, receive)
        if not await self._apply_outage(receive, send):
            found = self._state.changes(watch.kind, watch.after)
            response = json_response(200, found or self._state.no_changes())
            await send_response(send, response)

    async def _wait_for_changes(self, watch: _Watch, receive: Receive) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cancel_on_disconnect, receive, nursery)
            with trio.move_on_after(watch.wait_s):
                while self._must_wait(watch):
                    await self._changed.wait()
            nursery.cancel_scope.cancel()

    def _must_wait(self, watch: _Watch) -> bool:
        if self._state.faults.outage is not OutageMode.NONE:
            return False
        return self._state.changes(watch.kind, watch.after) is None

    def _control(self, request: Request) -> Response:
        match request.method, request.path:
            case "GET", "/counters":
                return json_response(200, self._state.counters())
            case "DELETE", "/counters":
                self._state.reset_counters()
                return json_response(200, self._state.counters())
            case "GET", "/faults":
                return json_response(200, self._state.faults)
            case "POST", "/faults":
                return self._change_faults(request.body)
            case "DELETE", "/faults":
                return self._change_faults(encode_json(StoreFaults()))
        return _error(404, "no such path")

    def _change_faults(self, body: bytes) -> Response:
        merged = merge_faults(self._state.faults, body)
        if merged.is_error():
            return _error(400, merged.error.reason)
        self._state.set_faults(merged.ok)
        # An outage applies to waiting watches too.
        self._notify()
        return json_response(200, merged.ok)

    def _notify(self) -> None:
        changed, self._changed = self._changed, trio.Event()
        changed.set()


def _call_name(method: str, segments: list[str]) -> str:
    if method != "GET":
        return method.lower()
    if segments == ["watch"]:
        return "watch"
    return "list" if len(segments) == 2 else "get"


def _parse_watch(request: Request) -> Result[_Watch, Response]:
    query = parse_qs(request.query.decode("latin-1"))
    kind = query.get("kind", [""])[0]
    after = _parse_revision(query.get("after", ["0"])[0].encode())
    wait_s = _parse_seconds(query.get("wait_s", ["30"])[0])
    if not kind or after is None or wait_s is None:
        return Error(_error(400, "a watch needs kind, after and wait_s"))
    return Ok(_Watch(kind=kind, after=after, wait_s=min(wait_s, MAX_WAIT_S)))


def _parse_revision(text: bytes | None) -> int | None:
    value = (text or b"").strip(b'"')
    return int(value) if value.isdigit() else None


def _parse_seconds(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < inf else None


def _not_found_response(deleted: StoredObject | None) -> Response:
    body = ErrorBody(
        error="no such object",
        revision=deleted.revision if deleted else 0,
        writer_id=deleted.writer_id if deleted else "",
    )
    return json_response(404, body)


def _error_response(error: StoreError) -> Response:
    status = STATUS_BY_KIND.get(error.kind, 400)
    return _error(status, error.reason, error.revision)


def _error(status: int, reason: str, revision: int = 0) -> Response:
    return json_response(status, ErrorBody(error=reason, revision=revision))
