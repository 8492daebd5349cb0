"""Exchange requests and responses with a target over one connection."""

from errno import EHOSTUNREACH, ENETUNREACH, ETIMEDOUT

import trio

from catkinhollow.calls.exchange import Response
from catkinhollow.calls.http_encoding import end_to_end_headers
from catkinhollow.calls.http_parser import InvalidResponseError, ResponseParser
from catkinhollow.calls.httptools_parser import HttptoolsResponseParser
from catkinhollow.calls.response_bodies import ResponseBodies, ResponseBody
from catkinhollow.calls.socket_stream import ByteStream
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
NETWORK_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


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

    async def exchange(self, head: bytes, body: bytes, *, to_head: bool) -> Response:
        """Send an encoded request and return the whole response.

        Raises InvalidResponseError and the errors of streams.
        """
        self._reusable = False
        self._silent = True
        try:
            await self._write(head, body)
        except NETWORK_ERRORS as error:
            if is_silence(error):
                raise
            # The target may have answered before it has read the request.
            logger.info(
                "request not written", reason=f"{type(error).__name__}: {error}"
            )
        parser: ResponseParser = HttptoolsResponseParser(
            to_head=to_head, max_overhead_bytes=self._max_head_bytes
        )
        await self._read_head(parser)
        response_body = await self._read_body(parser)
        self._reusable = parser.keeps_open and not parser.has_extra_data
        return Response(
            status=parser.status,
            headers=end_to_end_headers(parser.headers),
            body=response_body,
        )

    async def aclose(self) -> None:
        """Close the connection."""
        self._reusable = False
        await self._stream.aclose()

    async def _write(self, head: bytes, body: bytes) -> None:
        if len(body) <= MAX_JOINED_BYTES:
            await self._stream.write(head + body if body else head)
            return
        await self._stream.write(head)
        await self._stream.write(body)

    async def _read_head(self, parser: ResponseParser) -> None:
        # Informational responses count, so that they can't come without end.
        left = self._max_head_bytes
        while not parser.has_head:
            if left <= 0:
                raise InvalidResponseError(
                    f"no response in {self._max_head_bytes} bytes"
                )
            data = await self._stream.read(min(READ_BYTES, left))
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
                parser.feed(await self._stream.read(READ_BYTES))
                self._collect(parser, collected)
        if collected.dropped:
            raise InvalidResponseError("the largest of too many")
        return bytes(collected.data)

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
