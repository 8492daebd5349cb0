"""Exchange requests and responses with a target over one connection."""

from collections.abc import Callable
from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

import trio

from catkinhollow.calls.exchange import Response
from catkinhollow.calls.http_encoding import end_to_end_headers
from catkinhollow.calls.http_parser import InvalidResponseError, ResponseParser
from catkinhollow.calls.httptools_parser import HttptoolsResponseParser
from catkinhollow.calls.response_bodies import ResponseBodies, ResponseBody
from catkinhollow.calls.socket_stream import NETWORK_ERRORS, ByteStream
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

READ_BYTES = 65536
# A longer body is written apart from its head rather than copied.
MAX_JOINED_BYTES = 65536
# Each part costs processor time, so that a body of tiny parts would keep the
# daemon busy long before the limit of its size.
MAX_BODY_PARTS = 16_384
# Errors with which the kernel ends a connection that has gone silent.
SILENCE_ERRORS = (ETIMEDOUT, EHOSTUNREACH, ENETUNREACH)


class _RequestWriter:
    """Track what of a request has been sent."""

    def __init__(self, stream: ByteStream, head: bytes, body: bytes) -> None:
        self._stream = stream
        if len(body) <= MAX_JOINED_BYTES:
            head, body = head + body, b""
        self._unsent = memoryview(head)
        self._body = memoryview(body)

    @property
    def done(self) -> bool:
        """Return whether everything has been sent."""
        return not self._unsent

    def send_some(self) -> None:
        """Send what can be sent at once; raise the errors of streams."""
        sent = self._stream.try_send(self._unsent)
        self._unsent = self._unsent[sent:]
        if not self._unsent and self._body:
            self._unsent, self._body = self._body, memoryview(b"")
            self.send_some()


