"""Read from the daemons' logs when each enforced a version or was ready."""

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
    """Hold one line of a log."""

    time_ms: float
    event: str
    revision: Annotated[int, Meta(ge=0)] = 0


def now_ms() -> float:
    """Return the Unix time in milliseconds."""
    return time_ns() / 1e6


def read_events(path: Path) -> list[LogEvent]:
    """Return the events of a log that are measured, oldest first."""
    events = []
    for line in path.read_bytes().splitlines():
        try:
            event = json.decode(line, type=LogEvent)
        except DecodeError:
            # Output of a process that failed is no event.
            continue
        if event.event in (ENFORCED, READY, QUARANTINED):
            events.append(event)
    return events


def enforced_ms(
    events: Sequence[LogEvent], revision: int, since_ms: float = 0.0
) -> float | None:
    """Return when a revision or a later one was first in force."""
    for event in events:
        in_time = event.time_ms >= since_ms
        if event.event == ENFORCED and event.revision >= revision and in_time:
            return event.time_ms
    return None


def ready_ms(events: Sequence[LogEvent], since_ms: float) -> float | None:
    """Return when a daemon was first ready after a moment."""
    for event in events:
        if event.event == READY and event.time_ms >= since_ms:
            return event.time_ms
    return None
