"""Answer requests for readiness and metrics."""

from collections.abc import Awaitable, Callable

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.relay.relay_metrics import RelayMetrics


class ReadyApplication:
    """Report whether callers on the instance may send requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(
        self, request: Request, wait_for_disconnect: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the response to one readiness check."""
        if self._is_ready():
            return plain_response(200, "ready")
        return plain_response(503, "not ready")


class MetricsApplication:
    """Serve the metrics in text form."""

    def __init__(self, collect: Callable[[], RelayMetrics]) -> None:
        self._collect = collect

    async def __call__(
        self, request: Request, wait_for_disconnect: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the metrics for one scrape."""
        return self._collect().render()
