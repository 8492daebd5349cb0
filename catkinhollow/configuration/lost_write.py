"""Determine the outcome of a store write whose response was lost."""

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.store import StoredObject

UNKNOWN_REASON = "the outcome of the write is unknown"


@frozen(kw_only=True)
class WriteIntent:
    """Identify one conditional write."""

    if_revision: int
    writer_id: str


def resolve_lost_write(
    intent: WriteIntent, current: StoredObject, *, newest_known: int = 0
) -> Result[StoredObject, StoreError] | None:
    """Return the outcome of the write, or None if it did not take effect.

    current is the object as read after the response was lost. newest_known
    is the newest revision that the store has reported. A read is stale and
    leaves the outcome unknown if its revision is lower than newest_known or
    than the revision that the write expected.
    """
    if current.writer_id == intent.writer_id:
        return Ok(current)
    if current.revision < max(newest_known, intent.if_revision):
        return Error(unknown_outcome("the read after the write was stale"))
    is_creation = intent.if_revision == 0
    if current.revision == intent.if_revision and current.deleted == is_creation:
        return None
    if is_creation and current.deleted:
        # Another writer may have deleted the object that this write created;
        # a retry would create the deleted object again.
        return Error(unknown_outcome("the object was deleted"))
    return Error(
        StoreError(
            kind=StoreErrorKind.CONFLICT,
            reason="another write changed the object after the expected revision",
            revision=current.revision,
        )
    )


def unknown_outcome(reason: str) -> StoreError:
    """Return the error of a write that may have taken effect."""
    return StoreError(
        kind=StoreErrorKind.UNAVAILABLE, reason=f"{UNKNOWN_REASON}: {reason}"
    )
