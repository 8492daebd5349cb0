"""Call an ASGI application in memory through the interface of httpcore."""

import trio
from httpcore import AsyncConnectionPool, RemoteProtocolError, Request, Response

from catkinhollow.configuration.http_store import SENDING_EVENT


class AsgiPool(AsyncConnectionPool):
    """Run each request in a task that continues if its caller is cancelled."""

    def __init__(self, app, nursery):
        super().__init__()
        self._app = app
        self._nursery = nursery

    async def handle_async_request(self, request: Request) -> Response:
        if "trace" in request.extensions:
            await request.extensions["trace"](SENDING_EVENT, {})
        body = b"".join([chunk async for chunk in request.stream])
        path, _, query = request.url.target.partition(b"?")
        scope = {
            "type": "http",
            "method": request.method.decode(),
            "raw_path": path,
            "query_string": query,
            "headers": [(name.lower(), value) for name, value in request.headers],
        }
        to_app, receive_channel = trio.open_memory_channel(2)
        to_app.send_nowait({"type": "http.request", "body": body})
        from_app, replies = trio.open_memory_channel(10)
        self._nursery.start_soon(self._run, scope, receive_channel, from_app)
        try:
            return await _collect(replies)
        finally:
            to_app.send_nowait({"type": "http.disconnect"})

    async def _run(self, scope, receive_channel, from_app):
        async with from_app:
            await self._app(scope, receive_channel.receive, from_app.send)


async def _collect(replies) -> Response:
    messages = [message async for message in replies]
    if not messages or messages[-1].get("more_body", False):
        raise RemoteProtocolError("the connection was cut")
    body = b"".join(message["body"] for message in messages[1:])
    head = messages[0]
    return Response(head["status"], headers=head["headers"], content=body)
