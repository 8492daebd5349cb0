"""Tests of the parser of requests, also against h11 as a second opinion."""

import re
from time import process_time

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls.http_parser import InvalidRequestError, ParseLimits
from catkinhollow.calls.httptools_parser import HttptoolsRequestParser

LIMITS = ParseLimits(max_head_bytes=2048, max_body_bytes=2000)
HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n"


def parse(pieces, limits=LIMITS):
    """Return the requests in some bytes and the status of the refusal."""
    parser = HttptoolsRequestParser()
    found = []
    try:
        for piece in pieces:
            parser.feed(piece)
            while (received := parser.next_request(limits)) is not None:
                found.append(received)
    except InvalidRequestError as error:
        return found, error.status
    return found, None


def parse_with_h11(data):
    """Return the number of whole requests and whether h11 refuses the rest."""
    count = 0
    while data:
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=2048)
        parser.receive_data(data)
        try:
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    return count, False
        except h11.RemoteProtocolError:
            return count, True
        count += 1
        data = parser.trailing_data[0]
    return count, False


REFUSED_BY_H11 = [
    b"\r\n" + NEXT,
    b" GET / HTTP/1.1\r\nhost: x\r\n\r\n",
    b"\x16\x03\x01\x02\x00",
    b"GET\r\n\r\n",
    b"GET /\r\n\r\n",
    b"GET  / HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET / HTTP/1.1 \r\nhost: x\r\n\r\n",
    b"GET / a HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: x\r\n: y\r\n\r\n",
    b"GET / http/1.1\r\nhost: x\r\n\r\n",
    b"GET / HTTP/11\r\nhost: x\r\n\r\n",
    b"GET / ICE/1.0\r\nhost: x\r\n\r\n",
    b"SETUP / RTSP/1.0\r\nhost: x\r\n\r\n",
    b"G@T / HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET /\x80 HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET /\x00 HTTP/1.1\r\nhost: x\r\n\r\n",
    b"GET / HTTP/1.1\r\n\r\n",
    b"GET / HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n",
    b"GET / HTTP/1.0\r\nhost: x\r\nhost: y\r\n\r\n",
    b"GET / HTTP/1.1\r\n host: x\r\n\r\n",
    HEAD + b"a\r\n\r\n",
    HEAD + b"a : b\r\n\r\n",
    HEAD + b"a\t: b\r\n\r\n",
    HEAD + b"a b: c\r\n\r\n",
    HEAD + b"a\x00: c\r\n\r\n",
    HEAD + b"a: \x00\r\n\r\n",
    HEAD + b"a: b\rc\r\n\r\n",
    HEAD + b"a: b\x0bc\r\n\r\n",
    HEAD + b"a: b\x0cc\r\n\r\n",
    HEAD + b"\xe9: c\r\n\r\n",
    HEAD + b"content-length:\r\n\r\n",
    HEAD + b"content-length: -1\r\n\r\n",
    HEAD + b"content-length: +1\r\n\r\n",
    HEAD + b"content-length: 1 2\r\n\r\n",
    HEAD + b"content-length: 1, 2\r\n\r\n",
    HEAD + b"content-length: 0x1\r\n\r\n",
    HEAD + b"content-length: 1\r\ncontent-length: 2\r\n\r\n",
    HEAD + b"content-length: 999999999999999999999\r\n\r\n",
    HEAD + b"transfer-encoding: gzip\r\n\r\n",
    HEAD + b"transfer-encoding: identity\r\n\r\n",
    HEAD + b"transfer-encoding: xchunked\r\n\r\n",
    HEAD + b"transfer-encoding: chunked, chunked\r\n\r\n",
    HEAD + b"transfer-encoding: gzip, chunked\r\n\r\n",
    HEAD + b"transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n",
    HEAD + b"transfer-encoding:\r\n\r\n",
    CHUNKED + b"\r\n",
    CHUNKED + b"g\r\n",
    CHUNKED + b"-1\r\n",
    CHUNKED + b"+1\r\n",
    CHUNKED + b"0x1\r\na\r\n",
    CHUNKED + b" 1\r\na\r\n",
    CHUNKED + b"1 1\r\na\r\n",
    CHUNKED + b"1\na\r\n0\r\n\r\n",
    CHUNKED + b"1\r\nab\r\n0\r\n\r\n",
    CHUNKED + b"1\r\na\n0\r\n\r\n",
    CHUNKED + b"111111111111111111111\r\na",
    CHUNKED + b"0\r\na b\r\n\r\n",
    CHUNKED + b"0\r\n a: b\r\n\r\n",
    CHUNKED + b"0\r\na : b\r\n\r\n",
    CHUNKED + b"0\r\na: \x00\r\n\r\n",
]
REFUSED_BEYOND_H11 = [
    # Others may read these as two requests, or as another one.
    b"GET / HTTP/1.1\nhost: x\n\n",
    b"GET / HTTP/1.1\r\nhost: x\n\r\n",
    b"GET / HTTP/1.1\r\nhost: x\r\n\n",
    HEAD + b"a: b\r\n c\r\n\r\n",
    HEAD + b"a: b\r\n\tc\r\n\r\n",
    HEAD + b"a: \x01\r\n\r\n",
    HEAD + b"content-length: 1\r\ncontent-length: 1\r\n\r\na",
    HEAD + b"content-length: 1, 1\r\n\r\na",
    HEAD + b"content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    HEAD + b"transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n",
    b"POST / HTTP/1.0\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    CHUNKED + b"1 \r\na\r\n0\r\n\r\n",
    CHUNKED + b"11111111111111111\r\na",
    CHUNKED + b"0\r\na: b\n\r\n\r\n",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
]


