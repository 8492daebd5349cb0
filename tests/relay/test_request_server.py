"""Tests of the HTTP listener for callers, in memory and in virtual time."""

import pytest
import trio
from trio.testing import lockstep_stream_pair, memory_stream_pair

from catkinhollow.calls.exchange import Response, plain_response
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.relay.request_server import RequestServer

LIMITS = RequestLimits(max_header_bytes=2048, max_body_bytes=2000)


class Handler:
    """Answer a path like /0.5 after that many seconds."""

    def __init__(self):
        self.started = []
        self.disconnected_paths = []

    async def __call__(self, request, wait_for_disconnect):
        self.started.append((trio.current_time(), request.method, request.path))
        with trio.move_on_after(float(request.path[1:])):
            await wait_for_disconnect()
            self.disconnected_paths.append(request.path)
            return None
        return plain_response(200, request.path)


def head(path, method="GET", header_lines=""):
    return f"{method} {path} HTTP/1.1\r\nhost: x\r\n{header_lines}\r\n".encode()


@pytest.fixture
async def connect(nursery):
    handler = Handler()
    server = RequestServer(handler, lambda: LIMITS)

    def open_connection():
        client, stream = memory_stream_pair()
        nursery.start_soon(server.serve_stream, stream)
        return client

    return handler, server, open_connection


async def read_until(client, text):
    data = b""
    while text not in data:
        part = await client.receive_some(65536)
        assert part, data
        data += part
    return data


async def read_all(client):
    data = b""
    while part := await client.receive_some(65536):
        data += part
    return data


async def test_pipelined_requests_run_concurrently_and_answer_in_order(
    autojump_clock, connect
):
    """Guards against a request that waits for the run of an earlier one."""
    handler, _, open_connection = connect
    client = open_connection()
    await client.send_all(head("/1.0") + head("/0.5") + head("/0.75"))
    data = await read_until(client, b"/0.75\n")
    assert [round(at_s, 3) for at_s, _, _ in handler.started] == [0, 0, 0]
    assert data.index(b"/1.0\n") < data.index(b"/0.5\n") < data.index(b"/0.75\n")
    assert trio.current_time() - handler.started[0][0] == pytest.approx(1.0, abs=0.1)


async def test_request_with_side_effects_waits_for_earlier_requests(
    autojump_clock, connect
):
    """Guards against a run of a request that its caller considers unread."""
    handler, _, open_connection = connect
    client = open_connection()
    post = head("/0.1", "POST", "content-length: 2\r\n") + b"ab"
    await client.send_all(head("/1.0") + post + head("/0.2"))
    await read_until(client, b"/0.2\n")
    times = [at_s - handler.started[0][0] for at_s, _, _ in handler.started]
    assert times[1] >= 1.0
    assert times[2] >= 1.1


async def test_caller_that_disconnects_ends_its_requests(autojump_clock, connect):
    """Guards against runs for callers that have disconnected."""
    handler, _, open_connection = connect
    client = open_connection()
    await client.send_all(head("/60.0"))
    await trio.sleep(1.0)
    await client.aclose()
    await trio.sleep(1.0)
    assert handler.disconnected_paths == ["/60.0"]


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_half_closed_connection_ends_without_a_false_refusal(
    autojump_clock, connect, method
):
    """Guards against "not run" for an order that runs.

    The responses that were ready before are still delivered.
    """
    handler, server, open_connection = connect
    client = open_connection()
    length = "content-length: 0\r\n" if method == "POST" else ""
    await client.send_all(head("/0.1", method, length) + head("/60.0", method, length))
    await trio.sleep(1.0)
    await client.send_eof()
    data = await read_all(client)
    assert data.count(b"HTTP/1.1 ") == 1
    assert data.endswith(b"/0.1\n")
    assert handler.disconnected_paths == ["/60.0"]
    assert not server.busy


async def test_no_response_takes_the_place_of_a_missing_one(autojump_clock, connect):
    """Guards against a caller that gets the response to another request."""
    handler, server, open_connection = connect
    client = open_connection()
    await client.send_all(head("/60.0") + head("/0.5"))
    await trio.sleep(1.0)
    await client.send_eof()
    assert await read_all(client) == b""
    assert not server.busy


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01 nothing\r\n\r\n", b"400"),
        (head("/0.1", header_lines="x: " + "y" * 4000)[:-4], b"431"),
        (head("/0.1", "POST", "content-length: 9000\r\n") + b"x" * 9000, b"413"),
        (b"GET /0.1 HTTP/1.1\r\nhost: x\r\n", b"408"),
        (head("/0.1", "POST", "content-length: 9\r\n") + b"x", b"408"),
    ],
)
async def test_invalid_request_gets_the_matching_status(
    autojump_clock, connect, data, status
):
    """Guards against an invalid request that runs or gets no response."""
    handler, _, open_connection = connect
    client = open_connection()
    await client.send_all(data)
    response = await read_all(client)
    assert response.startswith(b"HTTP/1.1 " + status)
    assert b"connection: close" in response.lower()
    assert handler.started == []


