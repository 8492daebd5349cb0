"""Serve one connection of a caller.

hypercorn starts a pipelined request only after the response to the previous
one, so that the second of two requests waits for both runs. The responses of
this connection keep the order of their requests.
"""

from collections import deque
from typing import Protocol

import trio
from attrs import define, frozen

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.calls.http_encoding import encode_response
from catkinhollow.calls.http_parser import (
    InvalidRequestError,
    ParseLimits,
    RequestParser,
)
from catkinhollow.calls.httptools_parser import HttptoolsRequestParser
from catkinhollow.calls.socket_stream import NETWORK_ERRORS
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.logs import get_logger
from catkinhollow.relay.disconnection import Disconnection
from catkinhollow.relay.timed_write import send_in_time

logger = get_logger(__name__)

READ_BYTES = 65536
# Concurrent requests of one connection; further requests are not read yet.
MAX_PIPELINED = 16
# Requests with other methods may change something. They start after all
# earlier requests have ended, because callers assume that requests behind a
# response that closes the connection have not been read.
PIPELINED_METHODS = ("GET", "HEAD", "OPTIONS")
CONTINUE = b"HTTP/1.1 100 \r\n\r\n"


class RequestHandler(Protocol):
    """Answer requests."""

    async def __call__(
        self, request: Request, wait_for_disconnect: Disconnection, /
    ) -> Response | None:
        """Return the whole response, None if the caller has disconnected.

        What has become of the request is then unknown.
        """


class ConnectionOwner(Protocol):
    """Tell a connection what holds for all connections of a listener."""

    @property
    def handler(self) -> RequestHandler:
        """Return the handler of requests."""

    @property
    def limits(self) -> RequestLimits:
        """Return the current limits of requests and connections."""

    @property
    def closing(self) -> bool:
        """Return whether connections close after their next response."""

    def response_sent(self, size_bytes: int) -> None:
        """Count the bytes of a response."""

    def request_started(self) -> None:
        """Count a request that has been read."""

    def request_ended(self) -> None:
        """Count an answered request, or one whose caller disconnected."""


@define(eq=False)
class _Exchange:
    """Represent a request and the bytes of its response."""

    request: Request
    closes_connection: bool
    response_bytes: bytes | None = None


@frozen
class _InvalidRequest:
    """Represent an invalid request by the response to it."""

    response: Response
    method: str = "GET"
    """Method of the request, which decides whether a response has a body."""


