"""Send requests to targets over HTTP connections that are kept open."""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import Factory, define, frozen
from httpcore import (
    URL,
    AsyncHTTP11Connection,
    ConnectError,
    ConnectionNotAvailable,
    ConnectTimeout,
    NetworkError,
    Origin,
    ProtocolError,
    TimeoutException,
    TrioBackend,
)
from httpcore import Request as HttpRequest

from catkinhollow.calls.exchange import (
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Headers,
    Request,
    Response,
)
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.settings import HttpSettings

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
IDLE_EXPIRY_S = 30.0
CLEAN_KINDS = (AttemptKind.ANSWERED, AttemptKind.REFUSED)


@frozen(kw_only=True)
class SendResult:
    """Hold what one attempt at a target came to."""

    kind: AttemptKind
    response: Response | None = None
    reason: str = ""

    @property
    def status(self) -> int:
        """Return the status of the answer, 0 when there is none."""
        return self.response.status if self.response else 0


class TargetClient(Protocol):
    """Send one request to one target and report what is known of it."""

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> SendResult:
        """Make one attempt; the timeout is in seconds."""


Classify = Callable[[Request, Response], SendResult]


@define
class _Connections:
    """Hold the connections to one target."""

    idle: list[AsyncHTTP11Connection] = Factory(list)
    count: int = 0


def classify_answer(request: Request, answer: Response) -> SendResult:
    """Return what a whole response says about the request."""
    sent_id = request.header(REQUEST_ID_HEADER)
    answered_id = answer.header(REQUEST_ID_HEADER)
    if answered_id is not None and answered_id != sent_id:
        reason = "answer to another request"
        return SendResult(kind=AttemptKind.BROKEN, reason=reason)
    if answer.header(NOT_RUN_HEADER) == b"1":
        return SendResult(kind=AttemptKind.REFUSED, response=answer, reason="refused")
    return SendResult(kind=AttemptKind.ANSWERED, response=answer)


class HttpTargetClient:
    """Keep a plain list of connections per target, one exchange on each."""

    def __init__(
        self,
        settings: HttpSettings,
        classify: Classify = classify_answer,
        idle_expiry_s: float = IDLE_EXPIRY_S,
    ) -> None:
        self._settings = settings
        self._classify = classify
        self._idle_expiry_s = idle_expiry_s
        self._backend = TrioBackend()
        self._targets: dict[str, _Connections] = defaultdict(_Connections)

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> SendResult:
        """Make one attempt; the timeout is in seconds."""
        connections = self._targets[address]
        connection = await self._take_idle(connections)
        if connection is None:
            if connections.count >= self._settings.max_connections_per_target:
                return SendResult(
                    kind=AttemptKind.NOT_CONNECTED, reason="no free connection"
                )
            connection = await self._open(connections, address, timeout_s)
            if connection is None:
                return SendResult(
                    kind=AttemptKind.NOT_CONNECTED, reason="connect failed"
                )
        clean = False
        try:
            attempt = await self._exchange(connection, address, request, timeout_s)
            clean = attempt.kind in CLEAN_KINDS
        finally:
            await self._give_back(connections, connection, clean)
        return attempt

    async def aclose(self) -> None:
        """Close the idle connections."""
        for connections in self._targets.values():
            while connections.idle:
                await connections.idle.pop().aclose()

    async def _take_idle(
        self, connections: _Connections
    ) -> AsyncHTTP11Connection | None:
        while connections.idle:
            connection = connections.idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            connections.count -= 1
            await connection.aclose()
        return None

    async def _open(
        self, connections: _Connections, address: str, timeout_s: float
    ) -> AsyncHTTP11Connection | None:
        connections.count += 1
        connection = None
        try:
            connection = await self._connect(address, timeout_s)
        finally:
            if connection is None:
                connections.count -= 1
        return connection

    async def _connect(
        self, address: str, timeout_s: float
    ) -> AsyncHTTP11Connection | None:
        host, _, port = address.rpartition(":")
        limit_s = min(timeout_s, self._settings.connect_timeout_ms / 1000)
        try:
            stream = await self._backend.connect_tcp(host, int(port), timeout=limit_s)
        except (ConnectError, ConnectTimeout):
            return None
        origin = Origin(b"http", host.encode(), int(port))
        return AsyncHTTP11Connection(
            origin, stream, keepalive_expiry=self._idle_expiry_s
        )

    async def _exchange(
        self,
        connection: AsyncHTTP11Connection,
        address: str,
        request: Request,
        timeout_s: float,
    ) -> SendResult:
        http_request = _to_http(address, request)
        with trio.move_on_after(timeout_s):
            try:
                return await self._read_answer(connection, http_request, request)
            except ConnectionNotAvailable:
                # httpcore refuses before it writes the first byte.
                return SendResult(
                    kind=AttemptKind.NOT_CONNECTED, reason="connection closed"
                )
            except (NetworkError, ProtocolError, TimeoutException) as error:
                reason = f"{type(error).__name__}: {error}"
                return SendResult(kind=AttemptKind.BROKEN, reason=reason)
        return SendResult(kind=AttemptKind.TIMEOUT, reason="timeout")

    async def _read_answer(
        self,
        connection: AsyncHTTP11Connection,
        http_request: HttpRequest,
        request: Request,
    ) -> SendResult:
        response = await connection.handle_async_request(http_request)
        limit = self._settings.max_body_bytes
        body = bytearray()
        try:
            async for part in response.aiter_stream():
                body += part
                if len(body) > limit:
                    reason = f"response is larger than {limit} bytes"
                    return SendResult(kind=AttemptKind.BROKEN, reason=reason)
        finally:
            await response.aclose()
        headers = [(name.lower(), value) for name, value in response.headers]
        answer = Response(
            status=response.status,
            headers=end_to_end_headers(headers),
            body=bytes(body),
        )
        return self._classify(request, answer)

    async def _give_back(
        self, connections: _Connections, connection: AsyncHTTP11Connection, clean: bool
    ) -> None:
        # A connection whose exchange did not end cleanly may still carry the
        # answer to the old request, so it is never used again.
        keep = clean and connection.is_idle() and not _has_extra_data(connection)
        if keep and len(connections.idle) < self._settings.max_idle_connections:
            connections.idle.append(connection)
            return
        connections.count -= 1
        with trio.CancelScope(shield=True):
            await connection.aclose()


def _has_extra_data(connection: AsyncHTTP11Connection) -> bool:
    # Bytes after a whole response would be read as the next one. httpcore
    # offers no public way to see those that it has already received.
    received, _ = connection._h11_state.trailing_data
    return bool(received)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that concern one connection."""
    return [header for header in headers if header[0] not in HOP_BY_HOP]


def _to_http(address: str, request: Request) -> HttpRequest:
    host, _, port = address.rpartition(":")
    target = request.path.encode()
    if request.query:
        target += b"?" + request.query
    headers = end_to_end_headers(request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers = [*headers, (b"content-length", str(len(request.body)).encode())]
    url = URL(scheme=b"http", host=host.encode(), port=int(port), target=target)
    return HttpRequest(request.method, url, headers=headers, content=request.body)
