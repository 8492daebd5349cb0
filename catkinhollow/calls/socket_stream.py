"""Read and write TCP connections with few steps.

trio.SocketStream guards against concurrent use and yields to other tasks with
each call. The connections here have one reader and one writer each, and other
tasks run whenever one of them has to wait.
"""

import fcntl
import select
import socket
import sys
import termios
from typing import Any, Protocol

import trio

READ_BYTES = 65536
NETWORK_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)
# Size of the number that the kernel returns for TIOCOUTQ.
INT_BYTES = 4


class ByteStream(Protocol):
    """Transport bytes; each method may raise OSError or a trio error."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, none at the end."""

    def try_send(self, data: bytes | memoryview) -> int:
        """Send what can be sent at once and return its size."""

    async def wait_writable(self) -> None:
        """Wait until some bytes can be sent."""

    async def aclose(self) -> None:
        """Close the connection."""

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection, None if it is unknown."""


class StreamBackend(Protocol):
    """Open connections."""

    async def connect_tcp(self, host: str, port: int, timeout: float) -> ByteStream:
        """Return a connection; raise OSError or trio.TooSlowError."""


class SocketStream(trio.abc.HalfCloseableStream):
    """Transport bytes over a socket of the standard library.

    Methods yield to other tasks only where they wait.
    """

    def __init__(self, sock: socket.socket) -> None:
        """Take over a connected socket."""
        sock.setblocking(False)
        self._socket = sock
        self._poll = select.poll()
        self._poll.register(sock, select.POLLIN)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, none at the end."""
        while True:
            self._check_open()
            # What is read here was mostly asked for just before.
            await trio.lowlevel.wait_readable(self._socket)
            try:
                return self._socket.recv(max_bytes)
            except BlockingIOError:
                continue

    async def write(
        self, data: bytes | memoryview, timeout: float | None = None
    ) -> None:
        """Send all bytes."""
        await trio.lowlevel.checkpoint_if_cancelled()
        sent = self.try_send(data)
        if sent == len(data):
            return
        view = memoryview(data)
        while sent < len(data):
            await self.wait_writable()
            sent += self.try_send(view[sent:])

    def try_send(self, data: bytes | memoryview) -> int:
        """Send what can be sent at once and return its size."""
        self._check_open()
        try:
            return self._socket.send(data)
        except BlockingIOError:
            return 0

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, none at the end."""
        return await self.read(max_bytes or READ_BYTES)

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        """Send all bytes."""
        await self.write(memoryview(data))

    async def wait_writable(self) -> None:
        """Wait until some bytes can be sent."""
        self._check_open()
        await trio.lowlevel.wait_writable(self._socket)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until some bytes can be sent."""
        await self.wait_writable()

    async def send_eof(self) -> None:
        """Close the sending side."""
        self._check_open()
        self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the connection."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    def unacknowledged_bytes(self) -> int:
        """Return how much the peer has not acknowledged; raise OSError."""
        self._check_open()
        return read_unacknowledged_bytes(self._socket)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection, None if it is unknown."""
        if info == "socket":
            return self._socket
        if info == "is_readable":
            return bool(self._poll.poll(0))
        return None

    def _check_open(self) -> None:
        if self._socket.fileno() < 0:
            raise trio.ClosedResourceError("this connection was closed")


class Descriptor(Protocol):
    """Provide a file descriptor."""

    def fileno(self) -> int:
        """Return its number."""


def read_unacknowledged_bytes(sock: Descriptor) -> int:
    """Return how much the peer of a TCP socket has not acknowledged yet.

    The end of the sending side counts as one byte. Raises OSError.
    """
    answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(INT_BYTES))
    return int.from_bytes(answer, sys.byteorder, signed=True)


def take_socket(stream: trio.SocketStream) -> SocketStream:
    """Return a stream that takes over the socket of another one."""
    return SocketStream(socket.socket(fileno=stream.socket.detach()))


class SocketBackend:
    """Open TCP connections."""

    async def connect_tcp(self, host: str, port: int, timeout: float) -> SocketStream:
        """Return a connection; raise OSError or trio.TooSlowError."""
        with trio.fail_after(timeout):
            stream = await trio.open_tcp_stream(host, port)
        return take_socket(stream)
