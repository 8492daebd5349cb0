"""Keep the table of all members and decide who is dead."""

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

# A table comparison first compares sums per bucket, so that it lists only
# about 22 of 1,400 members for each record that differs.
BUCKET_COUNT = 64
_DIGEST_MASK = (1 << 64) - 1

# One watcher alone may have a broken link to a member that is alive.
_MIN_REPORTERS = 2

_PRECEDENCE = {state: rank for rank, state in enumerate(MemberState)}
_GONE_STATES = (MemberState.DEAD, MemberState.LEFT)


def record_hash(record: MemberRecord) -> int:
    """Return a hash of everything that decides a merge."""
    reporters = ",".join(sorted(record.suspected_by))
    text = (
        f"{record.address}|{record.incarnation}|{record.version}|"
        f"{record.state}|{reporters}"
    )
    return int(xxh3_64_intdigest(text.encode()))


def bucket_of(address: str) -> int:
    """Return the comparison bucket of an address."""
    return int(xxh3_64_intdigest(address.encode())) % BUCKET_COUNT


def merge_records(held: MemberRecord, other: MemberRecord) -> MemberRecord:
    """Return the newest knowledge of both records, in either order."""
    if other.incarnation != held.incarnation:
        return max(held, other, key=lambda record: record.incarnation)
    newest = other if other.version > held.version else held
    state = max(held.state, other.state, key=_PRECEDENCE.__getitem__)
    reporters = sorted({*held.suspected_by, *other.suspected_by})
    return evolve(newest, state=state, suspected_by=reporters)


class MemberTable:
    """Hold one record per member and its timeouts."""

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
        self._confirmed_at_s: dict[str, float] = {}
        self._gone_at_s: dict[str, float] = {}
        self._store(own, 0.0)

    @property
    def own(self) -> MemberRecord:
        """Return the record of this daemon."""
        return self._records[self._own_address]

    @property
    def records(self) -> Mapping[str, MemberRecord]:
        """Return all records by address, dead and left ones too."""
        return MappingProxyType(self._records)

    @property
    def rings(self) -> Rings:
        """Return the rings of the members that are alive or suspect."""
        return self._rings

    @property
    def digest(self) -> int:
        """Return the sum of the hashes of present members' records."""
        return sum(self._digests) & _DIGEST_MASK

    @property
    def bucket_digests(self) -> list[int]:
        """Return the digest of each bucket."""
        return list(self._digests)

    @property
    def gone(self) -> Iterable[str]:
        """Return the addresses of dead and left members still kept."""
        return self._gone_at_s.keys()

    def is_alive(self, address: str) -> bool:
        """Tell whether the member is present and not suspected."""
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
        """Return all records with the newest enforced revision known."""
        return [
            evolve(record, enforced_revision=self.enforced_revision_of(record.address))
            for record in self._records.values()
        ]

    def note_enforced_revision(self, address: str, revision: int) -> None:
        """Remember a revision that a member enforces."""
        if revision > self.enforced_revision_of(address):
            self._enforced_revisions[address] = revision

    def merge(self, record: MemberRecord, now_s: float) -> bool:
        """Take over newer knowledge and tell whether there was any."""
        if record.address == self._own_address:
            return self._refute(record, now_s)
        held = self._records.get(record.address)
        if held is None:
            # A dead record that others still keep must not come back here
            # after it expired, else no table would ever drop it.
            if record.state in _GONE_STATES:
                return False
            self._store(record, now_s)
            return True
        self.note_enforced_revision(record.address, record.enforced_revision)
        merged = merge_records(held, record)
        if record_hash(merged) == record_hash(held):
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
        """Report that this daemon gets no answer from a member."""
        held = self._records.get(address)
        if held is None or held.state in _GONE_STATES:
            return False
        report = evolve(
            held, state=MemberState.SUSPECT, suspected_by=[self._own_address]
        )
        return self.merge(report, now_s)

    def expire(self, now_s: float) -> list[str]:
        """Declare suspects dead, drop old records, and return new deaths."""
        for address, gone_at_s in list(self._gone_at_s.items()):
            if address != self._own_address and self._is_old(gone_at_s, now_s):
                self._drop(address)
        deaths = [
            address
            for address in list(self._confirmed_at_s)
            if self._is_overdue(address, now_s)
        ]
        for address in deaths:
            held = self._records[address]
            self._store(evolve(held, state=MemberState.DEAD), now_s)
        return deaths

    def restart_timeouts(self, now_s: float) -> None:
        """Give every suspect its full time again after a pause."""
        for address in self._confirmed_at_s:
            self._confirmed_at_s[address] = now_s

    def positions(self, buckets: Iterable[int]) -> list[MemberPosition]:
        """Return address and hash of the records in some buckets."""
        return [
            MemberPosition(address=address, hash=value)
            for bucket in buckets
            for address, value in self._hashes[bucket].items()
        ]

    def compare(
        self, buckets: Iterable[int], positions: Iterable[MemberPosition]
    ) -> tuple[list[MemberRecord], list[str]]:
        """Return the records to send and the addresses to ask for."""
        theirs = {position.address: position.hash for position in positions}
        ours = {p.address: p.hash for p in self.positions(buckets)}
        send = [
            self._records[address]
            for address, value in ours.items()
            if theirs.get(address) != value
            and (address in theirs or self._records[address].state not in _GONE_STATES)
        ]
        ask = [address for address in theirs if ours.get(address) != theirs[address]]
        return send, ask

    def _refute(self, record: MemberRecord, now_s: float) -> bool:
        own = self.own
        self.note_enforced_revision(own.address, record.enforced_revision)
        if record.incarnation < own.incarnation:
            return False
        # A newer version or state at the same incarnation is not ours: it
        # belongs to a predecessor at this address or is a false report.
        foreign = (
            record.incarnation > own.incarnation
            or record.version > own.version
            or _PRECEDENCE[record.state] > _PRECEDENCE[own.state]
        )
        if foreign:
            self._store(evolve(own, incarnation=record.incarnation + 1), now_s)
        return foreign

    def _store(self, record: MemberRecord, now_s: float) -> None:
        address = record.address
        held = self._records.get(address)
        if held is not None and held.state not in _GONE_STATES:
            self._add_to_digest(held, -1)
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
            self._confirmed_at_s.setdefault(address, now_s)
        else:
            self._confirmed_at_s.pop(address, None)

    def _add_to_digest(self, record: MemberRecord, sign: int) -> None:
        bucket = bucket_of(record.address)
        value = self._digests[bucket] + sign * record_hash(record)
        self._digests[bucket] = value & _DIGEST_MASK

    def _drop(self, address: str) -> None:
        del self._records[address]
        del self._hashes[bucket_of(address)][address]
        del self._gone_at_s[address]
        self._enforced_revisions.pop(address, None)

    def _is_old(self, gone_at_s: float, now_s: float) -> bool:
        return now_s - gone_at_s >= self._dead_retention_s

    def _is_overdue(self, address: str, now_s: float) -> bool:
        watchers = [
            watcher
            for watcher in self._rings.predecessors(address)
            if self.is_alive(watcher)
        ]
        needed = min(_MIN_REPORTERS, max(1, len(watchers)))
        if len(self._records[address].suspected_by) < needed:
            self._confirmed_at_s[address] = now_s
            return False
        return now_s - self._confirmed_at_s[address] >= self._suspect_timeout_s
