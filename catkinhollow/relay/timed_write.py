"""Bound the time for which a caller that reads nothing is waited for."""

import trio

from catkinhollow.calls.socket_stream import SocketStream
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

# A write of this size ends within a round trip or two over a slow link, unless
# the caller does not read.
PART_BYTES = 65536


async def send_in_time(
    stream: trio.abc.SendStream, data: bytes, part_limit_s: float
) -> None:
    """Send all bytes, with a time limit in seconds for each part of them.

    If the caller does not take a part in time, the connection is closed and
    trio.BrokenResourceError is raised.
    """
    # Most responses fit into the buffer of the connection at once.
    sent = stream.try_send(data) if isinstance(stream, SocketStream) else 0
    view = memoryview(data)
    for start in range(sent, len(data), PART_BYTES):
        with trio.move_on_after(part_limit_s) as scope:
            await stream.send_all(view[start : start + PART_BYTES])
        if scope.cancelled_caught:
            logger.info("caller does not read", unsent_bytes=len(data) - start)
            await trio.aclose_forcefully(stream)
            raise trio.BrokenResourceError(f"nothing was read for {part_limit_s} s")
