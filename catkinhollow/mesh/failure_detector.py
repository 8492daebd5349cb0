"""Detect failed ring neighbours and retry members that are gone."""

from random import Random

from catkinhollow.generated.messages import (
    Ack,
    Envelope,
    Gossip,
    MemberState,
    Ping,
)
from catkinhollow.generated.settings import PeerSettings
from catkinhollow.mesh.anti_entropy import TableComparison
from catkinhollow.mesh.flooding import Flooding
from catkinhollow.mesh.joining import Joiner
from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.mesh_commands import CommandQueue, Reconnect
from catkinhollow.mesh.neighbours import Neighbours
from catkinhollow.mesh.pulling import SnapshotExchange

# Unanswered pings after which an open link is replaced. It is below the number
# after which the peer is suspected by default.
MAX_UNANSWERED_PINGS = 2


class FailureDetector:
    """Ping the successors on the rings and suspect those that are silent.

    Members that are gone and seeds that are not members are also pinged, one
    of them at a time, to reach them again after an outage or a partition.
    """

    def __init__(
        self,
        table: MemberTable,
        neighbours: Neighbours,
        flooding: Flooding,
        comparison: TableComparison,
        snapshots: SnapshotExchange,
        joiner: Joiner,
        commands: CommandQueue,
        peers: PeerSettings,
        random: Random,
        now_s: float,
    ) -> None:
        self._own_address = table.own.address
        self._table = table
        self._neighbours = neighbours
        self._flooding = flooding
        self._comparison = comparison
        self._snapshots = snapshots
        self._joiner = joiner
        self._commands = commands
        self._peers = peers
        self._random = random
        self._sequence = 0
        self._retried_address: str | None = None
        self._last_tick_s = now_s
        self._ping_due_s = now_s + random.uniform(0.0, peers.ping_interval_s)
        self._retry_due_s = now_s + random.uniform(0.5, 1.0) * peers.rejoin_interval_s

    @property
    def due_s(self) -> float:
        """Return the time at which the next pings are due."""
        return self._ping_due_s

    @property
    def pinged_peers(self) -> list[str]:
        """Return the addresses of the peers to ping."""
        retried = [self._retried_address] if self._retried_address else []
        return list(dict.fromkeys([*self._watched_peers, *retried]))

    @property
    def _watched_peers(self) -> list[str]:
        """Return the peers that are suspected if they are silent."""
        successors = self._table.rings.successors(self._own_address)
        watchers = self._table.silent_watchers(self._last_tick_s)
        return list(dict.fromkeys([*successors, *watchers]))

    def tick(self, now_s: float) -> None:
        """Send due pings, suspect silent members and declare suspects dead."""
        self._resume_after_pause(now_s)
        if now_s >= self._ping_due_s:
            self._ping_due_s = now_s + self._peers.ping_interval_s
            self._check_members(now_s)
            self._replace_silent_links(now_s)
            self._ping_peers()
        if now_s >= self._retry_due_s:
            self._retry_due_s = now_s + self._peers.rejoin_interval_s
            self._choose_retried_address()

    def ping(self, address: str) -> None:
        """Send this daemon's state to a peer and request the peer's state."""
        ping = Ping(
            sequence=self._sequence,
            revision=self._snapshots.revision,
            digest=self._comparison.digest,
            ready=self._joiner.ready,
        )
        self._commands.send(address, ping=ping)

    def on_ping(self, envelope: Envelope, ping: Ping, now_s: float) -> None:
        """Answer a ping.

        A peer that is not ready also gets its floor: the newest revision that
        is known to have been enforced at its address.
        """
        sender = envelope.sender
        self._update_peer(envelope, ping.revision)
        ack = Ack(
            sequence=ping.sequence,
            revision=self._snapshots.revision,
            digest=self._comparison.digest,
            ready=self._joiner.ready,
            floor_revision=0
            if ping.ready
            else self._table.enforced_revision_of(sender),
        )
        self._commands.send(sender, ack=ack)

    def on_ack(self, envelope: Envelope, ack: Ack, now_s: float) -> None:
        """Record the state of a peer and compare tables if they differ."""
        self._neighbours.confirm_link(envelope.sender, now_s)
        self._update_peer(envelope, ack.revision)
        self._comparison.on_digest(envelope.sender, ack.digest, now_s)

    def _update_peer(self, envelope: Envelope, revision: int) -> None:
        sender = envelope.sender
        self._snapshots.puller.note_revision(sender, revision)
        self._table.note_enforced_revision(sender, revision)
        record = self._table.records.get(sender)
        if record is None or record.state is MemberState.ALIVE:
            return
        if record.incarnation >= envelope.incarnation:
            # The sender is alive and refutes this record when it receives it.
            self._commands.send(sender, gossip=Gossip(members=[record]))

    def _resume_after_pause(self, now_s: float) -> None:
        # After a long pause of this process every neighbour seems silent,
        # although none has been pinged.
        if now_s - self._last_tick_s > 2 * self._peers.ping_interval_s:
            self._neighbours.restart_silence_timers(now_s)
            self._table.restart_timeouts(now_s)
        self._last_tick_s = now_s

    def _check_members(self, now_s: float) -> None:
        watched = self._watched_peers
        for address in self._neighbours.update_watched(watched, now_s):
            if self._table.suspect(address, now_s):
                self._flooding.flood_member(address, now_s)
        for address in self._table.expire(now_s):
            self._flooding.flood_member(address, now_s)

    def _replace_silent_links(self, now_s: float) -> None:
        # A connection may go silent for good, also in one direction, while a
        # new one would work. Other messages of the peer do not show that it
        # receives anything.
        limit_s = MAX_UNANSWERED_PINGS * self._peers.ping_interval_s
        for address in self.pinged_peers:
            silent_s = self._neighbours.link_silence_s(address, now_s)
            if silent_s > limit_s:
                self._neighbours.confirm_link(address, now_s)
                self._commands.add(Reconnect(address=address, silent_s=silent_s))

    def _ping_peers(self) -> None:
        self._sequence += 1
        for address in self.pinged_peers:
            self.ping(address)

    def _choose_retried_address(self) -> None:
        present = self._table.rings.members
        absent = {*self._table.gone, *self._joiner.seeds} - present
        absent.discard(self._own_address)
        self._retried_address = self._random.choice(sorted(absent)) if absent else None
