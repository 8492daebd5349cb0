"""Serve an application on loopback until cancelled."""

import trio

from catkinhollow.calls.http_server import App, serve_app
from catkinhollow.generated.settings import Address, HttpSettings


async def serve_on_loopback(
    app: App,
    port: int,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an ASGI application on a port."""
    await serve_app(
        app,
        Address(host="127.0.0.1", port=port),
        HttpSettings(),
        shutdown=trio.Event(),
        drain_s=0.0,
        task_status=task_status,
    )
