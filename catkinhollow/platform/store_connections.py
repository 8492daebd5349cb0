"""Keep the connections to the platform's store, and replace them."""

from collections.abc import Callable
from typing import Any

import trio
from attrs import define
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    Response,
    TimeoutException,
)

from catkinhollow.configuration.store_sockets import IDLE_EXPIRY_S, SOCKET_OPTIONS
from catkinhollow.platform.bounded_backend import BoundedBackend

# The watch of each kind occupies one connection while it waits; writes use
# others.
MAX_CONNECTIONS = 10

PoolFactory = Callable[[float | None], AsyncConnectionPool]


def make_pool(idle_expiry_s: float | None) -> AsyncConnectionPool:
    """Return connections that the kernel watches.

    Idle ones are not used again after the given time in seconds, or always
    used if it is None.
    """
    return AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        keepalive_expiry=idle_expiry_s,
        socket_options=SOCKET_OPTIONS,
        network_backend=BoundedBackend(),
    )


@define(eq=False)
class _Pool:
    """Track the calls on connections that may be replaced."""

    connections: AsyncConnectionPool
    calls: int = 0
    renewed: bool = False


class StoreConnections:
    """Send requests through a pool of connections that can be replaced."""

    def __init__(
        self,
        make: PoolFactory,
        *,
        repeats_reads: bool = True,
        idle_expiry_s: float | None = IDLE_EXPIRY_S,
    ) -> None:
        self._make = make
        self._repeats_reads = repeats_reads
        self._idle_expiry_s = idle_expiry_s
        self._pool = _Pool(make(idle_expiry_s))

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.connections.aclose()

    async def renew(self) -> int:
        """Close all connections; return the number of calls that waited.

        Waiting GET requests may be repeated on new connections, the others
        raise NetworkError.
        """
        pool, self._pool = self._pool, _Pool(self._make(self._idle_expiry_s))
        pool.renewed = True
        calls = pool.calls
        await _close(pool)
        return calls

    async def request(self, method: str, url: str, **options: Any) -> Response:
        """Send a request and return its response.

        Raises NetworkError, ProtocolError or TimeoutException.
        """
        while True:
            pool = self._pool
            pool.calls += 1
            try:
                return await pool.connections.request(method, url, **options)
            except (NetworkError, ProtocolError, TimeoutException):
                is_repeated = self._repeats_reads and method == "GET"
                if not (is_repeated and pool.renewed):
                    raise
            finally:
                pool.calls -= 1
                if pool.renewed and not pool.calls:
                    # A connect in progress outlives the first close.
                    await _close(pool)


async def _close(pool: _Pool) -> None:
    with trio.CancelScope(shield=True):
        await pool.connections.aclose()