async def test_chunked_body_is_complete(autojump_clock, connect):
    """Guards against truncated bodies of requests without a length."""
    handler, _, open_connection = connect
    client = open_connection()
    await client.send_all(head("/0.1", "POST", "transfer-encoding: chunked\r\n"))
    await client.send_all(b"2\r\nab\r\n")
    await trio.sleep(0.5)
    assert handler.started == []
    await client.send_all(b"0\r\n\r\n")
    await read_until(client, b"/0.1\n")


async def test_idle_connection_ends_after_the_limit(autojump_clock, connect):
    """Guards against idle connections that stay open forever."""
    _, _, open_connection = connect
    client = open_connection()
    await client.send_all(head("/0.1"))
    await read_until(client, b"/0.1\n")
    start_s = trio.current_time()
    assert await read_all(client) == b""
    assert trio.current_time() - start_s == pytest.approx(15.0, abs=0.2)


async def test_response_during_shutdown_closes_its_connection(autojump_clock, connect):
    """Guards against a request sent on a connection that is about to close."""
    _, server, open_connection = connect
    client = open_connection()
    await client.send_all(head("/1.0"))
    await trio.sleep(0.1)
    server.begin_closing()
    response = await read_all(client)
    assert b"connection: close" in response.lower()
    assert response.endswith(b"/1.0\n")


async def test_server_is_busy_until_the_response_is_sent(autojump_clock, connect):
    """Guards against a shutdown before the last byte of a response."""
    handler, server, open_connection = connect
    client = open_connection()
    await client.send_all(head("/0.5"))
    await trio.sleep(0.1)
    assert server.busy
    await read_until(client, b"/0.5\n")
    await trio.sleep(0.1)
    assert not server.busy
    await client.send_all(head("/60.0"))
    await trio.sleep(0.1)
    await client.aclose()
    await trio.sleep(0.1)
    assert not server.busy


async def test_request_after_a_closing_one_is_not_started(autojump_clock, connect):
    """Guards against a run of a request that its caller will repeat."""
    handler, _, open_connection = connect
    client = open_connection()
    await client.send_all(
        head("/0.5", header_lines="connection: close\r\n") + head("/0.1")
    )
    response = await read_all(client)
    assert response.endswith(b"/0.5\n")
    assert [path for _, _, path in handler.started] == ["/0.5"]


class ResetStream:
    """Fail each send after the first bytes were received."""

    def __init__(self, data):
        self.parts = [data]
        self.closed = False

    async def receive_some(self, max_bytes):
        if self.parts:
            return self.parts.pop(0)
        raise trio.BrokenResourceError

    async def send_all(self, data):
        raise trio.BrokenResourceError

    async def send_eof(self):
        raise trio.BrokenResourceError

    async def aclose(self):
        self.closed = True


async def test_reset_after_an_expectation_ends_its_connection_only(connect):
    """Guards against a daemon that one caller ends."""
    handler, server, _ = connect
    expecting = "content-length: 9\r\nexpect: 100-continue\r\n"
    stream = ResetStream(head("/0.1", "POST", expecting))
    await server.serve_stream(stream)
    assert stream.closed
    assert handler.started == []
    assert not server.busy


@pytest.mark.parametrize(
    "data",
    [
        head("/0.1", "CONNECT"),
        head("/0.1", "HEAD", "content-length: 9\r\n") + b"x",
        head("/0.1", header_lines="upgrade: h2c\r\nconnection: upgrade\r\n"),
        head("/0.1", "HEAD"),
    ],
)
async def test_odd_request_ends_its_connection_at_most(autojump_clock, connect, data):
    """Guards against a daemon that ends because of an unusual request."""
    _, server, open_connection = connect
    client = open_connection()
    await client.send_all(data)
    with trio.move_on_after(30.0):
        await read_all(client)
    assert not server.busy
    client = open_connection()
    await client.send_all(head("/0.1"))
    await read_until(client, b"/0.1\n")


SMUGGLED = b"GET /0.2 HTTP/1.1\r\nhost: x\r\n\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        ("content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        ("transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n", 400),
        ("content-length: 3\r\ncontent-length: 4\r\n\r\nabc", 400),
        ("a: b\nc: d\r\n\r\n", 400),
        ("a: b\rc: d\r\n\r\n", 400),
        ("content-length : 3\r\n\r\nabc", 400),
        ("a: b\r\n c\r\n\r\n", 400),
        ("transfer-encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", 400),
        ("transfer-encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 400),
        ("transfer-encoding: chunked\r\n\r\n\r\n0\r\n\r\n", 400),
        ("transfer-encoding: gzip\r\n\r\n", 501),
    ],
)
async def test_ambiguous_request_runs_nothing(autojump_clock, connect, data, status):
    """Guards against requests that are smuggled in the body of another."""
    handler, server, open_connection = connect
    client = open_connection()
    head = "POST /0.1 HTTP/1.1\r\nhost: x\r\n" + data
    await client.send_all(head.encode() + SMUGGLED)
    response = await read_all(client)
    assert response.startswith(b"HTTP/1.1 %d " % status)
    assert response.count(b"HTTP/1.1 ") == 1
    assert b"connection: close" in response.lower()
    assert handler.started == []
    assert not server.busy


