"""Maintain the table of members and decide which members are dead."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType

from attrs import evolve
from xxhash import xxh3_64_intdigest

from catkinhollow.generated.messages import (
    MemberPosition,
    MemberRecord,
    MemberState,
    TargetRecord,
)
from catkinhollow.mesh.rings import Rings

# Buckets of a member table. A table comparison exchanges one digest per bucket
# first, and then lists only about 22 of 1,400 members for each record that
# differs.
BUCKET_COUNT = 64
_DIGEST_MASK = (1 << 64) - 1

# Reporters that have to suspect a member before its timeout starts: a single
# watcher may have a broken link to a member that is alive.
_MIN_REPORTERS = 2

# Of two states at the same incarnation, the one that the schema lists later
# takes precedence.
_STATE_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}
_GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


def record_hash(record: MemberRecord) -> int:
    """Return a hash of the fields that determine the result of a merge."""
    reporters = ",".join(sorted(record.suspected_by))
    text = (
        f"{record.address}|{record.incarnation}|{record.version}|"
        f"{record.state}|{reporters}"
    )
    return int(xxh3_64_intdigest(text.encode()))


def bucket_of(address: str) -> int:
    """Return the comparison bucket of an address."""
    return int(xxh3_64_intdigest(address.encode())) % BUCKET_COUNT


def merge_records(current: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Return the newest state from two records of the same member.

    The result does not depend on the order of the records.
    """
    if other.incarnation != current.incarnation:
        return max(current, other, key=lambda record: record.incarnation)
    newest = other if other.version > current.version else current
    state = max(current.state, other.state, key=_STATE_PRECEDENCE.__getitem__)
    reporters = sorted({*current.suspected_by, *other.suspected_by})
    return evolve(newest, state=state, suspected_by=reporters)


