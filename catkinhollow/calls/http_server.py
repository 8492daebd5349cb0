"""Serve ASGI applications over HTTP with hypercorn."""

from collections.abc import Awaitable, Callable, MutableMapping
from functools import partial
from sys import maxsize
from time import time
from typing import Any, cast
from wsgiref.handlers import format_date_time

import trio
from expression import Error, Ok, Result
from hypercorn.config import Config, Sockets
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState, Framework
from hypercorn.utils import wrap_app

from catkinhollow.calls.exchange import Request, Response, plain_response
from catkinhollow.calls.lingering_stream import LingeringListener, LingeringStream
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
# A caller that takes nothing for this time is given up when its connection is
# closed. hypercorn shields such a close from cancellation.
STALL_S = 2.0
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

    config = _config(address, http, drain_s)
    context = WorkerContext(None)
    served = wrap_app(
        cast(Framework, _ServedApp(app, shutdown)), config.wsgi_max_body_size, "asgi"
    )
    serve_connection = partial(TCPServer, served, config, context, ConnectionState({}))
    # hypercorn's own function takes no listeners, and its connections close
    # before their callers have read the responses.
    listeners = _open_listeners(config, http)
    async with trio.open_nursery() as connections:
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                partial(
                    trio.serve_listeners,
                    cast(
                        Callable[[LingeringStream], Awaitable[None]], serve_connection
                    ),
                    listeners,
                    handler_nursery=connections,
                )
            )
            task_status.started([listener.url for listener in listeners])
            await trigger()
            accepting.cancel_scope.cancel()
        await context.terminated.set()
        connections.cancel_scope.deadline = trio.current_time() + drain_s


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
    """Wrap an application with connection handling."""

    def __init__(self, app: App, shutdown: trio.Event) -> None:
        self._app = app
        self._shutdown = shutdown

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
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


def _open_listeners(config: Config, http: HttpSettings) -> list[LingeringListener]:
    listeners = []
    for sock in config.create_sockets().insecure_sockets:
        sock.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        listeners.append(LingeringListener(listener, STALL_S, http.max_body_bytes))
    return listeners


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
