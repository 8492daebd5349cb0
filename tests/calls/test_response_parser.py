"""Tests of the parser of responses, also against h11 as a second opinion."""

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls.http_parser import InvalidResponseError
from catkinhollow.calls.httptools_parser import (
    MAX_RESPONSE_HEADERS,
    HttptoolsResponseParser,
)

HEAD = b"HTTP/1.1 200 OK\r\na: b\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
LIMIT = 2048


class Result:
    """Hold what a parser has found in some bytes."""

    def __init__(self, parser):
        self.status = parser.status
        self.headers = parser.headers
        self.body = b""
        self.complete = parser.complete
        self.has_extra_data = parser.has_extra_data
        self.keeps_open = parser.keeps_open


def parse(pieces, to_head=False):
    """Return the response in some bytes, None if they are refused."""
    parser = HttptoolsResponseParser(to_head=to_head, max_overhead_bytes=LIMIT)
    body = b""
    try:
        for piece in pieces:
            parser.feed(piece)
            body += parser.take_body()
    except InvalidResponseError:
        return None
    result = Result(parser)
    result.body = body
    return result


def parse_with_h11(data, ended, method="GET"):
    """Return status, body and extra bytes of a whole response, or None."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
    parser.send(h11.EndOfMessage())
    parser.receive_data(data)
    if ended:
        parser.receive_data(b"")
    status, body = 0, b""
    try:
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return None
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
    except h11.RemoteProtocolError:
        return None
    return status, body, parser.trailing_data[0]


WHOLE = [
    (HEAD + b"content-length: 3\r\n\r\nabc", b"abc", True),
    (HEAD + b"content-length: 0\r\n\r\n", b"", True),
    (HEAD + b"content-length: 4\r\n\r\n\r\n\r\n", b"\r\n\r\n", True),
    (CHUNKED + b"3\r\nabc\r\n0\r\n\r\n", b"abc", True),
    (CHUNKED + b"4\r\n\r\n\r\n\r\n0\r\n\r\n", b"\r\n\r\n", True),
    (CHUNKED + b"1;a=b\r\na\r\n2\r\nbc\r\n0\r\nc: d\r\n\r\n", b"abc", True),
    (CHUNKED + b"0\r\n\r\n", b"", True),
    (HEAD + b"connection: close\r\ncontent-length: 1\r\n\r\na", b"a", False),
    (b"HTTP/1.0 200 OK\r\ncontent-length: 1\r\n\r\na", b"a", False),
    (b"HTTP/1.1 200\r\ncontent-length: 1\r\n\r\na", b"a", True),
    (b"HTTP/1.1 200 \r\ncontent-length: 1\r\n\r\na", b"a", True),
    (b"HTTP/1.1 204 No\r\n\r\n", b"", True),
    (b"HTTP/1.1 304 No\r\ncontent-length: 9\r\n\r\n", b"", True),
    (HEAD + b"upgrade: h2c\r\ncontent-length: 1\r\n\r\na", b"a", True),
    (b"HTTP/1.1 100 Go\r\n\r\n" + HEAD + b"content-length: 1\r\n\r\na", b"a", True),
    (
        b"HTTP/1.1 103 Hints\r\nlink: x\r\n\r\n" * 3
        + HEAD
        + b"content-length: 1\r\n\r\na",
        b"a",
        True,
    ),
]


@pytest.mark.parametrize("size", [1, 2, 3, 7, 4096])
@pytest.mark.parametrize(("data", "body", "keeps_open"), WHOLE)
def test_response_is_whole_with_its_last_byte(data, body, keeps_open, size):
    """Guards against responses that are cut off, or that take a byte more."""
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    result = parse(pieces)
    assert (result.complete, result.body) == (True, body)
    assert (result.keeps_open, result.has_extra_data) == (keeps_open, False)
    assert 200 <= result.status < 400
    early = parse([data[:-1]])
    assert not early.complete
    assert parse([data[:-1], b""]) is None


@pytest.mark.parametrize("size", [1, 2, 3, 7, 4096])
@pytest.mark.parametrize("extra", [b"\r", b"\n", b"\r\n", b"H", b"\x00", HEAD])
@pytest.mark.parametrize(("data", "body", "_"), WHOLE)
def test_byte_after_a_response_is_noticed(data, body, _, extra, size):
    """Guards against a byte that is read as a part of the next response."""
    data += extra
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    result = parse(pieces)
    assert (result.complete, result.body) == (True, body)
    assert result.has_extra_data


@pytest.mark.parametrize("size", [1, 4096])
@pytest.mark.parametrize("head", [HEAD, b"HTTP/1.0 200 OK\r\n"])
def test_body_without_length_ends_with_the_connection(head, size):
    """Guards against a body that is taken for whole before its end."""
    data = head + b"\r\nabc\r\n\r\n"
    pieces = [data[i : i + size] for i in range(0, len(data), size)]
    assert not parse(pieces).complete
    result = parse([*pieces, b""])
    assert (result.complete, result.body) == (True, b"abc\r\n\r\n")
    assert not result.keeps_open


@pytest.mark.parametrize("field", [b"content-length: 9\r\n", b"", CHUNKED[23:-2]])
def test_response_to_head_has_no_body(field):
    """Guards against waiting for a body that does not come."""
    result = parse([HEAD + field + b"\r\n"], to_head=True)
    assert (result.complete, result.body) == (True, b"")
    assert not result.has_extra_data
    result = parse([HEAD + field + b"\r\nx"], to_head=True)
    assert (result.body, result.has_extra_data) == (b"", True)


REFUSED = [
    b"HTTP/1.1 000 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 099 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 99 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 600 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 999 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 2000 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 abc No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 2x0 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 -20 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1  200 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 101 Other\r\nupgrade: x\r\n\r\n",
    b"HTTP/2.0 200 OK\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/9 999\r\n\r\n",
    b"ICY 200 OK\r\ncontent-length: 0\r\n\r\n",
    b"\r\n" + HEAD + b"content-length: 0\r\n\r\n",
    b" " + HEAD + b"content-length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\ncontent-length: 0\n\n",
    HEAD + b"content-length: 0\n\r\n",
    HEAD + b"c: d\re: f\r\ncontent-length: 0\r\n\r\n",
    HEAD + b"c: d\r\n e\r\ncontent-length: 0\r\n\r\n",
    HEAD + b"c : d\r\ncontent-length: 0\r\n\r\n",
    HEAD + b"c: \x00\r\ncontent-length: 0\r\n\r\n",
    HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\nab",
    HEAD + b"content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"content-length: -1\r\n\r\n",
    HEAD + b"content-length: x\r\n\r\n",
    HEAD + b"content-length: 1, 2\r\n\r\nab",
    HEAD + b"transfer-encoding: gzip\r\n\r\n",
    HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    CHUNKED + b"x\r\n",
    CHUNKED + b"-1\r\na\r\n0\r\n\r\n",
    CHUNKED + b"0x1\r\na\r\n0\r\n\r\n",
    CHUNKED + b"1\na\r\n0\r\n\r\n",
    CHUNKED + b"1\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"1\r\na\n0\r\n\r\n",
    CHUNKED + b"11111111111111111\r\na",
    CHUNKED + b"0\r\na : b\r\n\r\n",
    CHUNKED + b"1;" + b"x" * LIMIT,
    CHUNKED + b"0\r\n" + b"x: y\r\n" * LIMIT,
    b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * (MAX_RESPONSE_HEADERS + 1) + b"\r\n",
]


@pytest.mark.parametrize("data", REFUSED)
def test_what_is_no_response_is_refused(data):
    """Guards against answers that callers can't rely on."""
    assert parse([data]) is None
    assert parse([data[i : i + 1] for i in range(len(data))]) is None