class CallerConnection:
    """Serve one connection."""

    def __init__(
        self, server: ConnectionOwner, stream: trio.abc.HalfCloseableStream
    ) -> None:
        self._server = server
        self._stream = stream
        self._parser: RequestParser = HttptoolsRequestParser()
        self._limits = server.limits
        self._limits_of_parser = _to_parse_limits(self._limits)
        self._exchanges: deque[_Exchange] = deque()
        # Set when no response is due and no more requests are read.
        self._finished = trio.Event()
        # Replaced each time a request waits for the responses before it.
        self._turn = trio.Event()
        self._disconnected = Disconnection()
        self._sending = False
        # Set when no more requests are read, because a response closes the
        # connection, the caller has disconnected, or the connection is idle.
        self._closing = False
        self._idle = False
        self._announced_close = False

    @property
    def ended_by_caller(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._disconnected.happened

    @property
    def announced_close(self) -> bool:
        """Return whether a response has told the caller to close."""
        return self._announced_close

    async def run(self) -> None:
        """Read requests and answer them until the connection ends."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_requests, nursery)
            await self._finished.wait()
            nursery.cancel_scope.cancel()
        # Frees the part of a body that has not been read to its end.
        self._parser = HttptoolsRequestParser()

    def end_if_idle(self) -> None:
        """Read no more requests if none is open."""
        if not self._exchanges:
            self._closing = True
            self._notify_state_change()

    def abandon(self) -> None:
        """Forget the requests that a failed connection leaves unanswered."""
        while self._exchanges:
            self._exchanges.popleft()
            self._server.request_ended()

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        while not self._closing:
            incoming = await self._read_request()
            if incoming is None:
                if self._idle:
                    self.end_if_idle()
                else:
                    self._on_disconnect()
                return
            if isinstance(incoming, _InvalidRequest):
                self._start_invalid(incoming)
                await self._send_finished()
            else:
                await self._wait_for_turn(incoming)
                if self._closing:
                    # The caller sees the closing response and retries.
                    break
                self._start_exchange(incoming, nursery)
        await self._discard_input()

    async def _read_request(self) -> _Exchange | _InvalidRequest | None:
        """Return the next request, None if no more are read."""
        parser = self._parser
        while True:
            try:
                received = parser.next_request(self._parse_limits())
            except InvalidRequestError as error:
                logger.info("malformed request", reason=str(error))
                return self._refuse(error.status, error.reason)
            if received is not None:
                return _Exchange(received.request, not received.keeps_open)
            if parser.ended or self._idle:
                return None
            failure = await self._read_more()
            if failure is not None:
                return failure

    def _parse_limits(self) -> ParseLimits:
        limits = self._server.limits
        if limits is not self._limits:
            self._limits = limits
            self._limits_of_parser = _to_parse_limits(limits)
        return self._limits_of_parser

    def _refuse(self, status: int, reason: str) -> _InvalidRequest:
        """Return the refusal of a request that need not be whole."""
        return _InvalidRequest(plain_response(status, reason), self._parser.method)

    async def _read_more(self) -> _InvalidRequest | None:
        """Feed more bytes to the parser, or return the error response."""
        limits = self._server.limits
        parser = self._parser
        started = parser.started
        limit_ms = limits.header_timeout_ms if started else limits.idle_timeout_ms
        data = b""
        if parser.awaits_continue and not self._exchanges:
            await self._send_continue(limit_ms / 1000.0)
        with trio.move_on_after(limit_ms / 1000.0) as scope:
            data = await self._receive()
        if scope.cancelled_caught:
            if started:
                return self._refuse(408, "the request did not arrive in time")
            # A connection with open requests is not idle.
            self._idle = not self._exchanges
            return None
        # Empty data tells the parser that the caller has disconnected.
        parser.feed(data)
        return None

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(READ_BYTES))
        except NETWORK_ERRORS as error:
            logger.debug("connection lost", reason=str(error))
            return b""

    async def _send_continue(self, limit_s: float) -> None:
        try:
            await send_in_time(self._stream, CONTINUE, limit_s)
            self._parser.continue_sent()
        except NETWORK_ERRORS as error:
            # The next read finds the end of the connection.
            logger.debug("continuation not sent", reason=str(error))

    async def _wait_for_turn(self, exchange: _Exchange) -> None:
        sequential = exchange.request.method not in PIPELINED_METHODS
        while self._exchanges and (
            sequential
            or len(self._exchanges) >= MAX_PIPELINED
            or self._exchanges[-1].request.method not in PIPELINED_METHODS
        ):
            self._turn = trio.Event()
            await self._turn.wait()

    def _start_exchange(self, exchange: _Exchange, nursery: trio.Nursery) -> None:
        self._closing = exchange.closes_connection
        self._append(exchange)
        nursery.start_soon(self._respond, exchange)

    def _start_invalid(self, invalid: _InvalidRequest) -> None:
        request = Request(
            method=invalid.method, path="", query=b"", headers=[], body=b""
        )
        exchange = _Exchange(request, closes_connection=True)
        exchange.response_bytes = _encode_response(exchange, invalid.response)
        self._closing = True
        self._append(exchange)

    def _append(self, exchange: _Exchange) -> None:
        self._exchanges.append(exchange)
        self._server.request_started()

    def _on_disconnect(self) -> None:
        self._disconnected.set()
        self._closing = True
        self._notify_state_change()

    async def _discard_input(self) -> None:
        """Discard input after the last request until the caller disconnects.

        Unread bytes would fill the connection and stop a caller that reads
        only after it has sent everything.
        """
        while await self._receive():
            pass
        self._on_disconnect()

    async def _respond(self, exchange: _Exchange) -> None:
        response = await self._server.handler(exchange.request, self._disconnected)
        if response is None:
            self._on_disconnect()
            exchange.response_bytes = _NO_RESPONSE
        else:
            if self._server.closing and self._is_last(exchange):
                exchange.closes_connection = self._closing = True
            exchange.response_bytes = _encode_response(exchange, response)
        await self._send_finished()

    def _is_last(self, exchange: _Exchange) -> bool:
        return bool(self._exchanges) and exchange is self._exchanges[-1]

    async def _send_finished(self) -> None:
        """Send finished responses in the order of their requests.

        A task that sends already takes those that finish meanwhile as well.
        """
        if self._sending:
            return
        self._sending = True
        while self._exchanges and self._exchanges[0].response_bytes is not None:
            data = self._exchanges[0].response_bytes
            if data == _NO_RESPONSE:
                # A caller that has closed only its sending side would take
                # the next response for the missing one.
                self.abandon()
                break
            self._server.response_sent(len(data))
            self._announced_close = self._exchanges[0].closes_connection
            limit_s = self._server.limits.idle_timeout_ms / 1000.0
            try:
                await send_in_time(self._stream, data, limit_s)
            except NETWORK_ERRORS as error:
                logger.debug("response not sent", reason=str(error))
                self._on_disconnect()
            self._exchanges.popleft()
            self._server.request_ended()
            self._turn.set()
        self._sending = False
        self._notify_state_change()

    def _notify_state_change(self) -> None:
        self._turn.set()
        if self._closing and not self._exchanges:
            self._finished.set()


# Replaces the response to a request whose caller has disconnected.
_NO_RESPONSE = b""


def _to_parse_limits(limits: RequestLimits) -> ParseLimits:
    return ParseLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
    )


def _encode_response(exchange: _Exchange, response: Response) -> bytes:
    """Return the bytes of a response."""
    return encode_response(
        response,
        method=exchange.request.method,
        closes=exchange.closes_connection,
    )
