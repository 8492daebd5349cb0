"""Propagate the W3C trace context and record a span for each hop."""

from contextlib import AbstractContextManager, nullcontext
from random import Random
from typing import Protocol

from attrs import frozen

from catkinhollow.calls.exchange import TRACE_HEADER, Request

TRACE_ID_DIGITS = 32
SPAN_ID_DIGITS = 16
SAMPLED_FLAG = 1


@frozen(kw_only=True)
class TraceParent:
    """Represent the W3C trace context of a request."""

    trace_id: int
    span_id: int
    sampled: bool

    def encode(self) -> bytes:
        """Return the value of the traceparent header."""
        flags = SAMPLED_FLAG if self.sampled else 0
        return f"00-{self.trace_id:032x}-{self.span_id:016x}-{flags:02x}".encode()


def parse_traceparent(value: bytes | None) -> TraceParent | None:
    """Return the context of a traceparent header, None if malformed."""
    parts = (value or b"").split(b"-")
    if len(parts) < 4 or len(parts[1]) != TRACE_ID_DIGITS:
        return None
    if len(parts[2]) != SPAN_ID_DIGITS:
        return None
    try:
        trace_id, span_id, flags = (int(part, 16) for part in parts[1:4])
    except ValueError:
        return None
    if not trace_id or not span_id:
        return None
    sampled = bool(flags & SAMPLED_FLAG)
    return TraceParent(trace_id=trace_id, span_id=span_id, sampled=sampled)


class HopSpan(Protocol):
    """Record one hop of a call."""

    @property
    def traceparent(self) -> bytes:
        """Return the traceparent header value for the target."""

    def set(self, key: str, value: str | int | float) -> None:
        """Set an attribute of the span."""

    def attempt(self, address: str) -> AbstractContextManager[None]:
        """Record one attempt at a target as a child span."""

    def end(self) -> None:
        """End the span."""


class Tracer(Protocol):
    """Start the span of a hop."""

    def start(self, request: Request, route: str) -> HopSpan:
        """Start a span that continues the request's trace."""


class _PropagatedSpan:
    """Propagate a trace context without recording a span."""

    def __init__(self, traceparent: bytes) -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> bytes:
        """Return the traceparent header value for the target."""
        return self._traceparent

    def set(self, key: str, value: str | int | float) -> None:
        """Ignore the attribute."""

    def attempt(self, address: str) -> AbstractContextManager[None]:
        """Record nothing."""
        return nullcontext()

    def end(self) -> None:
        """Record nothing."""


class PropagatingTracer:
    """Propagate trace contexts; create one for requests without any."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def start(self, request: Request, route: str) -> HopSpan:
        """Return a span that records nothing."""
        value = request.header(TRACE_HEADER)
        if value is not None:
            return _PropagatedSpan(value)
        parent = TraceParent(
            trace_id=self._random.getrandbits(128) or 1,
            span_id=self._random.getrandbits(64) or 1,
            sampled=False,
        )
        return _PropagatedSpan(parent.encode())
