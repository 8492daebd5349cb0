"""Access the object store with JSON over HTTP."""

from typing import Any, TypeVar
from urllib.parse import quote
from uuid import uuid4

import trio
from attrs import define, frozen
from expression import Error, Ok, Result
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.codec import decode_json, encode_json
from catkinhollow.configuration.lost_write import (
    WriteIntent,
    resolve_lost_write,
    unknown_outcome,
)
from catkinhollow.configuration.store_sockets import IDLE_EXPIRY_S, SOCKET_OPTIONS
from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.settings import StoreSettings
from catkinhollow.generated.store import (
    ErrorBody,
    ObjectList,
    ObjectWrite,
    StoredObject,
)

WRITER_HEADER = "X-Writer-Id"

# A watch occupies one connection while it waits; the others are for reads and
# writes.
MAX_CONNECTIONS = 8

# A further attempt is made only after a read has shown that the previous one
# did not take effect.
MAX_WRITE_ATTEMPTS = 3

SENDING_EVENT = "http11.send_request_headers.started"

ERROR_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}

T = TypeVar("T")


@frozen(kw_only=True)
class _HttpResponse:
    """Represent the status and body of an HTTP response."""

    status: int
    body: bytes


@frozen(kw_only=True)
class _CallFailed:
    """Report a call without a usable response.

    request_sent is true if the store may have received the request.
    """

    reason: str
    request_sent: bool


@frozen(kw_only=True)
class _Write:
    """Represent one conditional write request."""

    method: str
    kind: str
    name: str
    intent: WriteIntent
    body: bytes | None = None


@define
class _SendTracker:
    """Record whether httpcore has started to send the request."""

    request_sent: bool = False

    async def trace(self, event: str, info: dict[str, Any]) -> None:
        if event == SENDING_EVENT:
            self.request_sent = True