class MemberTable:
    """Maintain one record per member, and the timeouts of suspects."""

    def __init__(
        self, own: MemberRecord, *, suspect_timeout_s: float, dead_retention_s: float
    ) -> None:
        self._own_address = own.address
        self._suspect_timeout_s = suspect_timeout_s
        self._dead_retention_s = dead_retention_s
        self._records: dict[str, MemberRecord] = {}
        self._hashes: list[dict[str, int]] = [{} for _ in range(BUCKET_COUNT)]
        self._digests = [0] * BUCKET_COUNT
        self._rings = Rings()
        self._enforced_revisions: dict[str, int] = {}
        self._timeout_started_s: dict[str, float] = {}
        # Since when each suspect lacks reporters.
        self._unconfirmed_since_s: dict[str, float] = {}
        self._gone_at_s: dict[str, float] = {}
        self._store(own, 0.0)

    @property
    def own(self) -> MemberRecord:
        """Return the record of this daemon."""
        return self._records[self._own_address]

    @property
    def records(self) -> Mapping[str, MemberRecord]:
        """Return all records by address, including dead and left members."""
        return MappingProxyType(self._records)

    @property
    def rings(self) -> Rings:
        """Return the hash rings of the members that are alive or suspect."""
        return self._rings

    @property
    def digest(self) -> int:
        """Return the sum of the record hashes of present members."""
        return sum(self._digests) & _DIGEST_MASK

    @property
    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket."""
        return list(self._digests)

    @property
    def gone(self) -> Iterable[str]:
        """Return the addresses of retained dead and left members."""
        return self._gone_at_s.keys()

    def is_alive(self, address: str) -> bool:
        """Return whether the member is present and not suspected."""
        record = self._records.get(address)
        return record is not None and record.state is MemberState.ALIVE

    def present_members(self) -> list[MemberRecord]:
        """Return the records of members that are alive or suspect."""
        return [
            record
            for record in self._records.values()
            if record.state not in _GONE_STATES
        ]

    def enforced_revision_of(self, address: str) -> int:
        """Return the newest revision known to be enforced at an address."""
        return self._enforced_revisions.get(address, 0)

    def records_with_enforced_revision(self) -> list[MemberRecord]:
        """Return all records with the newest known enforced revision."""
        return [
            evolve(record, enforced_revision=self.enforced_revision_of(record.address))
            for record in self._records.values()
        ]

    def note_enforced_revision(self, address: str, revision: int) -> None:
        """Record a revision that a member enforces."""
        if revision > self.enforced_revision_of(address):
            self._enforced_revisions[address] = revision

    def merge(self, record: MemberRecord, now_s: float) -> bool:
        """Merge a received record and return whether the table changed."""
        if record.address == self._own_address:
            return self._refute(record, now_s)
        current = self._records.get(record.address)
        if current is None:
            # A dead record that has expired here must not be added again from
            # a table that still retains it, or no table would ever drop it.
            if record.state in _GONE_STATES:
                return False
            self._store(record, now_s)
            return True
        self.note_enforced_revision(record.address, record.enforced_revision)
        merged = merge_records(current, record)
        if record_hash(merged) == record_hash(current):
            return False
        self._store(merged, now_s)
        return True

    def update_own(
        self,
        now_s: float,
        *,
        targets: list[TargetRecord] | None = None,
        state: MemberState | None = None,
    ) -> None:
        """Publish a new version of this daemon's record."""
        own = self.own
        changed = evolve(
            own,
            version=own.version + 1,
            enforced_revision=self.enforced_revision_of(own.address),
            targets=own.targets if targets is None else targets,
            state=own.state if state is None else state,
        )
        self._store(changed, now_s)

    def suspect(self, address: str, now_s: float) -> bool:
        """Report a member that does not answer this daemon.

        Return whether the table changed.
        """
        current = self._records.get(address)
        if current is None or current.state in _GONE_STATES:
            return False
        report = evolve(
            current, state=MemberState.SUSPECT, suspected_by=[self._own_address]
        )
        return self.merge(report, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Declare overdue suspects dead and drop old records.

        Return the addresses of the members that were declared dead.
        """
        for address, gone_at_s in list(self._gone_at_s.items()):
            if address != self._own_address and self._is_retention_over(
                gone_at_s, now_s
            ):
                self._drop(address)
        deaths = [
            address
            for address in list(self._timeout_started_s)
            if self._is_suspect_overdue(address, now_s)
        ]
        for address in deaths:
            current = self._records[address]
            self._store(evolve(current, state=MemberState.DEAD), now_s)
        return deaths

    def silent_watchers(self, now_s: float) -> list[str]:
        """Return the watchers that should have confirmed a suspect by now.

        They may have ended themselves, together with the members that watch
        them. A suspect that waits for their reports would never be declared
        dead.
        """
        watchers: dict[str, None] = {}
        for address, since_s in self._unconfirmed_since_s.items():
            reporters = self._records[address].suspected_by
            if now_s - since_s < self._suspect_timeout_s:
                continue
            for watcher in self._live_watchers(address):
                if watcher != self._own_address and watcher not in reporters:
                    watchers[watcher] = None
        return list(watchers)

    def restart_timeouts(self, now_s: float) -> None:
        """Restart the timeout of every suspect after a pause."""
        for started_s in (self._timeout_started_s, self._unconfirmed_since_s):
            for address in started_s:
                started_s[address] = now_s

    def positions(self, buckets: Iterable[int]) -> list[MemberPosition]:
        """Return the address and hash of each record in the buckets."""
        return [
            MemberPosition(address=address, hash=value)
            for bucket in buckets
            for address, value in self._hashes[bucket].items()
        ]

    def compare(
        self, buckets: Iterable[int], positions: Iterable[MemberPosition]
    ) -> tuple[list[MemberRecord], list[str]]:
        """Compare the table with the positions in a peer's table.

        Return the records to send to the peer and the addresses whose records
        to request from it.
        """
        theirs = {position.address: position.hash for position in positions}
        ours = {p.address: p.hash for p in self.positions(buckets)}
        changed_records = [
            self._records[address]
            for address, value in ours.items()
            if theirs.get(address) != value
            and (address in theirs or self._records[address].state not in _GONE_STATES)
        ]
        requested = [
            address for address in theirs if ours.get(address) != theirs[address]
        ]
        return changed_records, requested

    def _refute(self, record: MemberRecord, now_s: float) -> bool:
        own = self.own
        self.note_enforced_revision(own.address, record.enforced_revision)
        if record.incarnation < own.incarnation:
            return False
        # A newer version or state at the same incarnation was not published by
        # this process: it comes from an earlier process at this address or is
        # a false report.
        is_foreign = (
            record.incarnation > own.incarnation
            or record.version > own.version
            or _STATE_PRECEDENCE[record.state] > _STATE_PRECEDENCE[own.state]
        )
        if is_foreign:
            self._store(evolve(own, incarnation=record.incarnation + 1), now_s)
        return is_foreign

    def _store(self, record: MemberRecord, now_s: float) -> None:
        address = record.address
        current = self._records.get(address)
        if current is not None and current.state not in _GONE_STATES:
            self._add_to_digest(current, -1)
        self._records[address] = record
        self._hashes[bucket_of(address)][address] = record_hash(record)
        self.note_enforced_revision(address, record.enforced_revision)
        if record.state in _GONE_STATES:
            self._rings.discard(address)
            self._gone_at_s.setdefault(address, now_s)
        else:
            self._rings.add(address)
            self._gone_at_s.pop(address, None)
            self._add_to_digest(record, 1)
        if record.state is MemberState.SUSPECT:
            self._timeout_started_s.setdefault(address, now_s)
        else:
            self._timeout_started_s.pop(address, None)
            self._unconfirmed_since_s.pop(address, None)

    def _add_to_digest(self, record: MemberRecord, sign: int) -> None:
        bucket = bucket_of(record.address)
        value = self._digests[bucket] + sign * record_hash(record)
        self._digests[bucket] = value & _DIGEST_MASK

    def _drop(self, address: str) -> None:
        del self._records[address]
        del self._hashes[bucket_of(address)][address]
        del self._gone_at_s[address]
        self._enforced_revisions.pop(address, None)

    def _is_retention_over(self, gone_at_s: float, now_s: float) -> bool:
        return now_s - gone_at_s >= self._dead_retention_s

    def _live_watchers(self, address: str) -> list[str]:
        return [
            watcher
            for watcher in self._rings.predecessors(address)
            if self.is_alive(watcher)
        ]

    def _is_suspect_overdue(self, address: str, now_s: float) -> bool:
        # With fewer than two live watchers, one report is enough.
        needed = min(_MIN_REPORTERS, max(1, len(self._live_watchers(address))))
        if len(self._records[address].suspected_by) < needed:
            self._timeout_started_s[address] = now_s
            self._unconfirmed_since_s.setdefault(address, now_s)
            return False
        self._unconfirmed_since_s.pop(address, None)
        return now_s - self._timeout_started_s[address] >= self._suspect_timeout_s
