"""Generated from schema.yaml; do not edit."""

from enum import StrEnum
from typing import Annotated, Any, TypeAlias

from attrs import frozen
from msgspec import Meta

PlatformSchema: TypeAlias = Annotated[Any, Meta(title="PlatformSchema")]


@frozen(kw_only=True)
class ObjectMetadata:
    """Hold what the store keeps about one object."""

    name: str
    revision: Annotated[
        int, Meta(description="Store-wide counter at the object's last change.", ge=0)
    ]
    created_rev: Annotated[
        int, Meta(description="The same counter at its creation.", ge=0)
    ] = 0
    deletion_requested: bool = False


@frozen(kw_only=True)
class PlatformObject:
    """Hold one object as the store sends it."""

    metadata: ObjectMetadata
    spec: (
        Annotated[Any, Meta(description="Written by whoever created the object.")]
        | None
    ) = None
    status: (
        Annotated[
            Any, Meta(description="Written by the system for objects of the operator.")
        ]
        | None
    ) = None


@frozen(kw_only=True)
class ObjectPage:
    """Hold one part of a listing."""

    items: list[PlatformObject]
    at_rev: Annotated[int, Meta(description="Revision of the store.", ge=0)]
    has_more: bool = False


@frozen(kw_only=True)
class ObjectEvent:
    """Hold one change of an object."""

    object: PlatformObject
    deleted: bool = False


@frozen(kw_only=True)
class EventPage:
    """Hold the changes after a revision."""

    events: list[ObjectEvent]
    at_rev: Annotated[int, Meta(description="Revision to watch from next.", ge=0)]


@frozen(kw_only=True)
class RolloutSpec:
    """Hold the operator's order to move a service."""

    service: str
    target_version: str
    duration_s: Annotated[float, Meta(gt=0.0)]


class RolloutState(StrEnum):
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


@frozen(kw_only=True)
class RolloutStatus:
    """Hold the progress of a rollout as the operator reads it."""

    state: RolloutState
    target_version: str
    percent: Annotated[
        float, Meta(description="Ours; the share of requests that go to the version.")
    ] = 0.0
    order: Annotated[
        int, Meta(description="Ours; the revision at which the order was created.")
    ] = 0


class TargetStateWord(StrEnum):
    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class TargetNews:
    """Hold a status report of the target on the instance."""

    service: str
    address: str
    failure_domain: str
    version: str
    slots: Annotated[int, Meta(ge=1)]
    state: TargetStateWord
    cold_remaining_ms: Annotated[float, Meta(ge=0.0)]
    seq: Annotated[int, Meta(description="Grows with each report of one start.", ge=0)]
    born: Annotated[
        int, Meta(description="Unix time of the target's start in milliseconds.", ge=0)
    ]


Born: TypeAlias = Annotated[int, Meta(ge=0)]


@frozen(kw_only=True)
class TargetFarewell:
    """Hold what a target says when it leaves."""

    born: Born | None = None