class HttpStoreClient:
    """Access the store through a pool of HTTP connections."""

    def __init__(
        self, settings: StoreSettings, pool: AsyncConnectionPool | None = None
    ) -> None:
        address = settings.address
        self._base_url = f"http://{address.host}:{address.port}/v1"
        self._timeout_s = settings.timeout_ms / 1000
        self._pool = pool or AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            keepalive_expiry=IDLE_EXPIRY_S,
            socket_options=SOCKET_OPTIONS,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Return one object."""
        return await self._read(_object_path(kind, name), StoredObject)

    async def list_objects(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return all objects of a kind."""
        return await self._read(f"/objects/{_quote_segment(kind)}", ObjectList)

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ObjectList, StoreError]:
        """Return the objects changed after a revision; wait for the first."""
        path = f"/watch?kind={_quote_segment(kind)}&after={after}&wait_s={wait_s:g}"
        return await self._read(path, ObjectList, wait_s=wait_s)

    async def put(
        self, kind: str, name: str, value: Any, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if it still has the given revision, 0 if new."""
        intent = WriteIntent(if_revision=if_revision, writer_id=uuid4().hex)
        body = encode_json(ObjectWrite(value=value, writer_id=intent.writer_id))
        write = _Write(method="PUT", kind=kind, name=name, intent=intent, body=body)
        return await self._write(write)

    async def delete(
        self, kind: str, name: str, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Delete an object if it still has the given revision."""
        intent = WriteIntent(if_revision=if_revision, writer_id=uuid4().hex)
        write = _Write(method="DELETE", kind=kind, name=name, intent=intent)
        return await self._write(write)

    async def _read(
        self, path: str, result_class: type[T], *, wait_s: float = 0.0
    ) -> Result[T, StoreError]:
        response = await self._call("GET", path, timeout_s=self._timeout_s + wait_s)
        if isinstance(response, _CallFailed):
            return Error(_unavailable(response.reason))
        if response.status >= 300:
            return Error(_store_error(response))
        return decode_json(response.body, result_class).map_error(
            lambda error: _unavailable(f"malformed response: {error.reason}")
        )

    async def _write(self, write: _Write) -> Result[StoredObject, StoreError]:
        # True once an attempt may have taken effect. The error of a later
        # attempt then does not show the outcome, so the object is read.
        uncertain = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            result = await self._send_write(write)
            if (
                isinstance(result, _CallFailed)
                and not result.request_sent
                and not uncertain
            ):
                return Error(_unavailable(result.reason))
            if isinstance(result, Result) and (result.is_ok() or not uncertain):
                return result
            uncertain = True
            resolved = await self._read_outcome(
                write, newest_known=_reported_revision(result)
            )
            if resolved is not None:
                return resolved
        return Error(unknown_outcome("no response to any attempt"))

    async def _send_write(
        self, write: _Write
    ) -> Result[StoredObject, StoreError] | _CallFailed:
        response = await self._call(
            write.method,
            _object_path(write.kind, write.name),
            timeout_s=self._timeout_s,
            headers={
                "If-Match": str(write.intent.if_revision),
                WRITER_HEADER: write.intent.writer_id,
            },
            body=write.body,
        )
        if isinstance(response, _CallFailed):
            return response
        if response.status < 300:
            decoded = decode_json(response.body, StoredObject)
            if decoded.is_ok():
                return Ok(decoded.ok)
            return _CallFailed(
                reason=f"malformed response: {decoded.error}", request_sent=True
            )
        if response.status >= 500 and response.status not in ERROR_KINDS:
            return _CallFailed(reason=f"status {response.status}", request_sent=True)
        return Error(_store_error(response))

    async def _read_outcome(
        self, write: _Write, *, newest_known: int
    ) -> Result[StoredObject, StoreError] | None:
        response = await self._call(
            "GET", _object_path(write.kind, write.name), timeout_s=self._timeout_s
        )
        if isinstance(response, _CallFailed):
            return Error(unknown_outcome(response.reason))
        current = _decode_current(write, response)
        if current.is_error():
            return Error(current.error)
        return resolve_lost_write(write.intent, current.ok, newest_known=newest_known)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        timeout_s: float,
        headers: dict[bytes | str, bytes | str] | None = None,
        body: bytes | None = None,
    ) -> _HttpResponse | _CallFailed:
        tracker = _SendTracker()
        try:
            with trio.move_on_after(timeout_s):
                response = await self._pool.request(
                    method,
                    self._base_url + path,
                    headers=headers,
                    content=body,
                    extensions={"trace": tracker.trace},
                )
                return _HttpResponse(status=response.status, body=response.content)
        except (NetworkError, ProtocolError, TimeoutException) as error:
            reason = str(error) or type(error).__name__
            return _CallFailed(reason=reason, request_sent=tracker.request_sent)
        return _CallFailed(
            reason=f"no response within {timeout_s:g} s",
            request_sent=tracker.request_sent,
        )


def _quote_segment(segment: str) -> str:
    return quote(segment, safe="")


def _object_path(kind: str, name: str) -> str:
    return f"/objects/{_quote_segment(kind)}/{_quote_segment(name)}"


def _unavailable(reason: str) -> StoreError:
    return StoreError(kind=StoreErrorKind.UNAVAILABLE, reason=reason)


def _error_body(response: _HttpResponse) -> ErrorBody:
    fallback = ErrorBody(error=f"status {response.status}")
    return decode_json(response.body, ErrorBody).default_value(fallback)


def _store_error(response: _HttpResponse) -> StoreError:
    default = (
        StoreErrorKind.UNAVAILABLE if response.status >= 500 else StoreErrorKind.REFUSED
    )
    body = _error_body(response)
    return StoreError(
        kind=ERROR_KINDS.get(response.status, default),
        reason=body.error,
        revision=body.revision,
    )


def _reported_revision(result: Result[StoredObject, StoreError] | _CallFailed) -> int:
    return 0 if isinstance(result, _CallFailed) else result.error.revision


def _decode_current(
    write: _Write, response: _HttpResponse
) -> Result[StoredObject, StoreError]:
    if response.status == 404:
        body = _error_body(response)
        return Ok(
            StoredObject(
                kind=write.kind,
                name=write.name,
                revision=body.revision,
                value=None,
                writer_id=body.writer_id,
                deleted=True,
            )
        )
    if response.status >= 300:
        return Error(unknown_outcome(_error_body(response).error))
    return decode_json(response.body, StoredObject).map_error(
        lambda error: unknown_outcome(f"malformed response: {error.reason}")
    )
