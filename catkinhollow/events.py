"""Deliver events between the parts of a daemon."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from attrs import frozen

if TYPE_CHECKING:
    from catkinhollow.generated.fleet import Snapshot
    from catkinhollow.generated.messages import (
        EvidenceReport,
        Quarantine,
        TargetRecord,
    )

EventT = TypeVar("EventT")


@frozen(kw_only=True)
class SnapshotEnforced:
    """Announce that the daemon enforces a new configuration version."""

    snapshot: Snapshot


@frozen(kw_only=True)
class MembersChanged:
    """Announce that the member table has changed."""


@frozen(kw_only=True)
class TargetChanged:
    """Announce that the target beside the daemon is new or has changed."""

    record: TargetRecord


@frozen(kw_only=True)
class VersionQuarantined:
    """Announce that a target version gets no more traffic."""

    quarantine: Quarantine


@frozen(kw_only=True)
class FloorRaised:
    """Announce the lowest revision that the daemon may enforce."""

    revision: int


@frozen(kw_only=True)
class MeshJoined:
    """Announce that a peer has sent its member table."""


@frozen(kw_only=True)
class MeshReady:
    """Announce that the daemon may serve calls."""


@frozen(kw_only=True)
class EvidenceReported:
    """Announce outcome counts that a peer has sent."""

    sender: str
    report: EvidenceReport


class EventManager:
    """Connect listeners to event classes and call them in order."""

    def __init__(self) -> None:
        self._listeners: dict[type, list[Callable[[Any], None]]] = defaultdict(list)

    def connect(
        self, event_class: type[EventT], listener: Callable[[EventT], None]
    ) -> None:
        """Call the listener for each later event of the class."""
        self._listeners[event_class].append(listener)

    def emit(self, event: object) -> None:
        """Call every listener of the event's class."""
        for listener in self._listeners[type(event)]:
            listener(event)
