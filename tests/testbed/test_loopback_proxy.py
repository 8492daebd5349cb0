"""Tests of the faults that a proxy injects into connections."""

from contextlib import asynccontextmanager

import pytest
import trio
from httpcore import AsyncConnectionPool, NetworkError, ProtocolError

from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.testbed.loopback_proxy import Direction, LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports

SHORT_S = 0.2


class Server:
    """Accept connections and keep their server ends."""

    def __init__(self):
        self._sender, self._receiver = trio.open_memory_channel(10)

    async def serve(self, port, task_status):
        listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
        task_status.started()
        await trio.serve_listeners(self._keep, listeners)

    async def accept(self):
        return await self._receiver.receive()

    async def _keep(self, stream):
        await self._sender.send(stream)
        await trio.sleep_forever()


class Site:
    """Open connections through a proxy."""

    def __init__(self, proxy, port, server):
        self.proxy = proxy
        self._port = port
        self._server = server

    async def connect(self):
        """Return the client's and the server's end of a new connection."""
        client = await trio.open_tcp_stream("127.0.0.1", self._port)
        server = await self._server.accept()
        if not self.proxy.silent:
            # The proxy knows a connection from its first bytes on.
            assert await carries(client, server)
        return client, server


@asynccontextmanager
async def open_site():
    server_port, proxy_port = free_ports(2)
    server = Server()
    proxy = LoopbackProxy(server_port)
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, server_port)
        await nursery.start(proxy.serve, proxy_port)
        with trio.fail_after(10):
            yield Site(proxy, proxy_port, server)
        nursery.cancel_scope.cancel()


async def carries(source, sink):
    """Return whether bytes arrive within a short time."""
    await source.send_all(b"ping")
    with trio.move_on_after(SHORT_S):
        return await sink.receive_some() == b"ping"
    return False


@pytest.mark.parametrize("directions", [{each} for each in Direction] + [{*Direction}])
async def test_cut_direction_carries_nothing_and_new_connections_work(directions):
    """Guards against a silence that ends, or that the ends learn of."""
    async with open_site() as site:
        client, server = await site.connect()
        assert await carries(server, client)
        site.proxy.cut_open(directions)
        for _ in range(2):
            assert await carries(client, server) is (
                Direction.TO_SERVER not in directions
            )
            assert await carries(server, client) is (
                Direction.TO_CLIENT not in directions
            )
            # Neither a reset nor the end of another silence opens it again.
            site.proxy.reset()
            site.proxy.silent = True
            site.proxy.silent = False
        client, server = await site.connect()
        assert await carries(server, client)


async def test_end_of_a_silent_connection_is_not_passed_on():
    """Guards against peers that learn of a silence when a process ends."""
    async with open_site() as site:
        client, server = await site.connect()
        site.proxy.cut_open()
        await server.aclose()
        await client.send_all(b"ping")
        with trio.move_on_after(SHORT_S) as scope:
            await client.receive_some()
        assert scope.cancelled_caught


async def test_end_passes_in_the_direction_that_is_not_cut():
    """Guards against a cut of one direction that cuts both."""
    async with open_site() as site:
        client, server = await site.connect()
        site.proxy.cut_open([Direction.TO_SERVER])
        await server.aclose()
        assert await client.receive_some() == b""


async def test_silent_connection_takes_no_more_bytes():
    """Guards against a proxy that buffers what it never forwards."""
    async with open_site() as site:
        client, _ = await site.connect()
        site.proxy.cut_open()
        with trio.move_on_after(5 * SHORT_S) as scope:
            await client.send_all(bytes(64 * 1024 * 1024))
        assert scope.cancelled_caught


async def test_bytes_of_a_silence_for_a_time_are_delivered_after_it():
    """Guards against held-back bytes that are lost."""
    async with open_site() as site:
        client, server = await site.connect()
        site.proxy.silent = True
        new_client, new_server = await site.connect()
        assert not await carries(client, server)
        assert not await carries(new_server, new_client)
        site.proxy.silent = False
        assert await server.receive_some() == b"ping"
        assert await new_client.receive_some() == b"ping"


async def test_held_bytes_arrive_after_those_of_newer_connections():
    """Guards against frames of a killed daemon that are lost, not late."""
    async with open_site() as site:
        client, server = await site.connect()
        release = site.proxy.hold_open()
        assert not await carries(client, server)
        await client.aclose()
        await site.connect()
        release()
        assert await server.receive_some() == b"ping"
        assert await server.receive_some() == b""


async def test_delayed_bytes_arrive_later_and_in_order():
    """Guards against chunks that overtake, and against added delays."""
    async with open_site() as site:
        client, server = await site.connect()
        received = b""
        site.proxy.delay_s = SHORT_S
        started_s = trio.current_time()
        for number in range(5):
            await client.send_all(bytes([number]))
            await trio.sleep(SHORT_S / 10)
        # Later bytes do not overtake the delayed ones.
        site.proxy.delay_s = 0.0
        await client.send_all(b"\x05")
        while len(received) < 6:
            received += await server.receive_some()
            assert trio.current_time() - started_s >= SHORT_S
        assert received == bytes(range(6))
        assert trio.current_time() - started_s < 5 * SHORT_S


async def test_reset_reaches_both_ends():
    """Guards against a reset that one end does not see."""
    async with open_site() as site:
        client, server = await site.connect()
        site.proxy.reset()
        for stream in (client, server):
            with pytest.raises(trio.BrokenResourceError):
                await stream.receive_some()


async def test_proxy_blocks_traffic_and_resets_connections(nursery):
    """Guards against faults that are not applied."""
    app = StandInStore()
    server_port = free_ports(1)[0]
    await nursery.start(serve_on_loopback, app, server_port)
    proxy_port = free_ports(1)[0]
    proxy = LoopbackProxy(server_port)
    await nursery.start(proxy.serve, proxy_port)
    url = f"http://127.0.0.1:{proxy_port}/objects/config"
    async with AsyncConnectionPool() as pool:
        assert (await pool.request("GET", url)).status == 200
        proxy.silent = True
        with trio.move_on_after(0.3) as scope:
            await pool.request("GET", url)
        assert scope.cancelled_caught
        proxy.silent = False
        assert (await pool.request("GET", url)).status == 200
        proxy.reset()
        await trio.sleep(0.1)
        with pytest.raises((NetworkError, ProtocolError)):
            async with AsyncConnectionPool() as other:
                proxy.silent = True
                nursery.start_soon(_reset_soon, proxy)
                await other.request("GET", url)


async def _reset_soon(proxy):
    await trio.sleep(0.2)
    proxy.reset()
