"""Send requests to targets over persistent HTTP connections."""

from collections import defaultdict
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
from catkinhollow.calls.limited_stream import LimitedStream
from catkinhollow.calls.response_bodies import ResponseBodies
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
# A parsed header takes far more memory than its bytes.
MAX_RESPONSE_HEADERS = 512
# Bounds the memory for the responses that arrive at the same time.
MAX_BODIES_BYTES = 32 * 1024 * 1024
# Each part costs processor time, so that a body of tiny parts would keep the
# daemon busy long before the limit of its size.
MAX_BODY_PARTS = 16_384
REUSABLE_KINDS = (AttemptKind.ANSWERED, AttemptKind.REFUSED)


@frozen(kw_only=True)
class SendResult:
    """Represent the result of one attempt at a target.

    The reason is for logs and empty when the target answered.
    """

    kind: AttemptKind
    response: Response | None = None
    reason: str = ""

    @property
    def status(self) -> int:
        """Return the status of the response, 0 without one."""
        return self.response.status if self.response else 0


class TargetClient(Protocol):
    """Send single requests to targets."""

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> SendResult:
        """Make one attempt; the timeout is in seconds."""


class Classify(Protocol):
    """Find out what a whole response says about its request."""

    def __call__(
        self, request: Request, response: Response, /, *, reused: bool = False
    ) -> SendResult:
        """Return the result of the attempt.

        On a reused connection a response may belong to an earlier request.
        """


@frozen(eq=False)
class _Connection:
    """Represent a connection with the stream below it."""

    http: AsyncHTTP11Connection
    stream: LimitedStream
    reused: bool = False


@define
class _Connections:
    """Represent the connections to one target, idle ones and their total."""

    idle: list[_Connection] = Factory(list)
    count: int = 0


def classify_response(
    request: Request, response: Response, /, *, reused: bool = False
) -> SendResult:
    """Return the result of an attempt from a whole response."""
    sent_id = request.header(REQUEST_ID_HEADER)
    response_id = response.header(REQUEST_ID_HEADER)
    if response_id is not None and response_id != sent_id:
        reason = "answer to another request"
        return SendResult(kind=AttemptKind.BROKEN, reason=reason)
    if response.header(NOT_RUN_HEADER) == b"1":
        if response_id is None and reused:
            # A target may write the refusal of an earlier request once more.
            reason = "refusal without an id on a reused connection"
            return SendResult(kind=AttemptKind.BROKEN, reason=reason)
        return SendResult(kind=AttemptKind.REFUSED, response=response, reason="refused")
    return SendResult(kind=AttemptKind.ANSWERED, response=response)


