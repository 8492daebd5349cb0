"""Keep connections open until their callers have read the last responses."""

from collections.abc import Callable
from typing import Protocol, runtime_checkable

import trio
from attrs import define, field

from catkinhollow.calls.closing_plan import ClosingPlan
from catkinhollow.calls.socket_stream import NETWORK_ERRORS
from catkinhollow.logs import get_logger

logger = get_logger(__name__)

READ_BYTES = 65536
# Bounds the descriptors that callers which never close can hold. The one that
# has waited longest is closed for the next.
MAX_CLOSING = 512


@runtime_checkable
class AcknowledgedStream(Protocol):
    """Tell what the peer of a connection has received."""

    def unacknowledged_bytes(self) -> int:
        """Return how much the peer has not acknowledged; raise OSError."""


@define(eq=False)
class _Closing:
    """Represent a connection that is being closed."""

    stream: trio.abc.HalfCloseableStream
    plan: ClosingPlan
    scope: trio.CancelScope = field(factory=trio.CancelScope)


class ClosingConnections:
    """Close connections once their callers have read everything."""

    def __init__(
        self,
        on_unread: Callable[[], None] = lambda: None,
        max_closing: int = MAX_CLOSING,
    ) -> None:
        self._on_unread = on_unread
        self._max_closing = max_closing
        # Ordered by the time since which each has been closing.
        self._open: dict[_Closing, None] = {}

    def __len__(self) -> int:
        return len(self._open)

    async def close(
        self,
        stream: trio.abc.HalfCloseableStream,
        *,
        stall_s: float,
        max_input_bytes: int,
        awaits_caller: bool,
    ) -> None:
        """Close the sending side, and return when nothing is left to wait for.

        What the caller still sends is dropped; the stream itself stays open.
        """
        plan = ClosingPlan(
            begun_s=trio.current_time(),
            stall_s=stall_s,
            max_input_bytes=max_input_bytes,
            awaits_caller=awaits_caller,
        )
        closing = _Closing(stream, plan)
        self._open[closing] = None
        if len(self._open) > self._max_closing:
            next(iter(self._open)).scope.cancel()
        caller_closed = False
        try:
            with closing.scope:
                await stream.send_eof()
                caller_closed = await _wait_for_caller(closing)
        except NETWORK_ERRORS as error:
            caller_closed = True
            logger.debug("connection lost", reason=str(error))
        finally:
            del self._open[closing]
            if not caller_closed:
                self._report_unread(plan)

    def _report_unread(self, plan: ClosingPlan) -> None:
        if plan.unacknowledged:
            waited_ms = int((trio.current_time() - plan.begun_s) * 1000)
            logger.info(
                "connection closed unread",
                unacknowledged_bytes=plan.unacknowledged,
                waited_ms=waited_ms,
            )
            self._on_unread()


async def _wait_for_caller(closing: _Closing) -> bool:
    """Return whether the caller has closed its end, else when to give up."""
    stream, plan = closing.stream, closing.plan
    while True:
        plan.on_check(trio.current_time(), _unacknowledged_bytes(stream))
        wait_s = plan.wait_s(trio.current_time())
        if not wait_s:
            return False
        with trio.move_on_after(wait_s):
            data = await stream.receive_some(READ_BYTES)
            if not data:
                return True
            plan.on_input(len(data))


def _unacknowledged_bytes(stream: trio.abc.HalfCloseableStream) -> int | None:
    """Return how much the caller has not acknowledged, None if unknown."""
    if not isinstance(stream, AcknowledgedStream):
        return None
    try:
        return stream.unacknowledged_bytes()
    except OSError as error:
        logger.debug("acknowledged bytes not read", reason=str(error))
        return None
