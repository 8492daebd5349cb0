"""Implement the objects, call counts and faults of the stand-in store."""

from collections import Counter
from typing import Any

from attrs import define, evolve
from expression import Error, Ok, Result

from catkinhollow.errors import StoreError, StoreErrorKind
from catkinhollow.generated.store import ObjectList, ObjectWrite, StoredObject
from catkinhollow.generated.testbed import (
    ResponseLoss,
    StoreCounters,
    StoreFaults,
)

# Number of tombstones (deletion records) kept for watches. A watch from before
# a discarded tombstone gets a complete listing.
DEFAULT_TOMBSTONE_LIMIT = 1000


@define
class StoreSnapshot:
    """Represent the objects and tombstones at one revision."""

    objects: dict[tuple[str, str], StoredObject]
    revision: int = 0
    # Revision of the newest discarded tombstone.
    discarded_revision: int = 0

    def copy(self) -> "StoreSnapshot":
        """Return a copy that later writes do not change."""
        return evolve(self, objects=dict(self.objects))

    def list_live(self, kind: str | None = None) -> list[StoredObject]:
        """Return the existing objects, all or those of a kind."""
        return [
            stored
            for stored in self.objects.values()
            if not stored.deleted and kind in (None, stored.kind)
        ]


class StoreState:
    """Decide the outcome of each call to the stand-in store."""

    def __init__(self, *, tombstone_limit: int = DEFAULT_TOMBSTONE_LIMIT) -> None:
        self._tombstone_limit = tombstone_limit
        self._current = StoreSnapshot({})
        self._stale: StoreSnapshot | None = None
        self._calls: Counter[str] = Counter()
        self._faults = StoreFaults()
        self._era = 0

    @property
    def era(self) -> int:
        """Return how often the store has come back from a copy."""
        return self._era

    def take_copy(self) -> StoreSnapshot:
        """Return a copy of all objects."""
        return self._current.copy()

    def restore(self, copy: StoreSnapshot) -> None:
        """Come back from a copy and forget what was written since."""
        self._era += 1
        self._current = copy.copy()
        self._stale = None

    @property
    def faults(self) -> StoreFaults:
        """Return the injected faults."""
        return self._faults

    @property
    def revision(self) -> int:
        """Return the revision of the newest write."""
        return self._current.revision

    def set_faults(self, faults: StoreFaults) -> None:
        """Set the faults to inject.

        While stale reads are on, reads return the objects from the time when
        stale reads were turned on.
        """
        self._faults = faults
        if not faults.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._current.copy()

    def count_call(self, call: str) -> None:
        """Count one call by its kind."""
        self._calls[call] += 1

    def counters(self) -> StoreCounters:
        """Return the call counts since the last reset."""
        return StoreCounters(
            calls=dict(self._calls),
            revision=self.revision,
            objects=len(self._current.list_live()),
        )

    def reset_counters(self) -> None:
        """Reset the call counts to zero."""
        self._calls.clear()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object or its tombstone."""
        return self._read_snapshot().objects.get((kind, name))

    def list_objects(self, kind: str) -> ObjectList:
        """Return all objects of a kind."""
        snapshot = self._read_snapshot()
        return ObjectList(
            revision=snapshot.revision, objects=snapshot.list_live(kind), complete=True
        )

    def changes(self, kind: str, after: int) -> ObjectList | None:
        """Return the changes after a revision, or None if there are none.

        Return a complete listing if the changes are no longer known.
        """
        snapshot = self._read_snapshot()
        # A client knows a later revision than the store if the store lost its
        # data: it gets a complete listing. A stale snapshot that is behind the
        # client catches up when the fault ends, so the watch waits.
        ahead = self._stale is None and after > snapshot.revision
        if after < snapshot.discarded_revision or ahead:
            return self.list_objects(kind)
        changed = [
            stored
            for stored in snapshot.objects.values()
            if stored.kind == kind and stored.revision > after
        ]
        if not changed:
            return None
        changed.sort(key=lambda stored: stored.revision)
        return ObjectList(revision=snapshot.revision, objects=changed)

    def no_changes(self) -> ObjectList:
        """Return the empty result of a watch whose wait time is over."""
        return ObjectList(revision=self._read_snapshot().revision)

    def put(
        self, kind: str, name: str, write: ObjectWrite, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its revision is still the given one."""
        current = self._find_object(kind, name)
        if current is None and if_revision != 0:
            return Error(_not_found())
        if current is not None and current.revision != if_revision:
            return Error(_conflict(current))
        return Ok(self._store(kind, name, write.value, write.writer_id))

    def delete(
        self, kind: str, name: str, writer_id: str, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Delete an object if its revision is still the given one."""
        current = self._find_object(kind, name)
        if current is None:
            return Error(_not_found())
        if current.revision != if_revision:
            return Error(_conflict(current))
        deleted = self._store(kind, name, None, writer_id, deleted=True)
        self._discard_oldest_tombstone()
        return Ok(deleted)

    def consume_response_loss(self) -> ResponseLoss | None:
        """Return how to lose the response to a write that took effect.

        Each call uses up one of the `lose_writes` in the faults; return None
        if none is left.
        """
        remaining = self._faults.lose_writes
        if remaining == 0:
            return None
        self._faults = evolve(self._faults, lose_writes=remaining - 1)
        return self._faults.lose_mode

    def _read_snapshot(self) -> StoreSnapshot:
        return self._stale or self._current

    def _find_object(self, kind: str, name: str) -> StoredObject | None:
        stored = self._current.objects.get((kind, name))
        return None if stored is None or stored.deleted else stored

    def _store(
        self, kind: str, name: str, value: Any, writer_id: str, *, deleted: bool = False
    ) -> StoredObject:
        self._current.revision += 1
        stored = StoredObject(
            kind=kind,
            name=name,
            revision=self._current.revision,
            value=value,
            writer_id=writer_id,
            deleted=deleted,
        )
        self._current.objects[kind, name] = stored
        return stored

    def _discard_oldest_tombstone(self) -> None:
        objects = self._current.objects
        tombstones = [stored for stored in objects.values() if stored.deleted]
        if len(tombstones) <= self._tombstone_limit:
            return
        oldest = min(tombstones, key=lambda stored: stored.revision)
        del objects[oldest.kind, oldest.name]
        self._current.discarded_revision = oldest.revision


def _not_found() -> StoreError:
    return StoreError(kind=StoreErrorKind.NOT_FOUND, reason="no such object")


def _conflict(current: StoredObject) -> StoreError:
    return StoreError(
        kind=StoreErrorKind.CONFLICT,
        reason=f"the revision is {current.revision}",
        revision=current.revision,
    )