class HttpTargetClient:
    """Keep connections per target, each for one request at a time."""

    def __init__(
        self,
        settings: HttpSettings,
        classify: Classify = classify_response,
        idle_expiry_s: float = IDLE_EXPIRY_S,
    ) -> None:
        self._settings = settings
        self._classify = classify
        self._idle_expiry_s = idle_expiry_s
        self._backend = TrioBackend()
        self._targets: dict[str, _Connections] = defaultdict(_Connections)
        self._bodies = ResponseBodies(max(MAX_BODIES_BYTES, settings.max_body_bytes))

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> SendResult:
        """Make one attempt; the timeout is in seconds."""
        deadline_s = trio.current_time() + timeout_s
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
        reusable = False
        try:
            attempt = await self._exchange(connection, address, request, deadline_s)
            reusable = attempt.kind in REUSABLE_KINDS
        finally:
            await self._release_connection(connections, connection, reusable)
        return attempt

    async def aclose(self) -> None:
        """Close the idle connections."""
        for connections in self._targets.values():
            while connections.idle:
                await connections.idle.pop().http.aclose()

    async def _take_idle(self, connections: _Connections) -> _Connection | None:
        while connections.idle:
            connection = connections.idle.pop()
            if connection.http.is_idle() and not connection.http.has_expired():
                return _Connection(connection.http, connection.stream, reused=True)
            connections.count -= 1
            await connection.http.aclose()
        return None

    async def _open(
        self, connections: _Connections, address: str, timeout_s: float
    ) -> _Connection | None:
        connections.count += 1
        connection = None
        try:
            connection = await self._connect(address, timeout_s)
        finally:
            if connection is None:
                connections.count -= 1
        return connection

    async def _connect(self, address: str, timeout_s: float) -> _Connection | None:
        host, _, port = address.rpartition(":")
        limit_s = min(timeout_s, self._settings.connect_timeout_ms / 1000)
        try:
            tcp = await self._backend.connect_tcp(host, int(port), timeout=limit_s)
        except (ConnectError, ConnectTimeout):
            return None
        stream = LimitedStream(tcp, self._settings.max_header_bytes)
        origin = Origin(b"http", host.encode(), int(port))
        http = AsyncHTTP11Connection(
            origin, stream, keepalive_expiry=self._idle_expiry_s
        )
        return _Connection(http, stream)

    async def _exchange(
        self,
        connection: _Connection,
        address: str,
        request: Request,
        deadline_s: float,
    ) -> SendResult:
        if trio.current_time() >= deadline_s:
            # A request that is sent after a pause of this process could run
            # although its caller has got another answer.
            return SendResult(
                kind=AttemptKind.NOT_CONNECTED, reason="no time left after the connect"
            )
        http_request = _to_http_request(address, request)
        with trio.move_on_at(deadline_s):
            try:
                return await self._read_response(connection, http_request, request)
            except ConnectionNotAvailable:
                # httpcore refuses before it writes the first byte.
                return SendResult(
                    kind=AttemptKind.NOT_CONNECTED, reason="connection closed"
                )
            except (NetworkError, ProtocolError, TimeoutException) as error:
                reason = f"{type(error).__name__}: {error}"
                return SendResult(kind=AttemptKind.BROKEN, reason=reason)
        return SendResult(kind=AttemptKind.TIMEOUT, reason="timeout")

    async def _read_response(
        self,
        connection: _Connection,
        http_request: HttpRequest,
        request: Request,
    ) -> SendResult:
        connection.stream.begin_head()
        http_response = await connection.http.handle_async_request(http_request)
        connection.stream.end_head()
        limit = self._settings.max_body_bytes
        try:
            if len(http_response.headers) > MAX_RESPONSE_HEADERS:
                return _broken(f"with more than {MAX_RESPONSE_HEADERS} headers")
            with self._bodies.collect() as body:
                async for part in http_response.aiter_stream():
                    self._bodies.append(body, part)
                    if body.dropped:
                        break
                    if len(body.data) > limit or body.parts > MAX_BODY_PARTS:
                        return _broken(f"larger than {limit} bytes or in tiny parts")
        finally:
            await http_response.aclose()
        if body.dropped:
            return _broken("the largest of too many")
        headers = [(name.lower(), value) for name, value in http_response.headers]
        response = Response(
            status=http_response.status,
            headers=end_to_end_headers(headers),
            body=bytes(body.data),
        )
        return self._classify(request, response, reused=connection.reused)

    async def _release_connection(
        self,
        connections: _Connections,
        connection: _Connection,
        reusable: bool,
    ) -> None:
        # A connection whose exchange did not end cleanly may still carry the
        # response to the old request, so it is never used again.
        http = connection.http
        keep = reusable and http.is_idle() and not _has_extra_data(http)
        if keep and len(connections.idle) < self._settings.max_idle_connections:
            connections.idle.append(connection)
            return
        connections.count -= 1
        with trio.CancelScope(shield=True):
            await http.aclose()


def _broken(reason: str) -> SendResult:
    return SendResult(kind=AttemptKind.BROKEN, reason=f"response is {reason}")


def _has_extra_data(connection: AsyncHTTP11Connection) -> bool:
    # Bytes after a whole response would be read as the next response. httpcore
    # has no public way to detect those that it has already received.
    received, _ = connection._h11_state.trailing_data
    return bool(received)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop headers."""
    return [header for header in headers if header[0] not in HOP_BY_HOP]


def _to_http_request(address: str, request: Request) -> HttpRequest:
    host, _, port = address.rpartition(":")
    target = request.path.encode()
    if request.query:
        target += b"?" + request.query
    headers = end_to_end_headers(request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE"):
        headers = [*headers, (b"content-length", str(len(request.body)).encode())]
    url = URL(scheme=b"http", host=host.encode(), port=int(port), target=target)
    return HttpRequest(request.method, url, headers=headers, content=request.body)
