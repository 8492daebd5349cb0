"""Send requests to targets over persistent HTTP connections."""

from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

import trio
from attrs import Factory, define, field, frozen

from catkinhollow.calls.exchange import (
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Request,
    Response,
)
from catkinhollow.calls.http_encoding import EncodingError, encode_request
from catkinhollow.calls.http_parser import InvalidResponseError
from catkinhollow.calls.response_bodies import ResponseBodies
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.calls.silence import (
    REMOTE_LIMITS,
    SilenceLimits,
    limit_silence,
    limit_unacknowledged,
)
from catkinhollow.calls.socket_stream import (
    NETWORK_ERRORS,
    SocketBackend,
    StreamBackend,
)
from catkinhollow.calls.target_connection import TargetConnection, is_silence
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

IDLE_EXPIRY_S = 30.0
# Bounds the memory for the responses that arrive at the same time.
MAX_BODIES_BYTES = 32 * 1024 * 1024
REUSABLE_KINDS = (AttemptKind.ANSWERED, AttemptKind.REFUSED)
# A request that its caller gave up earlier without a byte of a response does
# not show that its connection is silent.
MIN_SILENCE_S = 0.5
# A target may read a longer request only when a slot is free. Its connection
# is then alive, although the written bytes stay unacknowledged.
MAX_UNREAD_BYTES = 4096


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


OnEarly = Callable[[SendResult], None]


class TargetClient(Protocol):
    """Send single requests to targets."""

    async def send(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        on_early: OnEarly | None = None,
    ) -> SendResult:
        """Make one attempt; the timeout is in seconds.

        The callback gets the result if the target responds before it has read
        the request, the rest of which is then sent before this returns.
        """


class Classify(Protocol):
    """Find out what a whole response says about its request."""

    def __call__(
        self, request: Request, response: Response, /, *, reused: bool = False
    ) -> SendResult:
        """Return the result of the attempt.

        On a reused connection a response may belong to an earlier request.
        """


