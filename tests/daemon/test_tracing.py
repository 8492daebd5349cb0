"""Tests of trace context propagation and of the spans of a hop."""

import json
from random import Random

import pytest

from catkinhollow.calls.exchange import TRACE_HEADER, Request
from catkinhollow.daemon.tracers import make_tracer
from catkinhollow.daemon.tracing import parse_traceparent
from catkinhollow.generated.settings import Output, TracingSettings

PARENT = b"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def make_request(traceparent=None):
    headers = [] if traceparent is None else [(TRACE_HEADER, traceparent)]
    return Request(method="GET", path="/a", query=b"", headers=headers, body=b"")


@pytest.mark.parametrize(
    "value", [None, b"", b"00-1-2-3", b"00-" + b"0" * 32 + b"-" + b"0" * 16 + b"-01"]
)
def test_malformed_context_is_ignored(value):
    """Guards against a malformed header that breaks the call."""
    assert parse_traceparent(value) is None


def test_disabled_tracing_propagates_the_context():
    """Guards against a trace that ends at a daemon without tracing."""
    tracer = make_tracer(TracingSettings(), "i1", Random(1))
    assert tracer.start(make_request(PARENT), "r").traceparent == PARENT
    assert parse_traceparent(tracer.start(make_request(), "r").traceparent)


def test_attempt_is_a_child_of_the_hop(monkeypatch):
    """Guards against spans that are not part of the caller's trace."""
    lines = []
    monkeypatch.setattr(
        "catkinhollow.daemon.span_recorder.stderr",
        type("Out", (), {"write": lines.append, "flush": lambda self: None})(),
    )
    settings = TracingSettings(output=Output.STDERR)
    hop = make_tracer(settings, "i1", Random(1)).start(make_request(PARENT), "r")
    with hop.attempt("127.0.0.1:1"):
        propagated = parse_traceparent(hop.traceparent)
    hop.end()
    attempt, server = (json.loads(line) for line in lines)
    assert server["parent_id"] == "0xb7ad6b7169203331"
    assert attempt["parent_id"] == server["context"]["span_id"]
    assert f"0x{propagated.span_id:016x}" == attempt["context"]["span_id"]
