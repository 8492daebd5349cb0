"""Accept calls over HTTP and answer them."""

from typing import Any, Protocol
from uuid import uuid4

from catkinhollow.egress import end_to_end
from catkinhollow.exchange import (
    REQUEST_ID_HEADER,
    Request,
    Response,
    not_run_response,
    with_header,
)


class CallHandler(Protocol):
    """Answer a call."""

    async def dispatch(self, request: Request) -> Response:
        """Return the whole answer to the request."""


class TrafficApplication:
    """Serve calls as an ASGI application."""

    def __init__(self, handler: CallHandler, max_body_bytes: int) -> None:
        self._handler = handler
        self._max_body_bytes = max_body_bytes

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one connection scope."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, self._max_body_bytes)
        if body is None:
            reason = f"request body is larger than {self._max_body_bytes} bytes"
            await send_response(send, not_run_response(reason, status=413))
            return
        request = _to_request(scope, body)
        response = await self._handler.dispatch(request)
        request_id = request.header(REQUEST_ID_HEADER) or b""
        headers = with_header(response.headers, REQUEST_ID_HEADER, request_id)
        await send_response(
            send, Response(status=response.status, headers=headers, body=response.body)
        )


def _to_request(scope: Any, body: bytes) -> Request:
    headers = end_to_end(list(scope["headers"]))
    request = Request(
        method=scope["method"],
        path=scope["raw_path"].decode("ascii"),
        query=scope["query_string"],
        headers=headers,
        body=body,
    )
    if request.header(REQUEST_ID_HEADER) is None:
        request.headers.append((REQUEST_ID_HEADER, uuid4().hex.encode()))
    return request


async def answer_lifespan(receive: Any, send: Any) -> None:
    """Answer the start and the end of the server.

    An application that returns early here brings the server down.
    """
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Any, limit: int) -> bytes | None:
    """Return the whole request body, or nothing if it is over the limit."""
    message = await receive()
    if not message.get("more_body", False):
        body: bytes = message.get("body", b"")
        return body if len(body) <= limit else None
    parts = bytearray(message["body"])
    while message.get("more_body", False):
        message = await receive()
        parts += message.get("body", b"")
        if len(parts) > limit:
            return None
    return bytes(parts)


async def send_response(send: Any, response: Response) -> None:
    """Send a whole response."""
    length = (b"content-length", str(len(response.body)).encode())
    await send(
        {
            "type": "http.response.start",
            "status": response.status,
            "headers": [*response.headers, length],
        }
    )
    await send({"type": "http.response.body", "body": response.body})
