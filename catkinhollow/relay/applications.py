"""Serve readiness and metrics as ASGI applications."""

from collections.abc import Callable

from catkinhollow.calls.exchange import Response, plain_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
from catkinhollow.relay.relay_metrics import RelayMetrics

MAX_PROBE_BODY_BYTES = 4096


class ReadyApplication:
    """Report whether callers on the instance may send requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one readiness check."""
        await read_request(scope, receive, MAX_PROBE_BODY_BYTES)
        ready = self._is_ready()
        response = plain_response(200, "ready") if ready else _not_ready()
        await send_response(send, response)


class MetricsApplication:
    """Serve the metrics in text form."""

    def __init__(self, collect: Callable[[], RelayMetrics]) -> None:
        self._collect = collect

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one scrape of the metrics."""
        await read_request(scope, receive, MAX_PROBE_BODY_BYTES)
        await send_response(send, self._collect().render())


def _not_ready() -> Response:
    return plain_response(503, "not ready")
