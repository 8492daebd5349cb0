"""Keep the connections to the platform's store, and replace them."""

import socket
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

# The watch of each kind occupies one connection while it waits; writes use
# others.
MAX_CONNECTIONS = 10
# Keepalive covers a connection on which a watch waits: it ends within 3 s
# after the kernel of its peer has become silent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# The user timeout covers bytes that are not acknowledged, such as a request
# into a dead connection, for which the kernel sends no keepalive probes.
USER_TIMEOUT_MS = 3000

# Platforms lack some of the TCP options.
_TCP_OPTIONS = {
    "TCP_KEEPIDLE": KEEPALIVE_IDLE_S,
    "TCP_KEEPINTVL": KEEPALIVE_INTERVAL_S,
    "TCP_KEEPCNT": KEEPALIVE_PROBES,
    "TCP_USER_TIMEOUT": USER_TIMEOUT_MS,
}
_SOCKET_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    *(
        (socket.IPPROTO_TCP, getattr(socket, name), value)
        for name, value in _TCP_OPTIONS.items()
        if hasattr(socket, name)
    ),
]

# A connection that has been idle for longer may have fallen silent, and the
# next call on it would end with a time-out.
IDLE_EXPIRY_S = 0.5

PoolFactory = Callable[[float | None], AsyncConnectionPool]


def make_pool(idle_expiry_s: float | None) -> AsyncConnectionPool:
    """Return connections that the kernel watches.

    Idle ones are not used again after the given time in seconds, or always
    used if it is None.
    """
    return AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS,
        keepalive_expiry=idle_expiry_s,
        socket_options=_SOCKET_OPTIONS,
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
