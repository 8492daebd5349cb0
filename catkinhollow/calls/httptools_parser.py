"""Parse HTTP/1.1 with httptools, the Python binding of llhttp.

llhttp parses the header fields and the framing of bodies. This module cuts
the heads out, and checks each against the grammar of RFC 9112 before llhttp
sees it, because llhttp skips empty lines before a head and accepts further
protocols. Bytes are fed so that llhttp never sees two messages at once, so
that the end of each message is exact.
"""

import re
from collections.abc import Iterator

from httptools import HttpParserError, HttpRequestParser, HttpResponseParser

from catkinhollow.calls.exchange import Headers, Request, find_header
from catkinhollow.calls.http_grammar import HEAD_END, REQUEST_HEAD, RESPONSE_HEAD
from catkinhollow.calls.http_parser import (
    InvalidRequestError,
    InvalidResponseError,
    ParseLimits,
    ReceivedRequest,
)

# A parsed header takes far more memory than its bytes.
MAX_RESPONSE_HEADERS = 512

_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_UPGRADE = re.compile(rb"^upgrade:[^\r]*\r\n", re.IGNORECASE | re.MULTILINE)
_BODILESS_STATUSES = (204, 304)
_SWITCHING_PROTOCOLS = 101


class _Message:
    """Collect one message from the callbacks of httptools."""

    __slots__ = ("body", "body_bytes", "chunks", "complete", "has_head", "headers")

    def __init__(self) -> None:
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.chunks = 0
        self.has_head = False
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers, which come after the head, are dropped.
        if not self.has_head:
            self.headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_chunk_header(self) -> None:
        self.chunks += 1

    def on_body(self, data: bytes) -> None:
        self.body.append(data)
        self.body_bytes += len(data)

    def on_message_complete(self) -> None:
        self.complete = True


class _HeadBuffer:
    """Collect received bytes until a head is whole."""

    __slots__ = ("data", "_searched")

    def __init__(self) -> None:
        self.data = b""
        self._searched = 0

    def add(self, data: bytes) -> None:
        self.data = self.data + data if self.data else data

    def take_head(self) -> bytes:
        """Return the bytes of a whole head, none if it is not whole."""
        data = self.data
        end = data.find(HEAD_END, self._searched) + len(HEAD_END)
        if end < len(HEAD_END):
            return b""
        self.data = data[end:]
        self._searched = 0
        return data[:end] if self.data else data

    def is_invalid(self) -> bool:
        """Return whether the bytes can't become a head."""
        data = self.data
        if not data:
            return False
        first = max(0, self._searched - 1)
        self._searched = max(0, len(data) - len(HEAD_END) + 1)
        return data[0] < 0x21 or _BARE_LINE_FEED.search(data, first) is not None


class _BodyFraming:
    """Cut received bytes so that llhttp sees one message at most."""

    __slots__ = ("_left", "_started")

    def __init__(self, length: int | None) -> None:
        # None for a body in chunks.
        self._left = length
        self._started = False

    def split(self, data: bytes) -> Iterator[tuple[bytes, int]]:
        """Return pieces after each of which the message may end.

        Each comes with its end. The bytes behind it are not copied, as a body
        may have very many pieces.
        """
        if self._left is not None:
            piece = data[: self._left]
            self._left -= len(piece)
            yield piece, len(piece)
            return
        start = 0
        for end in self._possible_ends(data):
            yield data[start:end], end
            start = end

    def _possible_ends(self, data: bytes) -> Iterator[int]:
        """Return where a body in chunks may end.

        It ends with two line ends, which may have begun in earlier bytes.
        """
        if self._started:
            yield from range(1, min(len(HEAD_END), len(data)))
        self._started = True
        end = data.find(HEAD_END)
        while end >= 0:
            yield end + len(HEAD_END)
            # The line end of a chunk of no bytes is also that of the body.
            end = data.find(HEAD_END, end + 2)
        yield len(data)


def _find_framing(headers: Headers, version: bytes) -> tuple[int | None, bool]:
    """Return the length of a body, and whether it comes in chunks.

    Raises InvalidRequestError if the headers are ambiguous or wrong.
    """
    length: int | None = None
    chunked = False
    for name, value in headers:
        if name == b"content-length":
            if length is not None or not _LENGTH.fullmatch(value):
                raise InvalidRequestError(400, "malformed request", "content-length")
            length = int(value)
        elif name == b"transfer-encoding":
            if chunked or value.lower() != b"chunked":
                raise InvalidRequestError(501, "malformed request", "transfer-encoding")
            chunked = True
    if chunked and (length is not None or version == b"0"):
        raise InvalidRequestError(400, "malformed request", "two lengths of a body")
    return length, chunked


def _keeps_open(headers: Headers, version: bytes) -> bool:
    if version == b"0":
        return False
    for name, value in headers:
        if name == b"connection" and b"close" in value.lower():
            tokens = value.lower().split(b",")
            if any(token.strip() == b"close" for token in tokens):
                return False
    return True


