"""Decide which configuration version a daemon enforces."""

from expression import Error, Ok, Result

from catkinhollow.configuration.validation import find_fleet_problems
from catkinhollow.errors import RejectionKind, SnapshotRejected
from catkinhollow.generated.fleet import Snapshot


class SnapshotHolder:
    """Keep the newest accepted snapshot; refuse older or invalid ones."""

    def __init__(self) -> None:
        self._snapshot: Snapshot | None = None
        self._floor = 0

    @property
    def snapshot(self) -> Snapshot | None:
        """Return the enforced snapshot, if there is one."""
        return self._snapshot

    @property
    def revision(self) -> int:
        """Return the enforced revision, or 0 if there is none."""
        return self._snapshot.revision if self._snapshot else 0

    @property
    def floor(self) -> int:
        """Return the lowest revision that may be enforced."""
        return self._floor

    def raise_floor(self, revision: int) -> None:
        """Refuse snapshots older than the revision from now on."""
        self._floor = max(self._floor, revision)

    def offer(self, snapshot: Snapshot) -> Result[Snapshot, SnapshotRejected]:
        """Accept the whole snapshot or refuse all of it."""
        if snapshot.revision < self._floor:
            return _reject_stale(snapshot, f"older than the floor {self._floor}")
        if snapshot.revision <= self.revision:
            return _reject_stale(snapshot, f"not newer than {self.revision}")
        problems = find_fleet_problems(snapshot.fleet)
        if problems:
            return _reject(snapshot, RejectionKind.INVALID, str(problems[0]))
        self._snapshot = snapshot
        self._floor = snapshot.revision
        return Ok(snapshot)


def _reject_stale(
    snapshot: Snapshot, reason: str
) -> Result[Snapshot, SnapshotRejected]:
    return _reject(snapshot, RejectionKind.STALE, reason)


def _reject(
    snapshot: Snapshot, kind: RejectionKind, reason: str
) -> Result[Snapshot, SnapshotRejected]:
    return Error(SnapshotRejected(kind=kind, revision=snapshot.revision, reason=reason))
