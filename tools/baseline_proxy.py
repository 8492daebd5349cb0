"""Forward requests with hypercorn and httpcore alone, as a baseline."""

import sys
from typing import Any

import trio
from httpcore import (
    URL,
    AsyncHTTP11Connection,
    Origin,
    Request,
    TrioBackend,
)
from hypercorn.config import Config
from hypercorn.trio import serve

HOST = "127.0.0.1"


class BaselineProxy:
    """Forward each request to one target as an ASGI application."""

    def __init__(self, target_port: int) -> None:
        self._port = target_port
        self._idle: list[AsyncHTTP11Connection] = []

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Forward one request."""
        if scope["type"] == "lifespan":
            while True:
                message = await receive()
                await send({"type": f"{message['type']}.complete"})
        body = await _read_body(receive)
        target = scope["raw_path"]
        url = URL(scheme=b"http", host=HOST.encode(), port=self._port, target=target)
        request = Request(scope["method"], url, headers=scope["headers"], content=body)
        connection = self._idle.pop() if self._idle else await self._open()
        response = await connection.handle_async_request(request)
        content = await response.aread()
        await response.aclose()
        self._idle.append(connection)
        start = {
            "type": "http.response.start",
            "status": response.status,
            "headers": response.headers,
        }
        await send(start)
        await send({"type": "http.response.body", "body": content})

    async def _open(self) -> AsyncHTTP11Connection:
        stream = await TrioBackend().connect_tcp(HOST, self._port)
        return AsyncHTTP11Connection(Origin(b"http", HOST.encode(), self._port), stream)


async def _read_body(receive: Any) -> bytes:
    parts, more = [], True
    while more:
        message = await receive()
        parts.append(message.get("body", b""))
        more = message.get("more_body", False)
    return b"".join(parts)


if __name__ == "__main__":
    config = Config()
    config.bind = [f"{HOST}:{sys.argv[1]}"]
    config.accesslog = None
    config.keep_alive_max_requests = sys.maxsize
    trio.run(serve, BaselineProxy(int(sys.argv[2])), config)
