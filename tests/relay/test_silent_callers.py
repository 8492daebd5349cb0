"""Tests of callers' connections that go silent in any phase of a request."""

import pytest
import trio
from trio.testing import lockstep_stream_pair, memory_stream_pair

from catkinhollow.calls.exchange import Response
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.relay.request_server import RequestServer

LIMITS = RequestLimits()
RUN_S = 2.0
MARGIN_S = 1.0
IDLE_S = LIMITS.idle_timeout_ms / 1000
HEADER_S = LIMITS.header_timeout_ms / 1000
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
BODY_HEAD = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n"
EXPECT_HEAD = BODY_HEAD[:-2] + b"expect: 100-continue\r\n\r\n"

PHASES = [
    pytest.param(b"", IDLE_S, id="before a request"),
    pytest.param(b"GET / HTTP/1.1\r\nho", HEADER_S + IDLE_S, id="in a head"),
    pytest.param(BODY_HEAD + b"ab", HEADER_S + IDLE_S, id="in a body"),
    pytest.param(EXPECT_HEAD, HEADER_S + IDLE_S, id="before a continuation"),
    pytest.param(REQUEST, RUN_S + IDLE_S, id="in a run"),
    pytest.param(REQUEST * 3, RUN_S + IDLE_S, id="in pipelined runs"),
    pytest.param(REQUEST * 3 + b"GET /", RUN_S + IDLE_S, id="in runs and a head"),
]


class Handler:
    def __init__(self, body):
        self.response = Response(status=200, headers=[], body=body)

    async def __call__(self, request, wait_for_disconnect):
        with trio.move_on_after(RUN_S):
            await wait_for_disconnect()
            return None
        return self.response


@pytest.mark.parametrize(("sent", "limit_s"), PHASES)
async def test_connection_of_a_caller_that_reads_nothing_ends(
    autojump_clock, nursery, sent, limit_s
):
    """Guards against descriptors that silent callers hold for ever."""
    server = RequestServer(Handler(b"x"), lambda: LIMITS)
    # A write ends only when the other end reads.
    client, stream = lockstep_stream_pair()
    if sent:
        nursery.start_soon(client.send_all, sent)
    with trio.fail_after(limit_s + MARGIN_S):
        await server.serve_stream(stream)
    assert not server.busy


async def test_large_response_may_be_read_slowly(autojump_clock, nursery):
    """Guards against a response cut off although its caller reads it."""
    body = bytes(2**20)
    server = RequestServer(Handler(body), lambda: LIMITS)
    client, stream = lockstep_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(REQUEST)
    received = 0
    while received < len(body):
        await trio.sleep(0.5)
        received += len(await client.receive_some(16384))
    assert trio.current_time() > 2 * IDLE_S


async def test_silent_caller_of_a_kept_connection_is_idle(autojump_clock):
    """Guards against heartbeat connections that stay open for ever."""
    server = RequestServer(Handler(b"x"), lambda: LIMITS)
    client, stream = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_stream, stream)
        await client.send_all(REQUEST)
        started_s = trio.current_time()
    assert trio.current_time() - started_s <= RUN_S + IDLE_S + MARGIN_S
