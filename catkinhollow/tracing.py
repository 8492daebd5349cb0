"""Pass the W3C trace context on and record a span for each hop."""

from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext
from random import Random
from sys import stderr
from typing import Any, Protocol

from attrs import frozen
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import ConsoleSpanExporter, SimpleSpanProcessor
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import (
    NonRecordingSpan,
    Span,
    SpanContext,
    SpanKind,
    TraceFlags,
    set_span_in_context,
)

from catkinhollow.exchange import TRACE_HEADER, Request
from catkinhollow.generated.settings import Output, TracingSettings

TRACE_ID_DIGITS = 32
SPAN_ID_DIGITS = 16
SAMPLED_FLAG = 1


@frozen(kw_only=True)
class TraceParent:
    """Hold the trace context of a request."""

    trace_id: int
    span_id: int
    sampled: bool

    def encode(self) -> bytes:
        """Return the value of the traceparent header."""
        flags = SAMPLED_FLAG if self.sampled else 0
        return f"00-{self.trace_id:032x}-{self.span_id:016x}-{flags:02x}".encode()


def parse_traceparent(value: bytes | None) -> TraceParent | None:
    """Return the context of a traceparent header, if it is well formed."""
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
        """Return the header value to pass on."""

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


class _PassedSpan:
    """Pass a trace context on without recording."""

    def __init__(self, traceparent: bytes) -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> bytes:
        """Return the header value to pass on."""
        return self._traceparent

    def set(self, key: str, value: str | int | float) -> None:
        """Drop the attribute."""

    def attempt(self, address: str) -> AbstractContextManager[None]:
        """Record nothing."""
        return nullcontext()

    def end(self) -> None:
        """Record nothing."""


class PassingTracer:
    """Pass trace contexts on, and make one where there is none."""

    def __init__(self, random: Random) -> None:
        self._random = random

    def start(self, request: Request, route: str) -> HopSpan:
        """Return a span that records nothing."""
        value = request.header(TRACE_HEADER)
        if value is not None:
            return _PassedSpan(value)
        parent = TraceParent(
            trace_id=self._random.getrandbits(128) or 1,
            span_id=self._random.getrandbits(64) or 1,
            sampled=False,
        )
        return _PassedSpan(parent.encode())


class _RecordedSpan:
    """Record one hop as an OpenTelemetry span."""

    def __init__(self, span: Span, start_child: Callable[[Span, str], Any]) -> None:
        self._span = span
        self._start_child = start_child
        self._current = span

    @property
    def traceparent(self) -> bytes:
        """Return the header value that makes the target's span a child."""
        context = self._current.get_span_context()
        sampled = context.trace_flags.sampled
        return TraceParent(
            trace_id=context.trace_id, span_id=context.span_id, sampled=sampled
        ).encode()

    def set(self, key: str, value: str | int | float) -> None:
        """Set an attribute of the span."""
        self._span.set_attribute(key, value)

    def attempt(self, address: str) -> AbstractContextManager[None]:
        """Record one attempt at a target as a child span."""
        return _AttemptSpan(self, self._start_child(self._span, address))

    def end(self) -> None:
        """End the span."""
        self._span.end()

    def enter(self, child: Span) -> None:
        """Make a child the parent of what the target records."""
        self._current = child

    def leave(self) -> None:
        """Make the hop's own span the current one again."""
        self._current = self._span


class _AttemptSpan(AbstractContextManager[None]):
    """Keep a child span open during an attempt."""

    def __init__(self, hop: _RecordedSpan, child: Span) -> None:
        self._hop = hop
        self._child = child

    def __enter__(self) -> None:
        self._hop.enter(self._child)

    def __exit__(self, *_: object) -> None:
        self._child.end()
        self._hop.leave()


class RecordingTracer:
    """Record sampled hops and write each span as one JSON line."""

    def __init__(self, settings: TracingSettings, instance: str) -> None:
        resource = Resource({"service.name": "catkinhollow", "host.name": instance})
        sampler = ParentBased(TraceIdRatioBased(settings.sample_ratio))
        provider = TracerProvider(
            sampler=sampler, resource=resource, shutdown_on_exit=False
        )
        exporter = ConsoleSpanExporter(out=stderr, formatter=_format_span)
        provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = provider.get_tracer("catkinhollow")

    def start(self, request: Request, route: str) -> HopSpan:
        """Start a span that continues the request's trace."""
        parent = parse_traceparent(request.header(TRACE_HEADER))
        span = self._tracer.start_span(
            f"{request.method} {route}",
            context=_parent_context(parent),
            kind=SpanKind.SERVER,
        )
        return _RecordedSpan(span, self._start_child)

    def _start_child(self, parent: Span, address: str) -> Span:
        return self._tracer.start_span(
            "attempt",
            context=set_span_in_context(parent),
            kind=SpanKind.CLIENT,
            attributes={"server.address": address},
        )


def make_tracer(settings: TracingSettings, instance: str, random: Random) -> Tracer:
    """Return the tracer that the settings ask for."""
    if settings.output is Output.NONE:
        return PassingTracer(random)
    return RecordingTracer(settings, instance)


def _parent_context(parent: TraceParent | None) -> Any:
    if parent is None:
        return None
    flags = TraceFlags(SAMPLED_FLAG if parent.sampled else 0)
    context = SpanContext(parent.trace_id, parent.span_id, True, flags)
    return set_span_in_context(NonRecordingSpan(context))


def _format_span(span: ReadableSpan) -> str:
    """Return the span as one JSON line."""
    return f"{span.to_json(indent=None)}\n"
