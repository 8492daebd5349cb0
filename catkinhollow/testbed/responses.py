"""Truncate a response or abandon a call as a failing server does."""

import trio

from catkinhollow.calls.exchange import Response
from catkinhollow.calls.http_server import Receive, Send, wait_disconnect


async def send_truncated(send: Send, response: Response) -> None:
    """Send the head and half of the body; the server then disconnects."""
    length = (b"content-length", str(len(response.body)).encode())
    headers = [*response.headers, length]
    await send(
        {"type": "http.response.start", "status": response.status, "headers": headers}
    )
    half = response.body[: len(response.body) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})


async def cancel_on_disconnect(receive: Receive, nursery: trio.Nursery) -> None:
    """Cancel the nursery once the client has closed the connection."""
    await wait_disconnect(receive)
    nursery.cancel_scope.cancel()
