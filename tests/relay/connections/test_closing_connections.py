"""Tests of callers that have not read everything when a connection ends."""

import pytest
import trio
from slow_callers import open_slow_connection, read_to_end, read_while
from trio.testing import memory_stream_pair

from catkinhollow.calls.closing_connections import ClosingConnections
from catkinhollow.calls.exchange import plain_response
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.generated.settings import Address
from catkinhollow.relay.request_server import RequestServer
from catkinhollow.testbed.processes import free_ports

LIMITS = RequestLimits(max_header_bytes=2048, max_body_bytes=100_000)
BODY = "x" * 60_000
CLOSE = "connection: close\r\n"


def head(path="/", method="GET", fields=""):
    return f"{method} {path} HTTP/1.1\r\nhost: x\r\n{fields}\r\n".encode()


async def answer(request, wait_for_disconnect):
    return plain_response(200, BODY)


async def wait_until(condition):
    with trio.fail_after(10.0):
        while not condition():
            await trio.sleep(0.01)


async def read_until_written(stream, server):
    """Read until the daemon has written the rest to its kernel."""
    await wait_until(lambda: server.busy)
    return await read_while(stream, lambda: server.busy)


@pytest.fixture
async def serve(nursery):
    """Serve on loopback, and count the connections that end unread."""
    unread = []

    async def start(handler=answer, limits=LIMITS):
        server = RequestServer(
            handler, lambda: limits, on_unread=lambda: unread.append(1)
        )
        port = free_ports(1)[0]
        await nursery.start(server.serve, Address(host="127.0.0.1", port=port))
        return server, port

    return start, unread


@pytest.mark.parametrize("why", ["asked", "stopping"])
async def test_request_behind_the_last_response_does_not_cut_it_off(serve, why):
    """Guards against a reset that drops unread responses (review/13)."""
    start, unread = serve
    server, port = await start()
    stream = await open_slow_connection(port)
    if why == "stopping":
        server.begin_closing()
    await stream.send_all(head(fields=CLOSE if why == "asked" else ""))
    data = await read_until_written(stream, server)
    for _ in range(3):
        await stream.send_all(head())
        await trio.sleep(0.05)
    data += await read_to_end(stream)
    assert data.endswith(BODY.encode() + b"\n")
    assert b"connection: close" in data.lower()
    await stream.aclose()
    await wait_until(lambda: not server.delivering)
    assert unread == []


async def test_idle_connection_ends_without_loss_for_a_slow_caller(serve):
    """Guards against an idle timeout that cuts off a response being read."""
    start, _ = serve
    server, port = await start(limits=RequestLimits(idle_timeout_ms=300))
    stream = await open_slow_connection(port)
    await stream.send_all(head())
    data = await read_until_written(stream, server)
    await wait_until(lambda: server.delivering)
    await stream.send_all(head())
    await trio.sleep(0.05)
    data += await read_to_end(stream)
    assert data.endswith(BODY.encode() + b"\n")


async def test_response_that_is_never_read_is_given_up_and_counted(serve):
    """Guards against descriptors that callers hold without reading."""
    start, unread = serve
    server, port = await start(limits=RequestLimits(idle_timeout_ms=300))
    stream = await open_slow_connection(port)
    await stream.send_all(head(fields=CLOSE))
    await read_until_written(stream, server)
    await wait_until(lambda: server.delivering)
    await wait_until(lambda: not server.delivering)
    assert unread == [1]
    await stream.aclose()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01 nothing\r\n\r\n", b"400"),
        (head(fields="x: " + "y" * 4000)[:-4], b"431"),
        (head("/", "POST", "content-length: 900000\r\n"), b"413"),
        (head("/", "POST", "content-length: -1\r\n"), b"400"),
        (head("/", "CONNECT"), b"501"),
    ],
)
async def test_refused_caller_may_go_on_sending(autojump_clock, nursery, data, status):
    """Guards against a reset that drops the refusal of an upload."""
    server = RequestServer(answer, lambda: LIMITS)
    client, stream = memory_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(data + b"x" * 150_000)
    response = await client.receive_some(65536)
    assert response.startswith(b"HTTP/1.1 " + status)
    await trio.sleep(1.0)
    await client.send_all(b"x" * 50_000)
    await client.aclose()
    await trio.sleep(0.1)
    assert not server.delivering


async def test_upload_without_end_is_given_up(autojump_clock, nursery):
    """Guards against a daemon that reads and drops without a limit."""
    server = RequestServer(answer, lambda: LIMITS)
    client, stream = memory_stream_pair()
    nursery.start_soon(server.serve_stream, stream)
    await client.send_all(head("/", "POST", "content-length: 900000\r\n"))
    sent = 0
    with pytest.raises(trio.BrokenResourceError):
        while True:
            await client.send_all(b"x" * 10_000)
            sent += 10_000
            await trio.sleep(0.01)
    assert sent < 2 * LIMITS.max_body_bytes + 100_000


class StalledStream:
    """Take no byte and send none."""

    def unacknowledged_bytes(self):
        return 100

    async def send_eof(self):
        pass

    async def receive_some(self, max_bytes):
        await trio.sleep_forever()


async def test_number_of_closing_connections_is_limited(autojump_clock, nursery):
    """Guards against callers that take all descriptors of a daemon."""
    unread = []
    closing = ClosingConnections(lambda: unread.append(1), max_closing=3)
    ended = []

    async def close(number):
        await closing.close(
            StalledStream(), stall_s=15.0, max_input_bytes=10, awaits_caller=True
        )
        ended.append(number)

    for number in range(5):
        nursery.start_soon(close, number)
        await trio.sleep(0.1)
    assert ended == [0, 1]
    assert len(closing) == 3
    assert unread == [1, 1]
    await trio.sleep(20.0)
    assert len(closing) == 0
