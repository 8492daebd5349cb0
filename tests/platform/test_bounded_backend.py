"""Tests of responses of the store that never end."""

import socket
import struct
from functools import partial

import pytest
import trio
from httpcore import AsyncConnectionPool, ReadError

from catkinhollow.errors import StoreErrorKind
from catkinhollow.platform.bounded_backend import MAX_RESPONSE_BYTES, BoundedBackend
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.relay.documents.kinds import CONFIGURATION

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


class EndlessStore:
    """Send a beginning, then the same bytes, some times the limit."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.piece = repeated * (65536 // len(repeated))
        self.sent_bytes = 0

    async def serve(self, stream):
        await stream.receive_some(65536)
        try:
            await stream.send_all(self.beginning)
            while self.sent_bytes < 3 * MAX_RESPONSE_BYTES:
                await stream.send_all(self.piece)
                self.sent_bytes += len(self.piece)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def serve(nursery, handler):
    listeners = await nursery.start(
        partial(trio.serve_tcp, handler, 0, host="127.0.0.1")
    )
    return listeners[0].socket.getsockname()[1]


@pytest.mark.parametrize(
    ("beginning", "repeated"),
    [
        (CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
        (b"", b"HTTP/1.1 103 Hints\r\nx-more: " + b"x" * 16384 + b"\r\n\r\n"),
    ],
    ids=["chunks", "body without length", "early hints"],
)
async def test_response_without_end_is_cut_off(nursery, beginning, repeated):
    """Guards against a store that fills the memory of every instance."""
    endless = EndlessStore(beginning, repeated)
    port = await serve(nursery, endless.serve)
    store = PlatformStore(f"127.0.0.1:{port}")
    with trio.fail_after(30.0):
        listing = await store.list_objects(CONFIGURATION)
    assert listing.error.kind is StoreErrorKind.UNAVAILABLE
    # The kernel's buffers hold more bytes than the client has read.
    assert endless.sent_bytes < MAX_RESPONSE_BYTES + 16_000_000
    await store.aclose()


async def test_limit_applies_to_each_response(nursery):
    """Guards against a kept connection that ends after some responses."""

    async def echo(stream):
        async for data in stream:
            await stream.send_all(data)

    port = await serve(nursery, echo)
    stream = await BoundedBackend(10).connect_tcp("127.0.0.1", port)
    for _ in range(3):
        await stream.write(b"12345678")
        assert await stream.read(100) == b"12345678"
    await stream.aclose()


async def test_response_that_is_reset_during_a_write_is_not_whole(nursery):
    """Guards against a part of a response that counts as the whole one.

    The part is a valid listing.
    """

    async def answer_and_reset(stream):
        await stream.receive_some(1024)
        await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n{}")
        sock = stream.socket
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()

    port = await serve(nursery, answer_and_reset)
    pool = AsyncConnectionPool(network_backend=BoundedBackend())
    with pytest.raises(ReadError):
        await pool.request(
            "PUT", f"http://127.0.0.1:{port}/", content=bytes(20_000_000)
        )
    await pool.aclose()