class TargetConnection:
    """Send requests over one connection, each after the last response.

    A connection whose exchange did not end with a whole response must not be
    used again.
    """

    def __init__(
        self,
        stream: ByteStream,
        bodies: ResponseBodies,
        *,
        max_head_bytes: int,
        max_body_bytes: int,
    ) -> None:
        self._stream = stream
        self._bodies = bodies
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._silent = False
        self._reusable = False
        self._response_read = False
        self._write_error: Exception | None = None
        # Set while a write waits until what has arrived is read.
        self._input_taken: trio.Event | None = None

    @property
    def stream(self) -> ByteStream:
        """Return the stream below."""
        return self._stream

    @property
    def silent(self) -> bool:
        """Return whether nothing has arrived since the last request."""
        return self._silent

    @property
    def reusable(self) -> bool:
        """Return whether a further request may be sent.

        The last response was whole, nothing has arrived after it, and the
        target keeps the connection open.
        """
        return self._reusable

    @property
    def has_input(self) -> bool:
        """Return whether bytes or the end of the connection have arrived.

        While no request is open, both make the connection unusable.
        """
        return bool(self._stream.get_extra_info("is_readable"))

    async def exchange(
        self,
        head: bytes,
        body: bytes,
        *,
        to_head: bool,
        on_early: Callable[[Response], bool] = lambda response: False,
    ) -> Response:
        """Send an encoded request and return the whole response.

        A target may respond before it has read the request. The callback gets
        such a response at once, and decides whether the rest of the request is
        sent before this method returns.

        Raises InvalidResponseError and the errors of streams.
        """
        self._reusable = False
        self._silent = True
        self._response_read = False
        self._write_error = None
        parser: ResponseParser = HttptoolsResponseParser(
            to_head=to_head, max_overhead_bytes=self._max_head_bytes
        )
        writer = _RequestWriter(self._stream, head, body)
        await trio.lowlevel.checkpoint_if_cancelled()
        self._send_some(writer)
        if writer.done or self._write_error is not None:
            response = await self._read_response(parser)
        else:
            response = await self._read_while_writing(writer, parser, on_early)
        self._reusable = writer.done and parser.keeps_open and not parser.has_extra_data
        return response

    async def _read_while_writing(
        self,
        writer: _RequestWriter,
        parser: ResponseParser,
        on_early: Callable[[Response], bool],
    ) -> Response:
        failure: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_rest, writer)
            try:
                response = await self._read_response(parser)
            except (InvalidResponseError, *NETWORK_ERRORS) as error:
                failure = error
            sends_rest = failure is None and not writer.done and on_early(response)
            if not (sends_rest and parser.keeps_open):
                nursery.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return response

    async def _write_rest(self, writer: _RequestWriter) -> None:
        """Send the rest of a request, unless the connection ends first."""
        while not writer.done and self._write_error is None:
            try:
                await self._stream.wait_writable()
            except NETWORK_ERRORS as error:
                self._on_write_error(error)
                return
            # What has arrived is read first: the kernel reports the end of a
            # connection by an error to one call only.
            while self.has_input:
                if self._response_read:
                    # Nothing may follow the response to the last request.
                    return
                self._input_taken = trio.Event()
                await self._input_taken.wait()
            self._send_some(writer)

    def _send_some(self, writer: _RequestWriter) -> None:
        try:
            writer.send_some()
        except NETWORK_ERRORS as error:
            self._on_write_error(error)

    def _on_write_error(self, error: Exception) -> None:
        # The target may have responded before it has read the request.
        self._write_error = error
        reason = f"{type(error).__name__}: {error}"
        logger.info("request not written", reason=reason)

    async def aclose(self) -> None:
        """Close the connection."""
        self._reusable = False
        await self._stream.aclose()

    async def _read_response(self, parser: ResponseParser) -> Response:
        await self._read_head(parser)
        body = await self._read_body(parser)
        self._response_read = True
        return Response(
            status=parser.status,
            headers=end_to_end_headers(parser.headers),
            body=body,
        )

    async def _read_head(self, parser: ResponseParser) -> None:
        # Informational responses count, so that they can't come without end.
        left = self._max_head_bytes
        while not parser.has_head:
            if left <= 0:
                raise InvalidResponseError(
                    f"no response in {self._max_head_bytes} bytes"
                )
            data = await self._receive(min(READ_BYTES, left))
            self._silent = self._silent and not data
            left -= len(data)
            parser.feed(data)

    async def _read_body(self, parser: ResponseParser) -> bytes:
        if parser.complete:
            body = parser.take_body()
            if len(body) > self._max_body_bytes:
                raise InvalidResponseError(f"larger than {self._max_body_bytes} bytes")
            return body
        with self._bodies.collect() as collected:
            self._collect(parser, collected)
            while not parser.complete and not collected.dropped:
                parser.feed(await self._receive(READ_BYTES))
                self._collect(parser, collected)
        if collected.dropped:
            raise InvalidResponseError("the largest of too many")
        return bytes(collected.data)

    async def _receive(self, max_bytes: int) -> bytes:
        """Return the next bytes, none at the end."""
        data = await self._stream.read(max_bytes)
        if self._input_taken is not None:
            self._input_taken.set()
        if not data and self._write_error is not None:
            # The kernel has reported the reset to the write, and reports the
            # end of what had arrived like that of a whole response.
            raise self._write_error
        return data

    def _collect(self, parser: ResponseParser, body: ResponseBody) -> None:
        """Add what has arrived to a body, which may be dropped for it."""
        self._bodies.append(body, parser.take_body())
        limit = self._max_body_bytes
        if len(body.data) > limit or parser.parts > MAX_BODY_PARTS:
            raise InvalidResponseError(f"larger than {limit} bytes or in tiny parts")


def is_silence(error: BaseException) -> bool:
    """Return whether the kernel has ended a connection because of silence."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno in SILENCE_ERRORS:
            return True
        cause = cause.__cause__ or cause.__context__
    return False
