"""Generated from schema.yaml; do not edit."""

from enum import StrEnum
from typing import Annotated, Any, TypeAlias

from attrs import frozen
from msgspec import Meta, Raw

PlatformSchema: TypeAlias = Annotated[Any, Meta(title="PlatformSchema")]


@frozen(kw_only=True)
class ObjectMetadata:
    """Describe the metadata that the store keeps of one object."""

    name: str
    revision: Annotated[
        int,
        Meta(
            description="Store-wide revision of the object's last change.",
            ge=0,
            le=9007199254740991,
        ),
    ]
    created_rev: Annotated[
        int,
        Meta(
            description="Store-wide revision of the object's creation.",
            ge=0,
            le=9007199254740991,
        ),
    ] = 0
    deletion_requested: bool = False


@frozen(kw_only=True)
class PlatformObject:
    """Represent one object in the format of the store."""

    metadata: ObjectMetadata
    spec: (
        Annotated[Any, Meta(description="Written by the creator of the object.")] | None
    ) = None
    status: (
        Annotated[
            Any,
            Meta(
                description="Written by this system for objects that an operator created."
            ),
        ]
        | None
    ) = None


@frozen(kw_only=True)
class ObjectPage:
    """Represent one page of a listing."""

    items: Annotated[
        list[Raw],
        Meta(
            description="Objects that are decoded one by one, because any of them may be malformed."
        ),
    ]
    at_rev: Annotated[int, Meta(description="Revision of the store.", ge=0)]
    has_more: bool = False


@frozen(kw_only=True)
class ObjectEvent:
    """Represent one change of an object."""

    object: PlatformObject
    deleted: bool = False


@frozen(kw_only=True)
class EventPage:
    """Represent the changes after a revision."""

    events: Annotated[
        list[Raw], Meta(description="Changes that are decoded one by one.")
    ]
    at_rev: Annotated[int, Meta(description="Revision from which to watch next.", ge=0)]


@frozen(kw_only=True)
class RolloutSpec:
    """Describe an operator's order to move a service to a target version."""

    service: str
    target_version: str
    duration_s: Annotated[float, Meta(gt=0.0)]


class RolloutState(StrEnum):
    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


@frozen(kw_only=True)
class RolloutStatus:
    """Describe the progress of a rollout for the operator."""

    state: RolloutState
    target_version: str
    percent: Annotated[
        float,
        Meta(
            description="Added by catkinhollow; share of requests that go to the target version."
        ),
    ] = 0.0
    order: Annotated[
        int,
        Meta(
            description="Added by catkinhollow; revision at which the order was created."
        ),
    ] = 0


class AnnouncedState(StrEnum):
    READY = "ready"
    DRAINING = "draining"


@frozen(kw_only=True)
class TargetAnnouncement:
    """Report the status of the target on the instance."""

    service: str
    address: str
    failure_domain: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=65535)]
    state: AnnouncedState
    cold_remaining_ms: Annotated[float, Meta(ge=0.0, le=3600000.0)]
    seq: Annotated[
        int,
        Meta(
            description="Increasing sequence number of the announcements since the target's start.",
            ge=0,
            le=9007199254740991,
        ),
    ]
    born: Annotated[
        int,
        Meta(
            description="Unix time of the target's start in milliseconds.",
            ge=0,
            le=9007199254740991,
        ),
    ]


Born: TypeAlias = Annotated[int, Meta(ge=0, le=9007199254740991)]


@frozen(kw_only=True)
class TargetDeparture:
    """Represent the message of a target that is about to end."""

    born: Born | None = None
