"""Record sampled hops as OpenTelemetry spans."""

from collections.abc import Callable
from contextlib import AbstractContextManager
from sys import stderr
from typing import Any

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

from catkinhollow.calls.exchange import TRACE_HEADER, Request
from catkinhollow.daemon.tracing import (
    SAMPLED_FLAG,
    HopSpan,
    TraceParent,
    parse_traceparent,
)
from catkinhollow.generated.settings import TracingSettings


class _RecordedSpan:
    """Record the hop of a call as an OpenTelemetry span."""

    def __init__(self, span: Span, start_child: Callable[[Span, str], Any]) -> None:
        self._span = span
        self._start_child = start_child
        self._current = span

    @property
    def traceparent(self) -> bytes:
        """Return the traceparent header that makes the target's span a child.

        The parent is the current attempt, or the hop outside of attempts.
        """
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

    def begin_attempt(self, child: Span) -> None:
        """Make a child span the parent of the target's spans."""
        self._current = child

    def end_attempt(self) -> None:
        """Make the span of the hop the current one again."""
        self._current = self._span


class _AttemptSpan(AbstractContextManager[None]):
    """Keep a child span open for the duration of an attempt."""

    def __init__(self, hop: _RecordedSpan, child: Span) -> None:
        self._hop = hop
        self._child = child

    def __enter__(self) -> None:
        self._hop.begin_attempt(self._child)

    def __exit__(self, *_: object) -> None:
        self._child.end()
        self._hop.end_attempt()


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


def _parent_context(parent: TraceParent | None) -> Any:
    if parent is None:
        return None
    flags = TraceFlags(SAMPLED_FLAG if parent.sampled else 0)
    context = SpanContext(parent.trace_id, parent.span_id, True, flags)
    return set_span_in_context(NonRecordingSpan(context))


def _format_span(span: ReadableSpan) -> str:
    """Return the span as one JSON line."""
    return f"{span.to_json(indent=None)}\n"
