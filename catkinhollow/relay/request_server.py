"""Serve HTTP/1.1 and run the pipelined requests of a connection side by side.

hypercorn starts a pipelined request only after the answer to the one before
it, so that the second of two waits for both runs. h11, the parser inside
hypercorn and httpcore, is used directly instead; answers keep the order of
their requests.
"""

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio
from attrs import define, field, frozen

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.generated.settings import Address
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

READ_BYTES = 65536
# Connections that wait to be accepted; a mass restart of callers overruns
# smaller queues.
BACKLOG = 1024
# Requests of one connection that run at a time; the rest is not read yet.
MAX_PIPELINED = 16
# A request that may change something starts after all before it have ended,
# because callers count requests behind a closing answer as not read.
PIPELINED_METHODS = ("GET", "HEAD", "OPTIONS")

NetworkErrors = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class RequestHandler(Protocol):
    """Answer requests."""

    async def __call__(
        self, request: Request, wait_for_disconnect: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the whole answer, or any once the caller has gone away."""


@define(eq=False)
class _Exchange:
    """Hold one request with the parser state that frames its answer."""

    parser: h11.Connection
    request: Request
    last: bool
    answer: bytes | None = None


@frozen
class _Unreadable:
    """Hold the answer to bytes that are no proper request."""

    response: Response


@define(eq=False)
class _Incoming:
    """Collect one request while it arrives."""

    head: h11.Request | None = None
    chunks: list[bytes] = field(factory=list)
    size: int = 0


class RequestServer:
    """Accept connections of callers."""

    def __init__(
        self, handler: RequestHandler, limits: Callable[[], RequestLimits]
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._closing = False
        self._open_requests = 0

    @property
    def busy(self) -> bool:
        """Tell whether a request has been read and its answer is not sent."""
        return self._open_requests > 0

    @property
    def handler(self) -> RequestHandler:
        """Return what answers requests."""
        return self._handler

    @property
    def limits(self) -> RequestLimits:
        """Return what callers may send now."""
        return self._limits()

    @property
    def closing(self) -> bool:
        """Tell whether connections end with their next answer."""
        return self._closing

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=BACKLOG
        )
        task_status.started()
        await trio.serve_listeners(self.serve_stream, listeners)

    def request_begun(self) -> None:
        """Count a request that has been read."""
        self._open_requests += 1

    def request_ended(self) -> None:
        """Count a request whose answer is sent, or whose caller has gone."""
        self._open_requests -= 1

    def begin_closing(self) -> None:
        """End each connection with its next answer."""
        self._closing = True

    async def serve_stream(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection until it ends."""
        connection = _Connection(self, stream)
        try:
            await connection.run()
        except NetworkErrors as error:
            logger.debug("connection lost", reason=str(error))
        finally:
            await trio.aclose_forcefully(stream)


class _Connection:
    """Serve one connection."""

    def __init__(
        self, server: RequestServer, stream: trio.abc.HalfCloseableStream
    ) -> None:
        self._server = server
        self._stream = stream
        self._parser = self._new_parser()
        self._open: deque[_Exchange] = deque()
        self._changed = trio.Event()
        self._gone = trio.Event()
        self._sending = trio.Lock()
        # Set when an answer says that it is the last one.
        self._ending = False

    async def run(self) -> None:
        """Read requests and answer them until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_all, nursery)
            while not (self._ending and not self._open):
                await self._changed.wait()
            nursery.cancel_scope.cancel()
        if not self._gone.is_set():
            await self._stream.send_eof()

    def _new_parser(self) -> h11.Connection:
        most = self._server.limits.max_header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=most)

    async def _read_all(self, nursery: trio.Nursery) -> None:
        while not self._ending:
            incoming = await self._read_request()
            if incoming is None:
                self._caller_gone()
                return
            if isinstance(incoming, _Unreadable):
                self._begin_unreadable(incoming)
                await self._send_finished()
            else:
                await self._wait_for_turn(incoming)
                if self._ending:
                    # Its caller sees the closing answer and asks again.
                    break
                self._begin(incoming, nursery)
        await self._discard_input()

    async def _read_request(self) -> _Exchange | _Unreadable | None:
        """Return the next request, None if the caller has gone."""
        incoming = _Incoming()
        while True:
            try:
                event = self._parser.next_event()
            except h11.RemoteProtocolError as error:
                logger.info("malformed request", reason=str(error))
                status = error.error_status_hint
                return _Unreadable(plain_response(status, "malformed request"))
            if event is h11.NEED_DATA:
                missing = await self._read_more(incoming)
                if missing is not None:
                    return missing
            elif isinstance(event, h11.Request):
                incoming.head = event
            elif isinstance(event, h11.Data):
                incoming.chunks.append(bytes(event.data))
                incoming.size += len(event.data)
                if incoming.size > self._server.limits.max_body_bytes:
                    return _Unreadable(plain_response(413, "the body is too large"))
            elif isinstance(event, h11.EndOfMessage) and incoming.head is not None:
                return self._make_exchange(incoming.head, incoming.chunks)
            else:
                return None

    def _make_exchange(self, head: h11.Request, chunks: list[bytes]) -> _Exchange:
        path, _, query = head.target.partition(b"?")
        request = Request(
            method=head.method.decode("ascii"),
            path=path.decode("latin-1"),
            query=query,
            headers=list(head.headers),
            body=b"".join(chunks),
        )
        last = self._parser.their_state is h11.MUST_CLOSE
        return _Exchange(self._parser, request, last)

    async def _read_more(self, incoming: _Incoming) -> _Unreadable | None:
        """Feed more bytes to the parser, or return why there are none."""
        limits = self._server.limits
        begun = incoming.head is not None or bool(self._parser.trailing_data[0])
        limit_ms = limits.header_timeout_ms if begun else limits.idle_timeout_ms
        data = b""
        with trio.move_on_after(limit_ms / 1000.0) as scope:
            if self._parser.they_are_waiting_for_100_continue and not self._open:
                await self._send_continue()
            data = await self._receive()
        if scope.cancelled_caught:
            if begun:
                reason = "the request did not arrive in time"
                return _Unreadable(plain_response(408, reason))
            if self._open:
                return None
        self._parser.receive_data(data)
        return None

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(READ_BYTES))
        except NetworkErrors as error:
            logger.debug("connection lost", reason=str(error))
            return b""

    async def _send_continue(self) -> None:
        informational = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._parser.send(informational) or b"")

    async def _wait_for_turn(self, exchange: _Exchange) -> None:
        alone = exchange.request.method not in PIPELINED_METHODS
        while self._open and (
            alone
            or len(self._open) >= MAX_PIPELINED
            or self._open[-1].request.method not in PIPELINED_METHODS
        ):
            await self._changed.wait()

    def _begin(self, exchange: _Exchange, nursery: trio.Nursery) -> None:
        self._ending = exchange.last
        self._append(exchange)
        nursery.start_soon(self._answer, exchange)
        rest, closed = exchange.parser.trailing_data
        self._parser = self._new_parser()
        if rest:
            self._parser.receive_data(rest)
        if closed:
            self._parser.receive_data(b"")

    def _begin_unreadable(self, unreadable: _Unreadable) -> None:
        exchange = _Exchange(self._parser, _NO_REQUEST, last=True)
        exchange.answer = _encode(exchange, unreadable.response)
        self._ending = True
        self._append(exchange)

    def _append(self, exchange: _Exchange) -> None:
        self._open.append(exchange)
        self._server.request_begun()

    def _caller_gone(self) -> None:
        self._gone.set()
        self._ending = True
        self._notify()

    async def _discard_input(self) -> None:
        """Read what comes behind the last request, until the caller goes.

        A close with unread bytes would reset the connection and could cost
        the caller the last answer.
        """
        while await self._receive():
            pass
        self._caller_gone()

    async def _answer(self, exchange: _Exchange) -> None:
        response = await self._server.handler(exchange.request, self._gone.wait)
        if self._server.closing and exchange is self._open[-1]:
            exchange.last = self._ending = True
        exchange.answer = _encode(exchange, response)
        await self._send_finished()

    async def _send_finished(self) -> None:
        """Send the answers whose turn it is."""
        async with self._sending:
            while self._open and self._open[0].answer is not None:
                exchange = self._open[0]
                try:
                    await self._stream.send_all(exchange.answer or b"")
                except NetworkErrors as error:
                    logger.debug("answer not sent", reason=str(error))
                    self._caller_gone()
                self._open.popleft()
                self._server.request_ended()
                self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


_NO_REQUEST = Request(method="GET", path="", query=b"", headers=[], body=b"")


def _encode(exchange: _Exchange, response: Response) -> bytes:
    """Return the bytes of an answer."""
    length = str(len(response.body)).encode()
    headers = [*response.headers, (b"content-length", length)]
    if exchange.last:
        headers.append((b"connection", b"close"))
    parser = exchange.parser
    head = h11.Response(status_code=response.status, headers=headers)
    parts = [parser.send(head)]
    bodiless = exchange.request.method == "HEAD" or response.status in (204, 304)
    if response.body and not bodiless:
        parts.append(parser.send(h11.Data(data=response.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)
