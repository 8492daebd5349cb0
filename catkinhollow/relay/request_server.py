"""Serve HTTP/1.1 to callers, and to the target that announces itself."""

from collections.abc import Callable

import trio

from catkinhollow.calls.closing_connections import ClosingConnections
from catkinhollow.calls.http_encoding import EncodingError
from catkinhollow.calls.socket_stream import NETWORK_ERRORS, take_socket
from catkinhollow.generated.relay import RequestLimits
from catkinhollow.generated.settings import Address
from catkinhollow.logs import get_logger
from catkinhollow.relay.connections.caller_connection import (
    CallerConnection,
    RequestHandler,
)

logger = get_logger(__name__)

# Connections that wait to be accepted; a simultaneous restart of many callers
# overflows smaller queues.
BACKLOG = 1024


class RequestServer:
    """Accept connections of callers."""

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], RequestLimits],
        count_sent: Callable[[int], None] = lambda size_bytes: None,
        on_failure: Callable[[], None] = lambda: None,
        on_unread: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._count_sent = count_sent
        self._on_failure = on_failure
        self._connections: set[CallerConnection] = set()
        self._connection_closed = trio.Event()
        self._closing_connections = ClosingConnections(on_unread)
        self._closing = False
        self._open_requests = 0

    @property
    def busy(self) -> bool:
        """Return whether a request has been read but not yet answered."""
        return self._open_requests > 0

    @property
    def open_requests(self) -> int:
        """Return the number of requests that have been read, not answered."""
        return self._open_requests

    @property
    def delivering(self) -> bool:
        """Return whether connections wait for callers that still read."""
        return len(self._closing_connections) > 0

    @property
    def handler(self) -> RequestHandler:
        """Return the handler of requests."""
        return self._handler

    @property
    def limits(self) -> RequestLimits:
        """Return the current limits of requests and connections."""
        return self._limits()

    @property
    def closing(self) -> bool:
        """Return whether connections close after their next response."""
        return self._closing

    async def serve(
        self,
        address: Address,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections until cancelled."""
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host, backlog=BACKLOG
        )
        task_status.started()
        await trio.serve_listeners(self._serve_socket, listeners)

    def response_sent(self, size_bytes: int) -> None:
        """Count the bytes of a response."""
        self._count_sent(size_bytes)

    def request_started(self) -> None:
        """Count a request that has been read."""
        self._open_requests += 1

    def request_ended(self) -> None:
        """Count an answered request, or one whose caller disconnected."""
        self._open_requests -= 1

    def begin_closing(self) -> None:
        """Close each connection after its next response."""
        self._closing = True

    async def close_idle_connections(self) -> None:
        """Close the connections without an open request.

        Wait for their callers, some of which are still reading.
        """
        connections = set(self._connections)
        for connection in connections:
            connection.end_if_idle()
        # Later connections are refused their requests and need not be awaited.
        while connections & self._connections:
            self._connection_closed = trio.Event()
            await self._connection_closed.wait()

    async def _serve_socket(self, stream: trio.SocketStream) -> None:
        await self.serve_stream(take_socket(stream))

    async def serve_stream(self, stream: trio.abc.HalfCloseableStream) -> None:
        """Serve one connection until it ends."""
        connection = CallerConnection(self, stream)
        self._connections.add(connection)
        try:
            await self._run_connection(connection)
            connection.abandon()
            if not connection.ended_by_caller:
                await self._closing_connections.close(
                    stream,
                    stall_s=self.limits.idle_timeout_ms / 1000.0,
                    max_input_bytes=self.limits.max_body_bytes,
                    awaits_caller=connection.announced_close,
                )
        finally:
            connection.abandon()
            self._connections.remove(connection)
            self._connection_closed.set()
            await trio.aclose_forcefully(stream)

    async def _run_connection(self, connection: CallerConnection) -> None:
        try:
            await connection.run()
        except* NETWORK_ERRORS as errors:
            logger.debug("connection lost", reason=_describe(errors))
        except* EncodingError as errors:
            # Other connections have other responses.
            logger.error("connection failed", reason=_describe(errors))
            self._on_failure()


def _describe(errors: BaseExceptionGroup[BaseException]) -> str:
    """Return the first error of a group for the log."""
    error = errors.exceptions[0]
    if isinstance(error, BaseExceptionGroup):
        return _describe(error)
    return f"{type(error).__name__}: {error}"
