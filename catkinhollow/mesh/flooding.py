"""Flood changes from neighbour to neighbour."""

from collections.abc import Iterable
from math import inf

from attrs import define, field

from catkinhollow.events import MembersChanged, VersionQuarantined
from catkinhollow.generated.messages import Gossip, MemberRecord, Quarantine
from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.mesh_commands import CommandQueue
from catkinhollow.mesh.neighbours import Neighbours
from catkinhollow.mesh.quarantines import QuarantineSet


@define
class _PendingGossip:
    """Collect the changes to send to one neighbour."""

    members: set[str] = field(factory=set)
    quarantines: list[Quarantine] = field(factory=list)
    revision: int = 0


class Flooding:
    """Forward each change once, and batch changes per neighbour.

    A burst of changes costs one message per neighbour.
    """

    def __init__(
        self,
        table: MemberTable,
        quarantines: QuarantineSet,
        neighbours: Neighbours,
        commands: CommandQueue,
        batch_interval_s: float,
    ) -> None:
        self._table = table
        self._quarantines = quarantines
        self._neighbours = neighbours
        self._commands = commands
        self._batch_interval_s = batch_interval_s
        self._pending: dict[str, _PendingGossip] = {}
        self._due_s = inf
        self._table_changed = False

    @property
    def due_s(self) -> float:
        """Return the time at which to send the batch."""
        return self._due_s

    def merge_members(
        self, records: Iterable[MemberRecord], sender: str, now_s: float
    ) -> None:
        """Merge records and forward those that changed the table."""
        for record in records:
            if self._table.merge(record, now_s):
                merged = self._table.records[record.address]
                # The sender needs the merged record if it differs from the
                # received one.
                informed = sender if merged == record else ""
                self.flood_member(record.address, now_s, informed=informed)

    def merge_table(self, records: Iterable[MemberRecord], now_s: float) -> None:
        """Merge the table received on joining, without forwarding it.

        The other members already have its records.
        """
        for record in records:
            if self._table.merge(record, now_s):
                self._table_changed = True

    def add_quarantines(
        self, quarantines: Iterable[Quarantine], sender: str, now_s: float
    ) -> None:
        """Add quarantines and forward the new ones."""
        for quarantine in quarantines:
            if self._quarantines.add(quarantine):
                self._commands.add(VersionQuarantined(quarantine=quarantine))
                for neighbour in self._receivers(sender):
                    self._pending_for(neighbour, now_s).quarantines.append(quarantine)

    def flood_member(self, address: str, now_s: float, *, informed: str = "") -> None:
        """Queue a changed record for the neighbours that do not have it."""
        self._table_changed = True
        for neighbour in self._receivers(informed):
            self._pending_for(neighbour, now_s).members.add(address)

    def announce(self, revision: int, informed: Iterable[str], now_s: float) -> None:
        """Queue the revision that can be pulled here for the neighbours.

        The informed peers already know it and are skipped.
        """
        for neighbour in self._receivers(*informed):
            self._pending_for(neighbour, now_s).revision = revision

    def report_table_change(self) -> None:
        """Emit one event if the table has changed since the last call."""
        if self._table_changed:
            self._commands.add(MembersChanged())
            self._table_changed = False

    def flush(self) -> None:
        """Send all queued changes."""
        pending, self._pending = self._pending, {}
        self._due_s = inf
        records = self._table.records
        for neighbour, queued in pending.items():
            gossip = Gossip(
                # A record may have expired since it was queued.
                members=[records[a] for a in sorted(queued.members) if a in records],
                revision=queued.revision,
                quarantines=queued.quarantines,
            )
            self._commands.send(neighbour, gossip=gossip)

    def _receivers(self, *informed: str) -> list[str]:
        # Links outside the rings carry only joins and evidence reports. A
        # daemon that collects evidence reports has too many such links to
        # flood over all of them.
        rings = self._table.rings
        own_address = self._table.own.address
        ring_neighbours = dict.fromkeys(
            [*rings.successors(own_address), *rings.predecessors(own_address)]
        )
        return [
            address
            for address in ring_neighbours
            if self._neighbours.is_up(address) and address not in informed
        ]

    def _pending_for(self, neighbour: str, now_s: float) -> _PendingGossip:
        if not self._pending:
            self._due_s = now_s + self._batch_interval_s
        return self._pending.setdefault(neighbour, _PendingGossip())
