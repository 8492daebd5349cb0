"""Serve ASGI applications over HTTP with hypercorn."""

from collections.abc import Awaitable, Callable, MutableMapping
from sys import maxsize
from time import time
from typing import Any, cast
from wsgiref.handlers import format_date_time

import trio
from expression import Error, Ok, Result
from hypercorn.config import Config, Sockets
from hypercorn.trio import serve
from hypercorn.typing import Framework

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.calls.silence import CALLER_LIMITS, limit_silence
from catkinhollow.generated.settings import Address, HttpSettings

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

# Connections that wait to be accepted; a mass restart of callers exceeds
# hypercorn's default of 100.
BACKLOG = 1024
# Time for the next part of a body to arrive.
BODY_TIMEOUT_S = 15.0
DATE_HEADER = b"date"


async def serve_app(
    app: App,
    address: Address,
    http: HttpSettings,
    *,
    shutdown: trio.Event,
    drain_s: float,
    linger_s: float = 0.0,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until shutdown, then let requests finish for at most drain_s.

    The listener accepts requests for linger_s after the shutdown began.
    """

    # While lingering, the listener still responds, and each response closes
    # its connection; after that, hypercorn closes idle connections without
    # notice.
    async def trigger() -> None:
        await shutdown.wait()
        await trio.sleep(linger_s)

    await serve(
        cast(Framework, _ServedApp(app, shutdown)),
        _config(address, http, drain_s),
        shutdown_trigger=trigger,
        task_status=task_status,
        mode="asgi",
    )


async def read_request(
    scope: Scope, receive: Receive, max_body_bytes: int
) -> Result[Request, Response]:
    """Return the whole request, or the response to an invalid one."""
    chunks: list[bytes] = []
    size = 0
    more = True
    while more:
        with trio.move_on_after(BODY_TIMEOUT_S) as timeout:
            message = await receive()
        if timeout.cancelled_caught:
            return Error(plain_response(408, "the body did not arrive in time"))
        if message["type"] == "http.disconnect":
            return Error(plain_response(400, "the request body is incomplete"))
        size += len(message.get("body", b""))
        # An oversized body is read to its end, because hypercorn stops reading
        # the connection while the application leaves body parts queued.
        if size <= max_body_bytes:
            chunks.append(message.get("body", b""))
        more = message.get("more_body", False)
    if size > max_body_bytes:
        return Error(plain_response(413, f"the body exceeds {max_body_bytes} bytes"))
    return Ok(
        Request(
            method=scope["method"],
            path=scope["raw_path"].decode("ascii"),
            query=scope["query_string"],
            headers=[(bytes(name), bytes(value)) for name, value in scope["headers"]],
            body=b"".join(chunks),
        )
    )


async def send_response(send: Send, response: Response) -> None:
    """Send a whole response with its length, and a date if it has none."""
    length = (b"content-length", str(len(response.body)).encode())
    headers = [*response.headers, length]
    if response.header(DATE_HEADER) is None:
        headers.append((DATE_HEADER, format_date_time(time()).encode()))
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": headers,
        }
    )
    await send({"type": "http.response.body", "body": response.body})


async def wait_disconnect(receive: Receive) -> None:
    """Wait until the client has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass


class _ServedApp:
    """Wrap an application with lifespan and connection handling."""

    def __init__(self, app: App, shutdown: trio.Event) -> None:
        self._app = app
        self._shutdown = shutdown

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._app(scope, receive, self._closing_send(send))
        else:
            await send({"type": "websocket.close"})

    def _closing_send(self, send: Send) -> Send:
        # During shutdown, hypercorn closes the connection after a response
        # without announcing it; a client that reuses it would lose a request.
        async def closing_send(message: Message) -> None:
            if message["type"] == "http.response.start" and self._shutdown.is_set():
                headers = [*message["headers"], (b"connection", b"close")]
                message = {**message, "headers": headers}
            await send(message)

        return closing_send


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    # Returning before the shutdown message makes hypercorn close its channel
    # while it still sends to it, which stops the server with an error.
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


class _SilenceConfig(Config):
    """Let the kernel end connections of callers that have gone silent.

    hypercorn shields its writes from cancellation, so that it cannot time out.
    """

    def create_sockets(self) -> Sockets:
        sockets = super().create_sockets()
        # Accepted connections inherit the options of their listener.
        for sock in sockets.insecure_sockets:
            limit_silence(sock, CALLER_LIMITS)
        return sockets


def _config(address: Address, http: HttpSettings, drain_s: float) -> Config:
    config = _SilenceConfig()
    config.bind = [f"{address.host}:{address.port}"]
    config.backlog = BACKLOG
    config.accesslog = None
    config.loglevel = "WARNING"
    config.include_server_header = False
    # hypercorn would add a second date to the response of a target.
    config.include_date_header = False
    config.keep_alive_timeout = http.keep_alive_s
    config.keep_alive_max_requests = maxsize
    config.h11_max_incomplete_size = http.max_header_bytes
    config.graceful_timeout = drain_s
    return config
