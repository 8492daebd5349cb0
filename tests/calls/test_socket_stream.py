"""Tests of streams over sockets without yields."""

import pytest
import trio

from catkinhollow.calls.socket_stream import SocketBackend, take_socket


@pytest.fixture
async def streams(nursery):
    accepted = []

    async def accept(stream):
        accepted.append(take_socket(stream))
        await trio.sleep_forever()

    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, accept, [listener])
    port = listener.socket.getsockname()[1]
    client = await SocketBackend().connect_tcp("127.0.0.1", port, 1.0)
    while not accepted:
        await trio.sleep(0.01)
    yield client, accepted[0]
    await client.aclose()
    await accepted[0].aclose()


async def test_more_bytes_than_the_buffers_hold_arrive(streams, nursery):
    """Guards against bytes that are lost or doubled in a partial write."""
    client, server = streams
    data = bytes(range(256)) * 40_000
    nursery.start_soon(client.write, data)
    received = bytearray()
    with trio.fail_after(10.0):
        while len(received) < len(data):
            await trio.sleep(0)
            received += await server.receive_some()
    assert received == data


async def test_end_of_the_sender_is_the_end_of_the_data(streams):
    """Guards against readers that wait for ever."""
    client, server = streams
    await client.send_all(b"abc")
    await client.send_eof()
    with trio.fail_after(1.0):
        assert await server.read(2) == b"ab"
        assert await server.read(2) == b"c"
        assert await server.read(2) == b""
        await server.write(b"d")
        assert await client.read(9) == b"d"


async def test_readable_connection_is_told(streams):
    """Guards against requests on a connection that has ended."""
    client, server = streams
    assert not client.get_extra_info("is_readable")
    await server.aclose()
    with trio.fail_after(1.0):
        while not client.get_extra_info("is_readable"):
            await trio.sleep(0.01)


async def test_closing_ends_a_read_and_all_later_calls(streams, nursery):
    """Guards against tasks that use the descriptor of another connection."""
    client, _ = streams
    ended = []

    async def read():
        with pytest.raises(trio.ClosedResourceError):
            await client.read(9)
        ended.append(True)

    nursery.start_soon(read)
    await trio.testing.wait_all_tasks_blocked()
    await client.aclose()
    await trio.testing.wait_all_tasks_blocked()
    assert ended == [True]
    for call in (client.read(9), client.write(b"a"), client.send_eof()):
        with pytest.raises(trio.ClosedResourceError):
            await call
    await client.aclose()


async def test_reset_raises_an_error(streams):
    """Guards against a reset that is read as the end of the data."""
    client, server = streams
    await client.write(b"unread")
    await trio.sleep(0.05)
    await server.aclose()
    with trio.fail_after(1.0), pytest.raises(OSError):
        while await client.read(9):
            pass


async def test_cancelled_write_sends_nothing(streams):
    """Guards against requests of callers that have left before."""
    client, server = streams
    with trio.CancelScope() as scope:
        scope.cancel()
        await client.write(b"abc")
    assert scope.cancelled_caught
    with trio.move_on_after(0.1) as wait:
        await server.read(9)
    assert wait.cancelled_caught