@define(eq=False)
class _Connection:
    """Represent a connection with what is known of its use."""

    http: TargetConnection
    reused: bool = False
    answered_s: float = field(factory=trio.current_time)
    """When it was opened or carried the last whole response."""
    unacknowledged_ms: int = 0
    """The limit that is set for written bytes, 0 for none."""


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
        silence: SilenceLimits = REMOTE_LIMITS,
    ) -> None:
        self._settings = settings
        self._classify = classify
        self._idle_expiry_s = idle_expiry_s
        self._silence = silence
        self._backend: StreamBackend = SocketBackend()
        self._targets: dict[str, _Connections] = defaultdict(_Connections)
        self._bodies = ResponseBodies(max(MAX_BODIES_BYTES, settings.max_body_bytes))

    async def send(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        on_early: OnEarly | None = None,
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
        started_s = trio.current_time()
        attempt = SendResult(kind=AttemptKind.CANCELLED)
        try:
            attempt = await self._exchange(connection, request, deadline_s, on_early)
        finally:
            reusable = attempt.kind in REUSABLE_KINDS
            await self._release_connection(connections, connection, reusable)
            if _shows_silence(connection, attempt.kind, started_s):
                await self._close_unproven(connections, address, started_s)
        return attempt

    async def aclose(self) -> None:
        """Close the idle connections."""
        for connections in self._targets.values():
            while connections.idle:
                await connections.idle.pop().http.aclose()

    async def _take_idle(self, connections: _Connections) -> _Connection | None:
        while connections.idle:
            connection = connections.idle.pop()
            expires_s = connection.answered_s + self._idle_expiry_s
            if trio.current_time() <= expires_s and not connection.http.has_input:
                connection.reused = True
                return connection
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
            stream = await self._backend.connect_tcp(host, int(port), timeout=limit_s)
        except (OSError, trio.TooSlowError):
            return None
        sock = stream.get_extra_info("socket")
        if sock is not None:
            limit_silence(sock, self._silence)
        http = TargetConnection(
            stream,
            self._bodies,
            max_head_bytes=self._settings.max_header_bytes,
            max_body_bytes=self._settings.max_body_bytes,
        )
        return _Connection(http, unacknowledged_ms=self._silence.unacknowledged_ms)

    async def _exchange(
        self,
        connection: _Connection,
        request: Request,
        deadline_s: float,
        on_early: OnEarly | None,
    ) -> SendResult:
        if trio.current_time() >= deadline_s:
            # A request that is sent after a pause of this process could run
            # although its caller has got another answer.
            return SendResult(
                kind=AttemptKind.NOT_CONNECTED, reason="no time left after the connect"
            )
        try:
            head = encode_request(request)
        except EncodingError as error:
            return SendResult(kind=AttemptKind.BROKEN, reason=str(error))
        self._limit_unacknowledged(connection, len(head) + len(request.body))
        early: SendResult | None = None

        def take_early(response: Response) -> bool:
            """Return whether the rest of the request is sent."""
            nonlocal early
            if on_early is None:
                return False
            early = self._classify(request, response, reused=connection.reused)
            on_early(early)
            return early.kind in REUSABLE_KINDS

        with trio.move_on_at(deadline_s):
            try:
                response = await connection.http.exchange(
                    head,
                    request.body,
                    to_head=request.method == "HEAD",
                    on_early=take_early,
                )
            except InvalidResponseError as error:
                return SendResult(kind=AttemptKind.BROKEN, reason=str(error))
            except NETWORK_ERRORS as error:
                return _classify_error(error)
            return early or self._classify(request, response, reused=connection.reused)
        return early or SendResult(kind=AttemptKind.TIMEOUT, reason="timeout")

    def _limit_unacknowledged(self, connection: _Connection, size_bytes: int) -> None:
        limit_ms = self._silence.unacknowledged_ms
        if size_bytes > MAX_UNREAD_BYTES:
            limit_ms = 0
        if limit_ms == connection.unacknowledged_ms:
            return
        connection.unacknowledged_ms = limit_ms
        sock = connection.http.stream.get_extra_info("socket")
        if sock is not None:
            limit_unacknowledged(sock, limit_ms)

    async def _release_connection(
        self,
        connections: _Connections,
        connection: _Connection,
        reusable: bool,
    ) -> None:
        # A connection whose exchange did not end cleanly may still carry the
        # response to the old request, so it is never used again.
        http = connection.http
        has_room = len(connections.idle) < self._settings.max_idle_connections
        if reusable and http.reusable and has_room:
            connection.answered_s = trio.current_time()
            connections.idle.append(connection)
            return
        connections.count -= 1
        with trio.CancelScope(shield=True):
            await http.aclose()

    async def _close_unproven(
        self, connections: _Connections, address: str, since_s: float
    ) -> None:
        """Close the idle connections that have not answered since a time.

        Open connections may all go silent at the same moment, and each would
        cost the request that finds out.
        """
        unproven = [item for item in connections.idle if item.answered_s <= since_s]
        if not unproven:
            return
        connections.idle = [item for item in connections.idle if item not in unproven]
        connections.count -= len(unproven)
        logger.info(
            "target connection silent",
            address=address,
            silent_ms=int((trio.current_time() - since_s) * 1000),
            closed=len(unproven),
        )
        with trio.CancelScope(shield=True):
            for connection in unproven:
                await connection.http.aclose()


def _classify_error(error: Exception) -> SendResult:
    kind = AttemptKind.SILENT if is_silence(error) else AttemptKind.BROKEN
    return SendResult(kind=kind, reason=f"{type(error).__name__}: {error}")


def _shows_silence(
    connection: _Connection, kind: AttemptKind, started_s: float
) -> bool:
    """Return whether an attempt shows that its connection may be silent."""
    if kind is AttemptKind.SILENT:
        return True
    if not connection.http.silent:
        return False
    if kind is AttemptKind.CANCELLED:
        return trio.current_time() - started_s >= MIN_SILENCE_S
    return kind is AttemptKind.TIMEOUT
