"""Limit what is read in response to one request over httpcore."""

from collections.abc import Iterable
from typing import Any

from httpcore import (
    SOCKET_OPTION,
    AsyncNetworkBackend,
    AsyncNetworkStream,
    ReadError,
    TrioBackend,
    WriteError,
)

# Some hundred versions of a large configuration in one response.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class BoundedStream(AsyncNetworkStream):
    """Fail reads after the limit until the next request is written.

    httpcore limits neither bodies nor the number of informational responses,
    and its timeouts apply to single reads. It reads a response after a failed
    write as well, whose error the end of the connection is then.
    """

    def __init__(self, stream: AsyncNetworkStream, max_response_bytes: int) -> None:
        self._stream = stream
        self._max_response_bytes = max_response_bytes
        self._bytes_left = max_response_bytes
        self._write_error: WriteError | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, none at the end; raise ReadError."""
        data = await self._stream.read(max_bytes, timeout)
        if not data and self._write_error is not None:
            raise ReadError(f"request not written: {self._write_error}")
        self._bytes_left -= len(data)
        if self._bytes_left < 0:
            raise ReadError(f"more than {self._max_response_bytes} bytes")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes; raise WriteError."""
        self._bytes_left = self._max_response_bytes
        try:
            await self._stream.write(buffer, timeout)
        except WriteError as error:
            self._write_error = error
            raise

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection, None if it is unknown."""
        return self._stream.get_extra_info(info)


class BoundedBackend(AsyncNetworkBackend):
    """Open connections whose responses are limited."""

    def __init__(self, max_response_bytes: int = MAX_RESPONSE_BYTES) -> None:
        self._backend = TrioBackend()
        self._max_response_bytes = max_response_bytes

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        """Return a connection; raise ConnectError or ConnectTimeout."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return BoundedStream(stream, self._max_response_bytes)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await self._backend.sleep(seconds)
