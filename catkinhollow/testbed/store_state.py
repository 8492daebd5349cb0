"""Hold the objects, counters and faults of the stand-in store."""

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

# Deletions kept for watches; older ones are forgotten, and a watch from
# before them gets a complete listing.
DEFAULT_TOMBSTONE_LIMIT = 1000


@define
class _View:
    """Hold the objects, deleted ones included, at one revision."""

    objects: dict[tuple[str, str], StoredObject]
    revision: int = 0
    # Revision of the newest forgotten deletion.
    forgotten_revision: int = 0

    def copy(self) -> "_View":
        return evolve(self, objects=dict(self.objects))

    def live(self, kind: str | None = None) -> list[StoredObject]:
        return [
            stored
            for stored in self.objects.values()
            if not stored.deleted and kind in (None, stored.kind)
        ]


class StoreState:
    """Decide the outcome of each call to the stand-in store."""

    def __init__(self, *, tombstone_limit: int = DEFAULT_TOMBSTONE_LIMIT) -> None:
        self._tombstone_limit = tombstone_limit
        self._current = _View({})
        self._stale: _View | None = None
        self._calls: Counter[str] = Counter()
        self._faults = StoreFaults()

    @property
    def faults(self) -> StoreFaults:
        """Return the fault switches."""
        return self._faults

    @property
    def revision(self) -> int:
        """Return the revision of the newest write."""
        return self._current.revision

    def set_faults(self, faults: StoreFaults) -> None:
        """Set the fault switches; stale reads start from the present view."""
        self._faults = faults
        if not faults.stale_reads:
            self._stale = None
        elif self._stale is None:
            self._stale = self._current.copy()

    def count(self, call: str) -> None:
        """Count one call of a kind."""
        self._calls[call] += 1

    def counters(self) -> StoreCounters:
        """Return the counts since the last reset."""
        return StoreCounters(
            calls=dict(self._calls),
            revision=self.revision,
            objects=len(self._current.live()),
        )

    def reset_counters(self) -> None:
        """Count from zero again."""
        self._calls.clear()

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object or the record of its deletion."""
        return self._view().objects.get((kind, name))

    def list_objects(self, kind: str) -> ObjectList:
        """Return all objects of a kind."""
        view = self._view()
        return ObjectList(
            revision=view.revision, objects=view.live(kind), complete=True
        )

    def changes(self, kind: str, after: int) -> ObjectList | None:
        """Return what a watch reports, or None when it has to wait."""
        view = self._view()
        # A revision from the future comes from before a loss of the store.
        # A view that is only stale catches up, so its watch waits.
        ahead = self._stale is None and after > view.revision
        if after < view.forgotten_revision or ahead:
            return self.list_objects(kind)
        changed = [
            stored
            for stored in view.objects.values()
            if stored.kind == kind and stored.revision > after
        ]
        if not changed:
            return None
        changed.sort(key=lambda stored: stored.revision)
        return ObjectList(revision=view.revision, objects=changed)

    def no_changes(self) -> ObjectList:
        """Return what a watch reports when its wait has ended."""
        return ObjectList(revision=self._view().revision)

    def put(
        self, kind: str, name: str, write: ObjectWrite, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Write an object if its revision is still the given one."""
        present = self._present(kind, name)
        if present is None and if_revision != 0:
            return Error(_not_found())
        if present is not None and present.revision != if_revision:
            return Error(_conflict(present))
        return Ok(self._store(kind, name, write.value, write.writer_id))

    def delete(
        self, kind: str, name: str, writer_id: str, *, if_revision: int
    ) -> Result[StoredObject, StoreError]:
        """Delete an object if its revision is still the given one."""
        present = self._present(kind, name)
        if present is None:
            return Error(_not_found())
        if present.revision != if_revision:
            return Error(_conflict(present))
        deleted = self._store(kind, name, None, writer_id, deleted=True)
        self._forget_old_deletions()
        return Ok(deleted)

    def take_response_loss(self) -> ResponseLoss | None:
        """Return how to lose the response of a write that took effect."""
        left = self._faults.lose_writes
        if left == 0:
            return None
        self._faults = evolve(self._faults, lose_writes=left - 1)
        return self._faults.lose_mode

    def _view(self) -> _View:
        return self._stale or self._current

    def _present(self, kind: str, name: str) -> StoredObject | None:
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

    def _forget_old_deletions(self) -> None:
        objects = self._current.objects
        deletions = [stored for stored in objects.values() if stored.deleted]
        if len(deletions) <= self._tombstone_limit:
            return
        oldest = min(deletions, key=lambda stored: stored.revision)
        del objects[oldest.kind, oldest.name]
        self._current.forgotten_revision = oldest.revision


def _not_found() -> StoreError:
    return StoreError(kind=StoreErrorKind.NOT_FOUND, reason="no such object")


def _conflict(present: StoredObject) -> StoreError:
    return StoreError(
        kind=StoreErrorKind.CONFLICT,
        reason=f"the revision is {present.revision}",
        revision=present.revision,
    )
