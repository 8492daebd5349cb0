"""Limit what is read from a target until the head of its response is whole."""

import ssl
from typing import Any

from httpcore import AsyncNetworkStream, ReadError


class LimitedStream(AsyncNetworkStream):
    """Fail reads of a head that is too long, whatever it consists of.

    httpcore limits what is missing of a head, but neither whole heads nor the
    number of informational responses before the final one.
    """

    def __init__(self, stream: AsyncNetworkStream, max_head_bytes: int) -> None:
        self._stream = stream
        self._max_head_bytes = max_head_bytes
        self._head_bytes_left: int | None = None
        self._silent = False

    @property
    def silent(self) -> bool:
        """Return whether nothing has arrived since the last `begin_head`."""
        return self._silent

    def begin_head(self) -> None:
        """Limit the reads from now on."""
        self._silent = True
        self._head_bytes_left = self._max_head_bytes

    def end_head(self) -> None:
        """End the limit, because the head is whole."""
        self._head_bytes_left = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, none at the end; raise ReadError."""
        if self._head_bytes_left is None:
            return await self._stream.read(max_bytes, timeout)
        if self._head_bytes_left <= 0:
            raise ReadError(f"no response in {self._max_head_bytes} bytes")
        max_bytes = min(max_bytes, self._head_bytes_left)
        data = await self._stream.read(max_bytes, timeout)
        self._silent = self._silent and not data
        self._head_bytes_left -= len(data)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send all bytes; raise WriteError."""
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> AsyncNetworkStream:
        """Return a stream that encrypts, without a limit."""
        return await self._stream.start_tls(ssl_context, server_hostname, timeout)

    def get_extra_info(self, info: str) -> Any:
        """Return a property of the connection, None if it is unknown."""
        return self._stream.get_extra_info(info)
