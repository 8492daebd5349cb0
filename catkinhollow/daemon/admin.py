"""Serve the admin endpoints: health, metrics, status and announcements."""

from collections.abc import Callable
from typing import Any, Protocol

from catkinhollow.calls.exchange import Response, json_response, plain_response
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
from catkinhollow.codec import decode_json
from catkinhollow.daemon.metrics import Metrics
from catkinhollow.generated.messages import TargetRecord

MAX_ADMIN_BODY_BYTES = 65536

AdminHandler = Callable[[bytes], Response]


class DaemonView(Protocol):
    """Provide a daemon's state and receive announcements."""

    @property
    def ready(self) -> bool:
        """Return whether the daemon accepts calls."""

    def status(self) -> Any:
        """Return the status as a data class of the status schema."""

    def announce(self, record: TargetRecord) -> None:
        """Handle an announcement of the target on the instance."""

    def collect_metrics(self) -> Metrics:
        """Return the metrics with updated gauges."""


class AdminApplication:
    """Serve the admin endpoints as an ASGI application."""

    def __init__(self, daemon: DaemonView) -> None:
        self._daemon = daemon
        self._handlers: dict[tuple[str, str], AdminHandler] = {
            ("GET", "/health"): self._health,
            ("GET", "/metrics"): self._metrics,
            ("GET", "/status"): self._status,
            ("POST", "/announce"): self._announce,
        }

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, MAX_ADMIN_BODY_BYTES)
        if read.is_error():
            await send_response(send, read.error)
            return
        request = read.ok
        handler = self._handlers.get((request.method, request.path), _not_found)
        await send_response(send, handler(request.body))

    def _health(self, _: bytes) -> Response:
        if self._daemon.ready:
            return plain_response(200, "ready")
        return plain_response(503, "not ready")

    def _metrics(self, _: bytes) -> Response:
        return self._daemon.collect_metrics().render()

    def _status(self, _: bytes) -> Response:
        return json_response(200, self._daemon.status())

    def _announce(self, body: bytes) -> Response:
        record = decode_json(body, TargetRecord)
        if record.is_error():
            return plain_response(400, record.error.reason)
        self._daemon.announce(record.ok)
        return plain_response(200, "announced")


def _not_found(_: bytes) -> Response:
    return plain_response(404, "no such resource")
