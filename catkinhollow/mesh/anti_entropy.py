"""Repair differences between the member tables of two daemons."""

from catkinhollow.generated.messages import (
    CompareMembers,
    Envelope,
    Gossip,
    MemberPositions,
    PullMembers,
)
from catkinhollow.mesh.flooding import Flooding
from catkinhollow.mesh.membership import BUCKET_COUNT, MemberTable
from catkinhollow.mesh.mesh_commands import CommandQueue
from catkinhollow.mesh.quarantines import QuarantineSet

# A flood reaches all members well within one ping interval, so only a
# difference in two consecutive answers shows that a message was lost.
_MIN_DIFFERENCES = 2
_MIN_INTERVAL_S = 1.0
# A position takes about 40 bytes, which limits positions to 10 KB/s.
_MAX_POSITIONS_PER_S = 250
_DIGEST_MASK = (1 << 64) - 1


class TableComparison:
    """Decide when to compare tables, and send and answer each step.

    The steps are the digests of all buckets, the positions in the buckets
    that differ, and the records that differ. A position is the address and
    the hash of one record.
    """

    def __init__(
        self,
        table: MemberTable,
        quarantines: QuarantineSet,
        flooding: Flooding,
        commands: CommandQueue,
    ) -> None:
        self._table = table
        self._quarantines = quarantines
        self._flooding = flooding
        self._commands = commands
        self._difference_counts: dict[str, int] = {}
        self._next_comparison_s = 0.0

    @property
    def digest(self) -> int:
        """Return the digest of the members and quarantines to agree on."""
        return (self._table.digest + self._quarantines.digest) & _DIGEST_MASK

    def on_digest(self, address: str, digest: int, now_s: float) -> None:
        """Start a comparison if a neighbour's digest differs repeatedly."""
        if digest == self.digest:
            self._difference_counts.pop(address, None)
            return
        count = self._difference_counts.get(address, 0) + 1
        self._difference_counts[address] = count
        if count < _MIN_DIFFERENCES or now_s < self._next_comparison_s:
            return
        self._next_comparison_s = now_s + _MIN_INTERVAL_S
        del self._difference_counts[address]
        request = CompareMembers(
            digests=self._table.bucket_digests, quarantines=self._quarantines.items
        )
        self._commands.send(address, compare_members=request)

    def remove_peer(self, address: str) -> None:
        """Drop the state of a neighbour whose link is down."""
        self._difference_counts.pop(address, None)

    def on_request(
        self, envelope: Envelope, request: CompareMembers, now_s: float
    ) -> None:
        """Answer with the positions in the buckets that differ."""
        sender = envelope.sender
        self._flooding.add_quarantines(request.quarantines, sender, now_s)
        ours = self._table.bucket_digests
        buckets = [
            bucket
            for bucket in range(min(BUCKET_COUNT, len(request.digests)))
            if request.digests[bucket] != ours[bucket]
        ]
        answer = MemberPositions(
            buckets=buckets,
            positions=self._table.positions(buckets),
            quarantines=self._quarantines.items,
        )
        self._commands.send(sender, member_positions=answer)

    def on_positions(
        self, envelope: Envelope, answer: MemberPositions, now_s: float
    ) -> None:
        """Send the own records that differ and request the peer's."""
        sender = envelope.sender
        self._flooding.add_quarantines(answer.quarantines, sender, now_s)
        pause_s = len(answer.positions) / _MAX_POSITIONS_PER_S
        self._next_comparison_s = max(self._next_comparison_s, now_s + pause_s)
        buckets = [bucket for bucket in answer.buckets if bucket < BUCKET_COUNT]
        records, addresses = self._table.compare(buckets, answer.positions)
        if records:
            self._commands.send(sender, gossip=Gossip(members=records))
        if addresses:
            self._commands.send(sender, pull_members=PullMembers(addresses=addresses))

    def on_pull(self, envelope: Envelope, pull: PullMembers, now_s: float) -> None:
        """Send the records that the peer requests."""
        records_by_address = self._table.records
        records = [
            records_by_address[address]
            for address in pull.addresses
            if address in records_by_address
        ]
        self._commands.send(envelope.sender, gossip=Gossip(members=records))