TOKENS = [
    b"HTTP/1.1 ",
    b"HTTP/1.0 ",
    b"200 OK\r\n",
    b"204 \r\n",
    b"100 \r\n",
    b"\r\n",
    b"\n",
    b"content-length: 3\r\n",
    b"transfer-encoding: chunked\r\n",
    b"connection: close\r\n",
    b"a: b\r\n",
    b"3\r\nabc\r\n",
    b"0\r\n",
    b"abc",
    b"\x00",
    HEAD,
    CHUNKED,
]
PARTS = st.lists(st.sampled_from(TOKENS), max_size=10)


@given(PARTS.map(b"".join), st.booleans(), st.sampled_from(["GET", "HEAD"]))
@settings(derandomize=True, deadline=None, max_examples=3000)
def test_whole_response_is_the_one_that_h11_finds(data, ended, method):
    """Guards against a response that others read in another way."""
    pieces = [data, b""] if ended and data else [data] if data else []
    result = parse(pieces, to_head=method == "HEAD")
    if result is None or not result.complete:
        return
    found = parse_with_h11(data, ended, method)
    assert found is not None
    assert found[:2] == (result.status, result.body)
    assert bool(found[2]) is result.has_extra_data


@given(PARTS.map(b"".join), st.lists(st.integers(1, 9), min_size=1, max_size=8))
@settings(derandomize=True, deadline=None, max_examples=1000)
def test_response_does_not_depend_on_the_pieces(data, sizes):
    """Guards against an end of a response that is missed between two reads."""
    pieces, position = [], 0
    while position < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[position : position + size])
        position += size
    whole, found = parse([data] if data else []), parse(pieces)
    assert (found is None) == (whole is None)
    if found is not None and whole is not None:
        assert vars(found) == vars(whole)
