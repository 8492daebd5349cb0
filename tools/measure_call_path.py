"""Measure the CPU time of catkinhollow's code per call, without sockets."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from statistics import median
from time import process_time
from typing import Any

import trio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkinhollow.calls.call_router import CallRouter  # noqa: E402
from catkinhollow.calls.dispatch import Dispatcher  # noqa: E402
from catkinhollow.calls.egress import HttpTargetClient, SendResult  # noqa: E402
from catkinhollow.calls.exchange import Request, Response  # noqa: E402
from catkinhollow.calls.pool import Location  # noqa: E402
from catkinhollow.calls.retries import AttemptKind  # noqa: E402
from catkinhollow.calls.traffic_application import TrafficApplication  # noqa: E402
from catkinhollow.clock import TrioClock  # noqa: E402
from catkinhollow.daemon.metrics import Metrics  # noqa: E402
from catkinhollow.daemon.tracing import PropagatingTracer  # noqa: E402
from catkinhollow.generated.fleet import Backer, Fleet, Route, Service  # noqa: E402
from catkinhollow.generated.messages import MemberRecord, TargetRecord  # noqa: E402
from catkinhollow.generated.settings import HttpSettings  # noqa: E402

CALLS = 3000
ROUNDS = 9
TARGETS = 5
HEADERS = [
    (b"host", b"127.0.0.1:8080"),
    (b"accept", b"*/*"),
    (b"x-request-id", b"0af7651916cd43dd8448eb211c80319c"),
    (b"x-deadline-ms", b"10000"),
    (b"x-backer", b"b0"),
]
RESPONSE = Response(
    status=200,
    headers=[
        (b"content-type", b"application/json"),
        (b"x-request-id", HEADERS[2][1]),
        (b"x-target-version", b"v1"),
    ],
    body=b"{}" * 60,
)
SCOPE = {
    "type": "http",
    "method": "GET",
    "raw_path": b"/s/x",
    "query_string": b"",
    "headers": HEADERS,
}
RAW_RESPONSE = (
    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
    b"x-target-version: v1\r\ncontent-length: 2\r\n\r\n{}"
)


class InstantClient:
    """Return a response to every request immediately."""

    async def send(
        self, address: str, request: Request, timeout_s: float
    ) -> SendResult:
        """Return the same response to each request."""
        return SendResult(kind=AttemptKind.ANSWERED, response=RESPONSE)


def make_router() -> CallRouter:
    """Return a router of one service."""
    router = CallRouter(Location(failure_domain="fd0", region="r0"), Random(1))
    service = Service(name="s", backers=[Backer(name="b0", share_percent=100)])
    route = Route(name="r", service="s", path_prefix="/s")
    router.enforce(Fleet(services=[service], routes=[route]), 0.0)
    members = [
        MemberRecord(
            address=f"m{index}:1",
            incarnation=1,
            failure_domain="fd0",
            region="r0",
            targets=[
                TargetRecord(
                    service="s",
                    version="v1",
                    address=f"127.0.0.1:{index + 1}",
                    slots=10,
                    started_ms=0,
                )
            ],
        )
        for index in range(TARGETS)
    ]
    router.update_members(members, 0.0, 10**9)
    return router


def make_application() -> TrafficApplication:
    """Return the traffic application without a listener."""
    dispatcher = Dispatcher(
        router=make_router(),
        client=InstantClient(),
        tracer=PropagatingTracer(Random(1)),
        clock=TrioClock(),
        metrics=Metrics(),
        is_ready=lambda: True,
    )
    return TrafficApplication(dispatcher, 1024)


async def measure(name: str, call: Callable[[], Awaitable[Any]]) -> None:
    """Print the median and the minimum CPU time of a call over the rounds."""
    times_us = []
    for _ in range(ROUNDS):
        started_s = process_time()
        for _ in range(CALLS):
            await call()
        times_us.append(1e6 * (process_time() - started_s) / CALLS)
    print(
        f"{name:20} median {median(times_us):6.1f} us, minimum {min(times_us):6.1f} us"
    )


async def main() -> None:
    """Measure the traffic application and the HTTP client."""
    application = make_application()
    statuses: list[int] = []

    async def receive() -> Any:
        return {"type": "http.request", "body": b"", "more_body": False}

    async def send(message: Any) -> None:
        if message["type"] == "http.response.start":
            statuses.append(message["status"])

    await measure("ingress to decision", lambda: application(SCOPE, receive, send))
    assert set(statuses) == {200}
    await measure_client()


class MockStream:
    """Answer each request of a connection with the same bytes."""

    def try_send(self, data: bytes | memoryview) -> int:
        """Take a request."""
        return len(data)

    async def wait_writable(self) -> None:
        """Do nothing."""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return a whole response."""
        return RAW_RESPONSE

    async def aclose(self) -> None:
        """Do nothing."""

    def get_extra_info(self, info: str) -> Any:
        """Return None, as for every unknown property."""


class MockBackend:
    """Open connections in memory."""

    async def connect_tcp(self, host: str, port: int, timeout: float) -> MockStream:
        """Return a new connection."""
        return MockStream()


async def measure_client() -> None:
    """Measure HttpTargetClient on an in-memory stream."""
    client = HttpTargetClient(HttpSettings())
    client._backend = MockBackend()
    request = Request(method="GET", path="/s/x", query=b"", headers=HEADERS, body=b"")

    async def call() -> None:
        attempt = await client.send("127.0.0.1:1", request, 1.0)
        assert attempt.kind is AttemptKind.ANSWERED, attempt

    await measure("client", call)


if __name__ == "__main__":
    trio.run(main)
