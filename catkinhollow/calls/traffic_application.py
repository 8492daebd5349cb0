"""Receive calls over HTTP and send their responses."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol
from uuid import uuid4

from catkinhollow.calls.exchange import (
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    Request,
    Response,
    request_with_headers,
    response_with_headers,
    with_header,
)
from catkinhollow.calls.http_encoding import end_to_end_headers
from catkinhollow.calls.http_server import (
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
    wait_disconnect,
)


class CallHandler(Protocol):
    """Handle a call."""

    async def dispatch(
        self, request: Request, disconnected: Callable[[], Awaitable[None]]
    ) -> Response:
        """Return the whole response, or any after a disconnect."""


class TrafficApplication:
    """Serve calls as an ASGI application."""

    def __init__(self, handler: CallHandler, max_body_bytes: int) -> None:
        self._handler = handler
        self._max_body_bytes = max_body_bytes

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        read = await read_request(scope, receive, self._max_body_bytes)
        if read.is_error():
            await send_response(send, _mark_not_run(read.error))
            return
        request = with_request_id(read.ok)
        response = await self._handler.dispatch(
            request, partial(wait_disconnect, receive)
        )
        request_id = request.header(REQUEST_ID_HEADER) or b""
        headers = with_header(response.headers, REQUEST_ID_HEADER, request_id)
        await send_response(send, response_with_headers(response, headers))


def with_request_id(request: Request) -> Request:
    """Return the request to forward, with a new id if it has none."""
    headers = end_to_end_headers(request.headers)
    if request.header(REQUEST_ID_HEADER) is None:
        headers.append((REQUEST_ID_HEADER, uuid4().hex.encode()))
    return request_with_headers(request, headers)


def _mark_not_run(response: Response) -> Response:
    headers = with_header(response.headers, NOT_RUN_HEADER, b"1")
    return response_with_headers(response, headers)
