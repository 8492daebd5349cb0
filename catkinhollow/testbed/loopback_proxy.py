"""Inject faults into the connections to one server on loopback."""

import socket
from collections.abc import Callable, Iterable
from enum import Enum
from typing import TypeAlias

import trio
from attrs import define, field

from catkinhollow.logs import get_logger

logger = get_logger(__name__)

CHUNK_BYTES = 65536
# Chunks of one direction that wait for the end of their delay.
MAX_DELAYED_CHUNKS = 64


class Direction(Enum):
    """List the directions of a connection."""

    TO_SERVER = "to server"
    TO_CLIENT = "to client"

    @property
    def reverse(self) -> "Direction":
        """Return the other direction."""
        if self is Direction.TO_SERVER:
            return Direction.TO_CLIENT
        return Direction.TO_SERVER


_Chunk: TypeAlias = tuple[float, bytes]
"""Time from which bytes are forwarded; no bytes mean the end of the stream."""


@define(eq=False)
class _Connection:
    """Represent one open connection."""

    client: trio.SocketStream
    server: trio.SocketStream
    scope: trio.CancelScope
    cut: set[Direction] = field(factory=set)
    """Directions in which nothing is forwarded any more."""
    held: int = 0
    """Number of holds that have not been released yet."""

    def source(self, direction: Direction) -> trio.SocketStream:
        return self.client if direction is Direction.TO_SERVER else self.server

    def sink(self, direction: Direction) -> trio.SocketStream:
        return self.source(direction.reverse)


class LoopbackProxy:
    """Forward bytes, delay them, hold them back, or reset the connections."""

    def __init__(self, server_port: int) -> None:
        self.delay_s = 0.0
        """Time for which each chunk is held back, in seconds."""
        self._server_port = server_port
        self._silent = False
        self._changed = trio.Event()
        self._connections: set[_Connection] = set()

    @property
    def silent(self) -> bool:
        """Return whether connections stay open but forward no bytes."""
        return self._silent

    @silent.setter
    def silent(self, value: bool) -> None:
        self._silent = value
        self._wake_waiting()

    def reset(self) -> None:
        """Reset every open connection that still forwards bytes both ways."""
        for connection in self._connections:
            if not connection.cut:
                connection.scope.cancel()

    def cut_open(self, directions: Iterable[Direction] = Direction) -> None:
        """Forward nothing more on the open connections in these directions.

        Neither end learns of it. Connections that are opened later work.
        """
        for connection in self._connections:
            connection.cut.update(directions)

    def hold_open(self) -> Callable[[], None]:
        """Hold back all bytes of the open connections; return the release.

        Connections that are opened later work. What an end has sent is
        delivered after the release, even if its process has ended meanwhile.
        """
        connections = list(self._connections)
        for connection in connections:
            connection.held += 1

        def release() -> None:
            for connection in connections:
                connection.held -= 1
            self._wake_waiting()

        return release

    async def serve(
        self,
        port: int,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            task_status.started()
            await trio.serve_listeners(
                self._handle_connection, listeners, handler_nursery=nursery
            )

    async def _handle_connection(self, client: trio.SocketStream) -> None:
        try:
            server = await trio.open_tcp_stream("127.0.0.1", self._server_port)
        except OSError:
            _abort(client)
            return
        with trio.CancelScope() as scope:
            connection = _Connection(client, server, scope)
            self._connections.add(connection)
            async with trio.open_nursery() as nursery:
                for direction in Direction:
                    sender, receiver = trio.open_memory_channel[_Chunk](
                        MAX_DELAYED_CHUNKS
                    )
                    nursery.start_soon(self._read, connection, direction, sender)
                    nursery.start_soon(self._write, connection, direction, receiver)
        self._connections.discard(connection)
        _abort(client)
        _abort(server)

    async def _read(
        self,
        connection: _Connection,
        direction: Direction,
        chunks: trio.MemorySendChannel[_Chunk],
    ) -> None:
        data = b"..."
        while data:
            # Nothing is read while nothing is forwarded, so that the sender
            # sees a full window.
            await self._wait_until_open(connection, direction)
            try:
                data = await connection.source(direction).receive_some(CHUNK_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                await self._wait_until_open(connection, direction)
                logger.debug("connection ended", reason=repr(error))
                connection.scope.cancel()
                return
            await chunks.send((trio.current_time() + self.delay_s, data))

    async def _write(
        self,
        connection: _Connection,
        direction: Direction,
        chunks: trio.MemoryReceiveChannel[_Chunk],
    ) -> None:
        sink = connection.sink(direction)
        async for due_s, data in chunks:
            await trio.sleep_until(due_s)
            await self._wait_until_open(connection, direction)
            try:
                if not data:
                    await sink.send_eof()
                    return
                await sink.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                # The source learns of the end through the other direction.
                await self._wait_until_open(connection, direction.reverse)
                logger.debug("connection ended", reason=repr(error))
                connection.scope.cancel()

    async def _wait_until_open(
        self, connection: _Connection, direction: Direction
    ) -> None:
        """Wait while a direction is blocked, forever if it is cut."""
        while self._silent or connection.held or direction in connection.cut:
            await self._changed.wait()

    def _wake_waiting(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _abort(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError as error:
        logger.debug("connection already closed", reason=repr(error))
    stream.socket.close()
