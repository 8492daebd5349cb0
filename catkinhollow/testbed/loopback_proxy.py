"""Inject faults into the connections to one server on loopback."""

import socket

import trio

from catkinhollow.logs import get_logger

logger = get_logger(__name__)

CHUNK_BYTES = 65536


class LoopbackProxy:
    """Forward bytes, hold them back, or reset the connections."""

    def __init__(self, server_port: int) -> None:
        self._server_port = server_port
        self._silent = False
        self._changed = trio.Event()
        self._scopes: set[trio.CancelScope] = set()

    @property
    def silent(self) -> bool:
        """Return whether connections stay open but forward no bytes."""
        return self._silent

    @silent.setter
    def silent(self, value: bool) -> None:
        self._silent = value
        self._changed.set()
        self._changed = trio.Event()

    def reset(self) -> None:
        """Reset every open connection."""
        for scope in self._scopes:
            scope.cancel()

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
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, client, server)
                nursery.start_soon(self._forward, server, client)
        self._scopes.discard(scope)
        _abort(client)
        _abort(server)

    async def _forward(
        self, source: trio.SocketStream, sink: trio.SocketStream
    ) -> None:
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while self._silent:
                    await self._changed.wait()
                await sink.send_all(data)
            await sink.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            logger.debug("connection ended", reason=repr(error))


def _abort(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    try:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError as error:
        logger.debug("connection already closed", reason=repr(error))
    stream.socket.close()
