"""Choose the tracer that the settings ask for."""

from random import Random

from catkinhollow.daemon.tracing import PropagatingTracer, Tracer
from catkinhollow.generated.settings import Output, TracingSettings


def make_tracer(settings: TracingSettings, instance: str, random: Random) -> Tracer:
    """Return the tracer that the settings ask for."""
    if settings.output is Output.NONE:
        return PropagatingTracer(random)
    # opentelemetry takes over 2 MB, so only a daemon that records loads it.
    from catkinhollow.daemon.span_recorder import RecordingTracer

    return RecordingTracer(settings, instance)
