"""Close the connections of a library's server once their callers have read."""

from typing import Protocol

import trio

from catkinhollow.calls.closing_connections import ClosingConnections
from catkinhollow.calls.socket_stream import read_unacknowledged_bytes


class Linger(Protocol):
    """Wait for the caller of a connection whose responses are sent."""

    async def __call__(self, stream: trio.abc.HalfCloseableStream, /) -> None:
        """Close the sending side and return when the socket may be closed."""


class _DelegatingStream(trio.abc.HalfCloseableStream):
    """Pass calls on to a stream, and tell what it has not delivered."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream

    def unacknowledged_bytes(self) -> int:
        """Return how much the caller has not acknowledged; raise OSError."""
        return read_unacknowledged_bytes(self._stream.socket)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all bytes."""
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until some bytes can be sent."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._stream.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, none at the end."""
        return bytes(await self._stream.receive_some(max_bytes))

    async def aclose(self) -> None:
        """Close the socket."""
        await self._stream.aclose()


class LingeringStream(_DelegatingStream):
    """Wait for the caller before the socket is closed.

    A read that is open then ends as on a closed stream.
    """

    def __init__(self, stream: trio.SocketStream, linger: Linger) -> None:
        super().__init__(stream)
        self._linger = linger
        self._closed = False
        self._caller_closed = False
        self._reading: trio.CancelScope | None = None
        self._reading_ended = trio.Event()

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection."""
        return self._stream.socket

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, none at the end."""
        if self._closed:
            raise trio.ClosedResourceError("this connection was closed")
        self._reading_ended = trio.Event()
        try:
            with trio.CancelScope() as self._reading:
                data = await super().receive_some(max_bytes)
                self._caller_closed = not data
                return data
        finally:
            self._reading = None
            self._reading_ended.set()
        raise trio.ClosedResourceError("another task has closed this connection")

    async def aclose(self) -> None:
        """Wait for the caller, then close the socket."""
        try:
            if not self._closed:
                self._closed = True
                await self._wait_for_caller()
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _wait_for_caller(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            await self._reading_ended.wait()
        if not self._caller_closed:
            await self._linger(_DelegatingStream(self._stream))


class LingeringListener(trio.abc.Listener[LingeringStream]):
    """Accept connections that wait for their callers when they are closed."""

    def __init__(
        self, listener: trio.SocketListener, stall_s: float, max_input_bytes: int
    ) -> None:
        self._listener = listener
        self._stall_s = stall_s
        self._max_input_bytes = max_input_bytes
        self._closing_connections = ClosingConnections()

    @property
    def url(self) -> str:
        """Return the URL that callers use."""
        host, port = self._listener.socket.getsockname()[:2]
        return f"http://{host}:{port}"

    async def accept(self) -> LingeringStream:
        """Return the next connection."""
        return LingeringStream(await self._listener.accept(), self._linger)

    async def aclose(self) -> None:
        """Accept no more connections."""
        await self._listener.aclose()

    async def _linger(self, stream: trio.abc.HalfCloseableStream) -> None:
        await self._closing_connections.close(
            stream,
            stall_s=self._stall_s,
            max_input_bytes=self._max_input_bytes,
            awaits_caller=True,
        )
