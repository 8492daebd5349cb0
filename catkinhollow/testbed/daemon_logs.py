"""Read the times of configuration and readiness events from daemon logs."""

from collections.abc import Sequence
from pathlib import Path
from time import time_ns
from typing import Annotated

from attrs import frozen
from msgspec import DecodeError, Meta, json

ENFORCED = "configuration enforced"
READY = "ready"
QUARANTINED = "version quarantined"


@frozen(kw_only=True)
class LogEvent:
    """Represent one event of a daemon's log."""

    time_ms: float
    event: str
    revision: Annotated[int, Meta(ge=0)] = 0


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time_ns() / 1e6


def read_events(path: Path) -> list[LogEvent]:
    """Return the events that the benchmarks use, oldest first."""
    events = []
    for line in path.read_bytes().splitlines():
        try:
            event = json.decode(line, type=LogEvent)
        except DecodeError:
            # A failed process writes other output too, such as a traceback.
            continue
        if event.event in (ENFORCED, READY, QUARANTINED):
            events.append(event)
    return events


def enforced_ms(
    events: Sequence[LogEvent], revision: int, since_ms: float = 0.0
) -> float | None:
    """Return when a revision or a later one was first enforced."""
    for event in events:
        in_time = event.time_ms >= since_ms
        if event.event == ENFORCED and event.revision >= revision and in_time:
            return event.time_ms
    return None


def ready_ms(events: Sequence[LogEvent], since_ms: float) -> float | None:
    """Return when a daemon was first ready from `since_ms` on."""
    for event in events:
        if event.event == READY and event.time_ms >= since_ms:
            return event.time_ms
    return None
