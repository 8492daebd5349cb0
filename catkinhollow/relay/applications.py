"""Serve requests, readiness and metrics as ASGI applications."""

from collections.abc import Callable
from functools import partial

from catkinhollow.exchange import Response, plain_response
from catkinhollow.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
    wait_disconnect,
)
from catkinhollow.relay.entry import Entry
from catkinhollow.relay.relay_metrics import RelayMetrics

MAX_PROBE_BODY_BYTES = 4096


class RequestApplication:
    """Serve the callers on the instance."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, self._entry.limits.max_body_bytes)
        if read.is_error():
            await send_response(send, read.error)
            return
        response = await self._entry.serve(read.ok, partial(wait_disconnect, receive))
        await send_response(send, response)


class ReadyApplication:
    """Tell whether callers on the instance may send requests."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one readiness check."""
        await read_request(scope, receive, MAX_PROBE_BODY_BYTES)
        ready = self._is_ready()
        response = plain_response(200, "ready") if ready else _not_ready()
        await send_response(send, response)


class MetricsApplication:
    """Serve the metrics as text."""

    def __init__(self, collect: Callable[[], RelayMetrics]) -> None:
        self._collect = collect

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one reading of the metrics."""
        await read_request(scope, receive, MAX_PROBE_BODY_BYTES)
        content, headers = self._collect().render()
        pairs = [
            (name.lower().encode(), value.encode()) for name, value in headers.items()
        ]
        await send_response(send, Response(status=200, headers=pairs, body=content))


def _not_ready() -> Response:
    return plain_response(503, "not ready")