@pytest.mark.parametrize("data", REFUSED_BY_H11)
def test_what_h11_refuses_is_refused(data):
    """Guards against a request that only the last parser has refused."""
    assert parse_with_h11(data) == (0, True)
    found, status = parse([data])
    assert found == []
    assert status in (400, 501)


@pytest.mark.parametrize("data", REFUSED_BEYOND_H11)
def test_ambiguous_request_is_refused(data):
    """Guards against requests that are read in two ways, and smuggled."""
    found, status = parse([data + NEXT])
    assert found == []
    assert status in (400, 501)


@pytest.mark.parametrize("data", REFUSED_BY_H11 + REFUSED_BEYOND_H11)
def test_refusal_does_not_depend_on_the_pieces(data):
    """Guards against bytes that pass when they arrive one by one."""
    found, status = parse([data[i : i + 1] for i in range(len(data))])
    assert found == []
    assert status in (400, 501)


TOKENS = [
    b"GET ",
    b"POST ",
    b"/a",
    b" HTTP/1.1",
    b" HTTP/1.0",
    b"\r\n",
    b"\r\n\r\n",
    b"\n",
    b"\r",
    b" ",
    b"host: x",
    b"content-length: 3",
    b"content-length: 0",
    b"transfer-encoding: chunked",
    b"connection: close",
    b"upgrade: h2c\r\nconnection: upgrade",
    b"expect: 100-continue",
    b"a: b",
    b"3\r\nabc\r\n",
    b"0\r\n",
    b"abc",
    b"\x00",
    b"\x80",
    b":",
    HEAD,
    CHUNKED,
    NEXT,
]


@given(st.lists(st.sampled_from(TOKENS), max_size=12).map(b"".join))
@settings(derandomize=True, deadline=None, max_examples=3000)
def test_no_more_requests_than_h11_finds(data):
    """Guards against a request in bytes that are none for others."""
    found, status = parse([data])
    count, refused = parse_with_h11(data)
    assert len(found) <= count
    assert status is not None or not refused


@given(
    st.lists(st.sampled_from(TOKENS), max_size=12).map(b"".join),
    st.lists(st.integers(1, 9), min_size=1, max_size=8),
)
@settings(derandomize=True, deadline=None, max_examples=1000)
def test_requests_do_not_depend_on_the_pieces(data, sizes):
    """Guards against an end of a message that is missed between two reads."""
    pieces, position = [], 0
    while position < len(data):
        size = sizes[len(pieces) % len(sizes)]
        pieces.append(data[position : position + size])
        position += size
    whole, whole_status = parse([data])
    found, status = parse(pieces)
    assert found == whole
    assert (status is None) == (whole_status is None)


BODIES = {
    b"content-length: 5\r\n\r\nabcde": b"abcde",
    b"content-length: 5 \t\r\n\r\nabcde": b"abcde",
    b"content-length: 4\r\n\r\n\r\n\r\n": b"\r\n\r\n",
    b"content-length: 0\r\n\r\n": b"",
    b"\r\n": b"",
    b"transfer-encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n": b"abcde",
    b"transfer-encoding: Chunked\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n\r\n": b"\r\n\r\n",
    b"transfer-encoding: chunked\r\n\r\n1;a=b\r\na\r\n0\r\nb: c\r\n\r\n": b"a",
    b"upgrade: h2c\r\ncontent-length: 3\r\nconnection: upgrade\r\n\r\nabc": b"abc",
    b"UPGRADE: h2c\r\nconnection: upgrade\r\n"
    b"transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n": b"a",
}


@pytest.mark.parametrize("size", [1, 2, 3, 5, 4096])
@pytest.mark.parametrize("rest", BODIES)
@pytest.mark.parametrize("method", [b"POST", b"GET", b"M-SEARCH", b"PURGE", b"X"])
def test_body_ends_where_the_next_request_begins(method, rest, size):
    """Guards against a part of a body that is read as a request."""
    data = method + b" /a?b HTTP/1.1\r\nhost: x\r\n" + rest + NEXT
    found, status = parse([data[i : i + size] for i in range(0, len(data), size)])
    assert status is None
    assert [received.request.path for received in found] == ["/a", "/next"]
    assert found[0].request.body == BODIES[rest]
    assert found[0].request.method == method.decode()
    assert found[0].request.query == b"b"
    assert found[0].keeps_open


