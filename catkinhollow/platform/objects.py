"""Convert between the platform's stored objects and the project's types."""

from typing import Any

from expression import Error, Ok, Result

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import (
    DaemonRecord,
    DecidedWindows,
    MoveOrder,
    MoveProgress,
    OrderState,
    RelayConfiguration,
    UsageLease,
)
from catkinhollow.generated.store import StoredObject
from catkinhollow.platform.generated import (
    PlatformObject,
    RolloutSpec,
    RolloutState,
    RolloutStatus,
)
from catkinhollow.relay.documents.kinds import (
    CONFIGURATION,
    CONFIGURATION_NAME,
    DAEMONS,
    EVACUATIONS,
    LEASES,
    ORDERS,
    USAGE_LEASE_NAME,
    USAGE_WINDOWS_NAME,
)

# Maps the project's kinds to the store's names for them.
STORE_KINDS = {
    CONFIGURATION: "config",
    ORDERS: "rollouts",
    EVACUATIONS: "evacuations",
    DAEMONS: "catkinhollow-daemons",
    LEASES: "catkinhollow-leases",
}
# Kinds whose objects belong to operators; the system writes only the status.
STATUS_KINDS = {ORDERS}

_ORDER_STATES = {
    RolloutState.IN_PROGRESS: OrderState.RUNNING,
    RolloutState.COMPLETED: OrderState.DONE,
    RolloutState.REVERTED: OrderState.WITHDRAWN,
}
_ROLLOUT_STATES = {order: rollout for rollout, order in _ORDER_STATES.items()}


def decode_object(stored: StoredObject) -> Result[Any, DecodeError]:
    """Return the typed value of a stored object that is not deleted."""
    # PlatformStore puts the whole platform object into the value.
    item: PlatformObject = stored.value
    match stored.kind:
        case "configuration" if stored.name == CONFIGURATION_NAME:
            return from_plain(item.spec, RelayConfiguration)
        case "orders":
            return _decode_order(item)
        case "daemons":
            return from_plain(item.spec, DaemonRecord)
        case "evacuations":
            return Ok(stored.name)
        case "leases" if stored.name == USAGE_LEASE_NAME:
            return from_plain(item.spec, UsageLease)
        case "leases" if stored.name == USAGE_WINDOWS_NAME:
            return from_plain(item.spec, DecidedWindows)
        case _:
            return Error(DecodeError(reason=f"no such object: {stored.name}"))


def encode_status(progress: Any) -> Any:
    """Convert the progress of an order to the platform's status.

    Raises ValueError if the progress cannot be decoded.
    """
    decoded = from_plain(progress, MoveProgress)
    if decoded.is_error():
        raise ValueError(decoded.error.reason)
    value = decoded.ok
    return to_plain(
        RolloutStatus(
            state=_ROLLOUT_STATES[value.state],
            target_version=value.version,
            percent=value.percent,
            order=value.order,
        )
    )


def _decode_order(item: PlatformObject) -> Result[Any, DecodeError]:
    spec = from_plain(item.spec, RolloutSpec)
    if spec.is_error():
        return Error(spec.error)
    progress: MoveProgress | None = None
    if item.status:
        status = from_plain(item.status, RolloutStatus)
        if status.is_ok():
            progress = MoveProgress(
                version=status.ok.target_version,
                state=_ORDER_STATES[status.ok.state],
                percent=status.ok.percent,
                order=status.ok.order,
            )
    return Ok(
        MoveOrder(
            service=spec.ok.service,
            version=spec.ok.target_version,
            duration_s=spec.ok.duration_s,
            order=item.metadata.created_rev,
            progress=progress,
        )
    )