class HttptoolsRequestParser:
    """Split the bytes of one connection into requests."""

    def __init__(self) -> None:
        self._buffer = _HeadBuffer()
        self._ended = False
        self._forget_request()

    def _forget_request(self) -> None:
        self._method = b""
        self._target = b""
        self._message: _Message | None = None
        self._parser: HttpRequestParser | None = None
        self._framing: _BodyFraming | None = None
        self._keeps_open = False
        self._awaits_continue = False
        # Bytes since the last byte of the body, as those of chunk sizes.
        self._overhead_bytes = 0

    @property
    def started(self) -> bool:
        """Return whether a part of a request has arrived."""
        return self._message is not None or bool(self._buffer.data)

    @property
    def ended(self) -> bool:
        """Return whether the caller sends no more bytes."""
        return self._ended

    @property
    def method(self) -> str:
        """Return the method of the request that has begun, "" if unknown."""
        return self._method.decode("ascii")

    @property
    def awaits_continue(self) -> bool:
        """Return whether the caller sends its body after a 100 response."""
        return self._awaits_continue

    def feed(self, data: bytes) -> None:
        """Add received bytes; none mean that the caller sends no more."""
        if data:
            self._buffer.add(data)
        else:
            self._ended = True

    def continue_sent(self) -> None:
        """Record that a 100 response was sent."""
        self._awaits_continue = False

    def next_request(self, limits: ParseLimits) -> ReceivedRequest | None:
        """Return the next request, None if it is not whole yet."""
        if self._message is None and not self._read_head(limits):
            self._check_not_cut_off()
            return None
        message = self._message
        if message is None:
            return None
        if not message.complete:
            self._read_body(message, limits)
        if not message.complete:
            self._check_not_cut_off()
            return None
        return self._take_request(message)

    def _check_not_cut_off(self) -> None:
        if self._ended and self.started:
            raise InvalidRequestError(400, "malformed request", "cut off")

    def _read_head(self, limits: ParseLimits) -> bool:
        """Read the head of the next request; return whether it is whole."""
        head = self._buffer.take_head()
        if not head:
            if self._buffer.is_invalid():
                raise InvalidRequestError(400, "malformed request", "no request line")
            if len(self._buffer.data) > limits.max_head_bytes:
                raise InvalidRequestError(431, "malformed request", "head too large")
            return False
        match = REQUEST_HEAD.fullmatch(head)
        if match is None:
            raise InvalidRequestError(400, "malformed request", "head")
        self._method, self._target, version, fields = match.groups()
        if self._method == b"CONNECT":
            # A success would turn the connection into a tunnel.
            raise InvalidRequestError(501, "no tunnels")
        self._parse_fields(fields, version)
        return True

    def _parse_fields(self, fields: bytes, version: bytes) -> None:
        if b"upgrade:" in fields.lower():
            # The server changes no protocol, but llhttp would take what
            # follows such a request for another protocol.
            fields = _UPGRADE.sub(b"", fields)
        message = self._message = _Message()
        parser = self._parser = HttpRequestParser(message)
        # llhttp refuses methods that it does not know, and treats some in a
        # special way, so it gets the same request line for all.
        head = b"POST / HTTP/1.%s\r\n%s" % (version, fields)
        try:
            parser.feed_data(head)
        except HttpParserError as error:
            if message.has_head:
                _find_framing(message.headers, version)
            raise InvalidRequestError(400, "malformed request", str(error)) from error
        length, chunked = _find_framing(message.headers, version)
        if message.complete is bool(length or chunked):
            raise InvalidRequestError(400, "malformed request", "length of the body")
        self._check_host(message.headers, version)
        self._keeps_open = _keeps_open(message.headers, version)
        if not message.complete:
            self._framing = _BodyFraming(None if chunked else length)
            expected = find_header(message.headers, b"expect")
            self._awaits_continue = (
                version == b"1"
                and expected is not None
                and b"100-continue" in expected.lower()
            )

    def _check_host(self, headers: Headers, version: bytes) -> None:
        count = sum(1 for name, _ in headers if name == b"host")
        if count > 1 or (not count and version == b"1"):
            raise InvalidRequestError(400, "malformed request", "host")

    def _read_body(self, message: _Message, limits: ParseLimits) -> None:
        data, self._buffer.data = self._buffer.data, b""
        if not data or self._framing is None or self._parser is None:
            return
        self._awaits_continue = False
        for piece, end in self._framing.split(data):
            body_bytes = message.body_bytes
            try:
                self._parser.feed_data(piece)
            except HttpParserError as error:
                raise InvalidRequestError(
                    400, "malformed request", str(error)
                ) from error
            if message.body_bytes > limits.max_body_bytes:
                raise InvalidRequestError(413, "the body is too large")
            self._overhead_bytes += len(piece)
            if message.body_bytes > body_bytes:
                self._overhead_bytes = 0
            if message.complete:
                self._buffer.add(data[end:])
                return
            if self._overhead_bytes > limits.max_head_bytes:
                raise InvalidRequestError(431, "malformed request", "chunk too large")

    def _take_request(self, message: _Message) -> ReceivedRequest:
        path, _, query = self._target.partition(b"?")
        request = Request(
            method=self._method.decode("ascii"),
            path=path.decode("ascii"),
            query=query,
            headers=message.headers,
            body=b"".join(message.body),
        )
        received = ReceivedRequest(request, self._keeps_open)
        self._forget_request()
        return received