@pytest.mark.parametrize(
    ("fields", "version", "keeps_open"),
    [
        (b"", b"1", True),
        (b"connection: keep-alive\r\n", b"1", True),
        (b"connection: x, Close\r\n", b"1", False),
        (b"connection: closed\r\n", b"1", True),
        (b"connection: x\r\nconnection: close\r\n", b"1", False),
        (b"connection: keep-alive\r\n", b"0", False),
    ],
)
def test_connection_closes_as_with_h11(fields, version, keeps_open):
    """Guards against requests on a connection that closes."""
    data = b"GET / HTTP/1." + version + b"\r\nhost: x\r\n" + fields + b"\r\n"
    ((received,), _) = parse([data])
    assert received.keeps_open is keeps_open
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(data)
    parser.next_event()
    parser.next_event()
    assert (parser.their_state is not h11.MUST_CLOSE) is keeps_open


def test_header_names_are_in_lower_case_and_values_without_spaces():
    """Guards against headers that are not found under their names."""
    ((received,), _) = parse([b"GET / HTTP/1.1\r\nHost:x\r\nA-B: \t c d \t\r\n\r\n"])
    assert received.request.headers == [(b"host", b"x"), (b"a-b", b"c d")]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"a: " + b"b" * 3000, 431),
        (b"GET /" + b"b" * 3000, 431),
        (CHUNKED + b"1;" + b"b" * 3000, 431),
        (CHUNKED + b"0\r\n" + b"a: b\r\n" * 1000, 431),
        (CHUNKED + b"0\r\na: " + b"b" * 3000, 431),
        (HEAD + b"content-length: 2001\r\n\r\n" + b"b" * 2001, 413),
        (CHUNKED + b"7d1\r\n" + b"b" * 2001, 413),
    ],
)
def test_request_without_end_is_refused(data, status):
    """Guards against a caller that fills the memory of the daemon."""
    pieces = re.findall(rb"(?s).{1,500}", data)
    assert parse(pieces) == ([], status)


def test_whole_head_above_the_limit_is_accepted_as_with_h11():
    """Guards against another limit than the one that callers know."""
    data = HEAD + b"a: " + b"b" * 2040 + b"\r\n\r\n"
    assert parse_with_h11(data) == (1, False)
    found, status = parse([data])
    assert (len(found), status) == (1, None)


@pytest.mark.parametrize(
    "data",
    [NEXT[:-1], NEXT[:5], HEAD + b"content-length: 2\r\n\r\na", CHUNKED + b"0\r\n"],
)
def test_request_that_is_cut_off_is_none(data):
    """Guards against a run of a request that has not arrived whole."""
    assert parse([data]) == ([], None)
    assert parse([data, b""]) == ([], 400)


def test_connection_that_ends_between_requests_is_no_error():
    """Guards against a refusal that no request has asked for."""
    found, status = parse([NEXT + NEXT, b""])
    assert (len(found), status) == (2, None)


@pytest.mark.parametrize(
    ("head", "awaits"),
    [
        (HEAD + b"expect: 100-continue\r\ncontent-length: 1\r\n\r\n", True),
        (HEAD + b"Expect: 100-Continue\r\ncontent-length: 1\r\n\r\n", True),
        (HEAD + b"expect: other\r\ncontent-length: 1\r\n\r\n", False),
        (HEAD + b"content-length: 1\r\n\r\n", False),
        (
            b"POST / HTTP/1.0\r\nexpect: 100-continue\r\ncontent-length: 1\r\n\r\n",
            False,
        ),
    ],
)
def test_expectation_holds_until_the_body_begins(head, awaits):
    """Guards against callers that wait for a 100 response in vain."""
    parser = HttptoolsRequestParser()
    parser.feed(head)
    assert parser.next_request(LIMITS) is None
    assert parser.awaits_continue is awaits
    parser.feed(b"a")
    assert parser.next_request(LIMITS).request.body == b"a"
    assert not parser.awaits_continue


def test_body_of_line_ends_takes_time_in_proportion_to_its_size():
    """Guards against a body that keeps the daemon busy for seconds.

    Each pair of line ends may be the end of a body in chunks.
    """
    limits = ParseLimits(max_head_bytes=2048, max_body_bytes=4_000_000)
    times_s = []
    for size in (50_000, 800_000):
        data = CHUNKED + b"%x\r\n" % size + b"\r\n" * (size // 2) + b"\r\n0\r\n\r\n"
        started_s = process_time()
        found, status = parse([data], limits)
        times_s.append(process_time() - started_s)
        assert (len(found), status) == (1, None)
    # 16 times the size; copies of the rest would take 256 times as long.
    assert times_s[1] < 60 * times_s[0] + 0.1
