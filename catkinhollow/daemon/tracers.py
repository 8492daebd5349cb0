"""Create the tracer for the configured trace output."""

from random import Random

from catkinhollow.daemon.tracing import PropagatingTracer, Tracer
from catkinhollow.generated.settings import Output, TracingSettings


def make_tracer(settings: TracingSettings, instance: str, random: Random) -> Tracer:
    """Return the tracer for the configured trace output."""
    if settings.output is Output.NONE:
        return PropagatingTracer(random)
    # Importing opentelemetry takes over 2 MB of memory, so only a daemon that
    # records spans does it.
    from catkinhollow.daemon.span_recorder import RecordingTracer

    return RecordingTracer(settings, instance)