async def test_expected_continue_comes_before_the_body(autojump_clock, connect):
    """Guards against callers that wait with their body in vain."""
    handler, _, open_connection = connect
    client = open_connection()
    fields = "content-length: 2\r\nexpect: 100-continue\r\n"
    await client.send_all(head("/0.1", "POST", fields))
    assert await read_until(client, b"\r\n\r\n") == b"HTTP/1.1 100 \r\n\r\n"
    assert handler.started == []
    await client.send_all(b"ab")
    response = await read_until(client, b"/0.1\n")
    assert response.startswith(b"HTTP/1.1 200 ")


@pytest.mark.parametrize("status", [204, 304])
async def test_response_without_body_is_followed_by_the_next(
    autojump_clock, nursery, status
):
    """Guards against a body where the caller expects the next response."""

    async def answer(request, wait_for_disconnect):
        return Response(status=status, headers=[], body=b"x" * 9)

    server = RequestServer(answer, lambda: LIMITS)
    client, stream = memory_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(head("/1") + head("/2") + b"x\r\n\r\n")
    response = await read_all(client)
    expected = b"HTTP/1.1 %d \r\ncontent-length: 9\r\n\r\n" % status
    assert response.startswith(expected * 2 + b"HTTP/1.1 400 ")


async def test_response_to_head_has_no_body(autojump_clock, connect):
    """Guards against a body where the caller expects the next response."""
    _, _, open_connection = connect
    client = open_connection()
    await client.send_all(head("/0.1", "HEAD") + head("/0.2"))
    response = await read_until(client, b"/0.2\n")
    assert b"/0.1\n" not in response
    assert response.count(b"HTTP/1.1 200 ") == 2


@pytest.mark.parametrize(
    ("status", "headers"),
    [
        (99, []),
        (100, []),
        (600, []),
        (200, [(b"a", b"b\r\ncontent-length: 0")]),
        (200, [(b"a b", b"c")]),
        (200, [(b"a", b"\x00")]),
    ],
)
async def test_response_that_is_none_is_not_sent(autojump_clock, status, headers):
    """Guards against responses that callers read as another or as two."""
    failures = []

    async def answer(request, wait_for_disconnect):
        return Response(status=status, headers=headers, body=b"")

    server = RequestServer(
        answer, lambda: LIMITS, on_failure=lambda: failures.append(1)
    )
    client, stream = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_stream, stream)
        await client.send_all(head("/1"))
        assert await read_all(client) == b""
    assert failures == [1]
    assert not server.busy


async def test_headers_of_a_response_do_not_frame_its_body(autojump_clock, nursery):
    """Guards against a response whose length its handler tells wrongly."""

    async def answer(request, wait_for_disconnect):
        headers = [(b"content-length", b"9"), (b"transfer-encoding", b"chunked")]
        return Response(status=200, headers=headers, body=b"ab")

    server = RequestServer(answer, lambda: LIMITS)
    client, stream = memory_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(head("/1"))
    response = await read_until(client, b"ab")
    assert response == b"HTTP/1.1 200 \r\ncontent-length: 2\r\n\r\nab"


async def test_response_that_finishes_during_a_write_is_sent(autojump_clock, nursery):
    """Guards against a response that no task sends."""
    server = RequestServer(Handler(), lambda: LIMITS)
    # A write ends only when the other end reads.
    client, stream = lockstep_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(head("/0.1") + head("/0.2") + head("/0.3"))
    await trio.sleep(1.0)
    data = await read_until(client, b"/0.3\n")
    assert data.index(b"/0.1\n") < data.index(b"/0.2\n") < data.index(b"/0.3\n")
    await trio.sleep(0.1)
    assert not server.busy


async def test_request_waits_for_its_turn_behind_many(autojump_clock, connect):
    """Guards against a request that is never started after a long pipeline."""
    handler, server, open_connection = connect
    client = open_connection()
    post = head("/0.1", "POST", "content-length: 0\r\n")
    await client.send_all(head("/0.1") * 40 + post + head("/0.1") * 20 + post)
    received = b""
    while received.count(b"HTTP/1.1 200 ") < 62:
        received += await client.receive_some(65536)
    assert len(handler.started) == 62
    await trio.sleep(0.1)
    assert not server.busy
