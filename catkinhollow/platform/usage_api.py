"""Report usage to the platform's API over HTTP."""

import socket
import struct
from collections.abc import Callable
from typing import Any

from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.codec import encode_json
from catkinhollow.configuration.store_sockets import SOCKET_OPTIONS
from catkinhollow.platform.bounded_backend import BoundedBackend
from catkinhollow.relay.usage.interfaces import UsageReport
from catkinhollow.relay.usage.report_plan import ReportOutcome

HOLDER_HEADER = b"x-duty-holder"
EPOCH_HEADER = b"x-fence-token"
CONNECT_TIMEOUT_S = 1.0
# A slow answer is waited for: the report has probably arrived.
READ_TIMEOUT_S = 4.0
# Reports are seconds apart, and a connection that has been idle may be dead.
IDLE_EXPIRY_S = 0.5
# A connection that is closed while bytes wait drops them. Otherwise the kernel
# could deliver a report after the term of its holder.
DROP_UNSENT = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
# Events of httpcore that precede the writes of a request.
WRITE_EVENTS = (
    "http11.send_request_headers.started",
    "http11.send_request_body.started",
)

PoolFactory = Callable[[], AsyncConnectionPool]


class _MaySendNoMoreError(Exception):
    """Stop a request before its next write."""


def make_pool() -> AsyncConnectionPool:
    """Return connections whose unsent bytes are dropped on close."""
    return AsyncConnectionPool(
        max_connections=1,
        keepalive_expiry=IDLE_EXPIRY_S,
        socket_options=[*SOCKET_OPTIONS, DROP_UNSENT],
        network_backend=BoundedBackend(),
    )


class PlatformUsageApi:
    """Send reports as `POST /usage`."""

    def __init__(self, address: str, make: PoolFactory = make_pool) -> None:
        self._url = f"http://{address}/usage"
        self._pool = make()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def report(
        self, report: UsageReport, may_send: Callable[[], bool]
    ) -> ReportOutcome:
        """Send a report and return how it ended.

        Nothing is written to the connection after `may_send` returns False.
        """

        async def check(event: str, _: dict[str, Any]) -> None:
            # A connection may take a second to open.
            if event in WRITE_EVENTS and not may_send():
                raise _MaySendNoMoreError

        timeouts = {
            "connect": CONNECT_TIMEOUT_S,
            "pool": CONNECT_TIMEOUT_S,
            "read": READ_TIMEOUT_S,
            "write": CONNECT_TIMEOUT_S,
        }
        try:
            response = await self._pool.request(
                "POST",
                self._url,
                headers=[
                    (b"content-type", b"application/json"),
                    (HOLDER_HEADER, report.holder.encode()),
                    (EPOCH_HEADER, str(report.epoch).encode()),
                ],
                content=encode_json({"window": report.window, "counts": report.counts}),
                extensions={"timeout": timeouts, "trace": check},
            )
        except (
            NetworkError,
            ProtocolError,
            TimeoutException,
            _MaySendNoMoreError,
        ):
            return ReportOutcome.UNREACHABLE
        return _classify(response.status)


def _classify(status: int) -> ReportOutcome:
    if 200 <= status < 300:
        return ReportOutcome.ACCEPTED
    if status == 429:
        return ReportOutcome.BUSY
    if status >= 500 or status == 408:
        return ReportOutcome.FAILED
    return ReportOutcome.REFUSED
