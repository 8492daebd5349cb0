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
    """Signal that the daemon enforces a new configuration version."""

    snapshot: Snapshot


@frozen(kw_only=True)
class MembersChanged:
    """Signal that the member table has changed."""


@frozen(kw_only=True)
class TargetChanged:
    """Signal that the target on the instance is new or has changed."""

    record: TargetRecord


@frozen(kw_only=True)
class VersionQuarantined:
    """Signal that a target version receives no more traffic."""

    quarantine: Quarantine


@frozen(kw_only=True)
class FloorRaised:
    """Signal that the lowest revision that may be enforced has risen."""

    revision: int


@frozen(kw_only=True)
class MeshJoined:
    """Signal that a peer has sent its member table."""


@frozen(kw_only=True)
class MeshReady:
    """Signal that the mesh allows the daemon to serve calls."""


@frozen(kw_only=True)
class EvidenceReported:
    """Signal that a peer has sent counts of call outcomes."""

    sender: str
    report: EvidenceReport


class EventManager:
    """Dispatch events to the listeners of their class, in connection order."""

    def __init__(self) -> None:
        self._listeners: dict[type, list[Callable[[Any], None]]] = defaultdict(list)

    def connect(
        self, event_class: type[EventT], listener: Callable[[EventT], None]
    ) -> None:
        """Call the listener for each future event of the class."""
        self._listeners[event_class].append(listener)

    def emit(self, event: object) -> None:
        """Call the listeners of the event's class synchronously."""
        for listener in self._listeners[type(event)]:
            listener(event)