class HttptoolsResponseParser:
    """Read one response, after any number of informational ones."""

    def __init__(self, *, to_head: bool, max_overhead_bytes: int) -> None:
        self._to_head = to_head
        self._max_overhead_bytes = max_overhead_bytes
        self._buffer = _HeadBuffer()
        self._message = _Message()
        self._parser: HttpResponseParser | None = None
        self._framing: _BodyFraming | None = None
        self._ends_with_connection = False
        self._overhead_bytes = 0
        self._reads = 0
        self._complete = False
        self._has_extra_data = False
        self._keeps_open = False
        self._status = 0

    @property
    def has_head(self) -> bool:
        """Return whether the head of the final response is whole."""
        return self._parser is not None

    @property
    def complete(self) -> bool:
        """Return whether the response is whole."""
        return self._complete

    @property
    def has_extra_data(self) -> bool:
        """Return whether bytes have arrived after the whole response."""
        return self._has_extra_data

    @property
    def keeps_open(self) -> bool:
        """Return whether a further request may follow on the connection."""
        return self._keeps_open

    @property
    def status(self) -> int:
        """Return the status of the final response."""
        return self._status

    @property
    def headers(self) -> Headers:
        """Return the headers of the final response; names in lower case."""
        return self._message.headers

    @property
    def parts(self) -> int:
        """Return the number of reads and chunks that the body came in."""
        return self._reads + self._message.chunks

    def feed(self, data: bytes) -> None:
        """Read the next bytes; none mean that the target sends no more."""
        if not data:
            self._end()
            return
        if self._parser is not None:
            self._reads += 1
            self._read_body(data)
            return
        self._buffer.add(data)
        while self._parser is None:
            head = self._buffer.take_head()
            if not head:
                if self._buffer.is_invalid():
                    raise InvalidResponseError("no status line")
                return
            self._read_head(head)
        if self._buffer.data:
            self._read_body(self._buffer.data)

    def take_body(self) -> bytes:
        """Return what has arrived of the body since the last call."""
        parts = self._message.body
        if len(parts) == 1:
            return parts.pop()
        data = b"".join(parts)
        parts.clear()
        return data

    def _end(self) -> None:
        if not self._ends_with_connection:
            raise InvalidResponseError("connection closed before the end")
        self._complete = True

    def _read_head(self, head: bytes) -> None:
        match = RESPONSE_HEAD.fullmatch(head)
        if match is None:
            raise InvalidResponseError("malformed head")
        version = match[1]
        status = int(match[2])
        if status == _SWITCHING_PROTOCOLS:
            raise InvalidResponseError("another protocol")
        if status < 200:
            return
        message = self._message
        self._status = status
        self._parser = HttpResponseParser(message)
        try:
            self._parser.feed_data(head)
            length, chunked = _find_framing(message.headers, b"1")
        except (HttpParserError, InvalidRequestError) as error:
            raise InvalidResponseError(f"malformed head: {error}") from error
        if len(message.headers) > MAX_RESPONSE_HEADERS:
            raise InvalidResponseError(f"more than {MAX_RESPONSE_HEADERS} headers")
        self._keeps_open = _keeps_open(message.headers, version)
        if self._to_head or status in _BODILESS_STATUSES:
            self._complete = True
            return
        if length is None and not chunked:
            self._ends_with_connection = True
            self._keeps_open = False
        else:
            self._framing = _BodyFraming(None if chunked else length)
        self._complete = message.complete
        if self._complete and (chunked or length):
            raise InvalidResponseError("length of the body")

    def _read_body(self, data: bytes) -> None:
        if self._complete:
            self._has_extra_data = True
            return
        if self._framing is None:
            # The body ends with the connection.
            self._message.on_body(data)
            return
        for piece, end in self._framing.split(data):
            self._feed_parser(piece)
            if self._message.complete:
                self._complete = True
                self._has_extra_data = end < len(data)
                return

    def _feed_parser(self, piece: bytes) -> None:
        message = self._message
        body_bytes = message.body_bytes
        try:
            if self._parser is not None:
                self._parser.feed_data(piece)
        except HttpParserError as error:
            raise InvalidResponseError(f"malformed body: {error}") from error
        self._overhead_bytes += len(piece)
        if message.body_bytes > body_bytes:
            self._overhead_bytes = 0
        if self._overhead_bytes > self._max_overhead_bytes:
            raise InvalidResponseError("malformed body: chunk too large")
