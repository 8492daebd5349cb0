"""Decide which messages a daemon exchanges with its peers."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from math import inf
from random import Random
from typing import Any

from catkinhollow.events import EvidenceReported, FloorRaised, MeshJoined, MeshReady
from catkinhollow.generated.messages import (
    Ack,
    Envelope,
    EvidenceReport,
    Gossip,
    Join,
    JoinReply,
    MemberRecord,
    MemberState,
    Quarantine,
    TargetRecord,
)
from catkinhollow.generated.settings import PeerSettings
from catkinhollow.mesh.anti_entropy import TableComparison
from catkinhollow.mesh.failure_detector import FailureDetector
from catkinhollow.mesh.flooding import Flooding
from catkinhollow.mesh.joining import Joiner, JoinRateLimiter
from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.mesh_commands import (
    Command,
    CommandQueue,
    Connect,
    Disconnect,
)
from catkinhollow.mesh.neighbours import Neighbours
from catkinhollow.mesh.pulling import SnapshotExchange
from catkinhollow.mesh.quarantines import QuarantineSet

# Ring neighbours learn the enforced revision of a daemon from each ping, all
# other members from a refreshed record. Flooding one record costs each member
# about 6.6 KB, so a large fleet refreshes one record every 4 s, at 1.6 KB/s. A
# small fleet can refresh more often: 11 members are all refreshed within 5 s.
# Each member refreshes its record after a random delay. Its upper limit is the
# first value times the number of members, or the second value times the square
# of that number, whichever is smaller.
_MAX_REFRESH_S_PER_MEMBER = 4.0
_REFRESH_S_PER_PAIR = 0.04

# Lifetime of a link outside the rings after an evidence report. Reports are
# sent once a second, so the link stays open between them.
_TEMPORARY_LINK_S = 10.0
_MAX_WAITING_REPORTS = 16


class Mesh:
    """Represent the state of one daemon in the mesh, without any I/O.

    Methods that change the state return the commands that the I/O layer has
    to execute.
    """

    def __init__(
        self,
        own: MemberRecord,
        seeds: Sequence[str],
        peers: PeerSettings,
        random: Random,
        now_s: float,
    ) -> None:
        self._own_address = own.address
        self._random = random
        self._table = MemberTable(
            own,
            suspect_timeout_s=peers.suspect_timeout_s,
            dead_retention_s=peers.dead_retention_s,
        )
        self._quarantines = QuarantineSet()
        self._neighbours = Neighbours(peers.missed_pings * peers.ping_interval_s)
        self._commands = CommandQueue(self._table, self._neighbours)
        self._flooding = Flooding(
            self._table,
            self._quarantines,
            self._neighbours,
            self._commands,
            peers.batch_interval_ms / 1000,
        )
        self._comparison = TableComparison(
            self._table, self._quarantines, self._flooding, self._commands
        )
        self._snapshots = SnapshotExchange(self._commands, peers.pull_timeout_ms / 1000)
        self._join_limiter = JoinRateLimiter(peers.max_joins_per_s)
        self._joiner = Joiner(self._exclude_own(seeds), random, now_s)
        self._failure_detector = FailureDetector(
            self._table,
            self._neighbours,
            self._flooding,
            self._comparison,
            self._snapshots,
            self._joiner,
            self._commands,
            peers,
            random,
            now_s,
        )
        self._waiting_reports: deque[tuple[str, EvidenceReport]] = deque(
            maxlen=_MAX_WAITING_REPORTS
        )
        self._refresh_due_s = inf
        self._handlers: dict[str, Callable[[Envelope, Any, float], None]] = {
            "ping": self._failure_detector.on_ping,
            "ack": self._on_ack,
            "gossip": self._on_gossip,
            "pull_snapshot": self._snapshots.on_pull,
            "snapshot_reply": self._snapshots.on_reply,
            "join": self._on_join,
            "join_reply": self._on_join_reply,
            "compare_members": self._comparison.on_request,
            "member_positions": self._comparison.on_positions,
            "pull_members": self._comparison.on_pull,
            "evidence_report": self._on_evidence_report,
        }

    @property
    def table(self) -> MemberTable:
        """Return the member table."""
        return self._table

    @property
    def ready(self) -> bool:
        """Return whether the daemon may serve calls."""
        return self._joiner.ready

    @property
    def floor(self) -> int:
        """Return the lowest revision at which the daemon may become ready."""
        return self._joiner.floor

    @property
    def revision(self) -> int:
        """Return the revision that peers can pull here."""
        return self._snapshots.revision

    @property
    def quarantines(self) -> list[Quarantine]:
        """Return every known quarantine."""
        return self._quarantines.items

    @property
    def links(self) -> frozenset[str]:
        """Return the addresses with an open link."""
        return self._neighbours.up

    @property
    def due_s(self) -> float:
        """Return the time at which the next tick is due."""
        return min(
            self._failure_detector.due_s,
            self._flooding.due_s,
            self._snapshots.puller.due_s,
            self._joiner.due_s,
        )

    def receive(self, envelope: Envelope, now_s: float) -> list[Command]:
        """Handle a message from a peer."""
        if envelope.sender == self._own_address:
            return []
        self._neighbours.note_message(envelope.sender, now_s)
        for name, handler in self._handlers.items():
            body = getattr(envelope, name)
            if body is not None:
                handler(envelope, body, now_s)
        return self._complete_step(now_s)

    def tick(self, now_s: float) -> list[Command]:
        """Execute everything that is due."""
        self._failure_detector.tick(now_s)
        if now_s >= self._refresh_due_s:
            self._refresh_due_s = inf
            self._table.update_own(now_s)
            self._flooding.flood_member(self._own_address, now_s)
        self._send_due_join(now_s)
        if now_s >= self._flooding.due_s:
            self._flooding.flush()
        return self._complete_step(now_s)

    def link_up(self, address: str, now_s: float) -> list[Command]:
        """Handle a new link, over which messages can be sent to a peer."""
        self._neighbours.link_up(address, now_s)
        if address == self._joiner.asked_seed:
            self._send_join(address)
        if self._neighbours.is_wanted(address):
            self._failure_detector.ping(address)
        self._send_waiting_reports(address)
        return self._complete_step(now_s)

    def link_down(self, address: str, now_s: float) -> list[Command]:
        """Handle the loss of the link to a peer."""
        self._neighbours.link_down(address)
        self._snapshots.puller.remove_peer(address)
        self._comparison.remove_peer(address)
        return self._complete_step(now_s)

    def update_own(
        self,
        now_s: float,
        *,
        enforced_revision: int | None = None,
        targets: list[TargetRecord] | None = None,
    ) -> list[Command]:
        """Publish the enforced revision and the targets of this daemon.

        Targets are published immediately, and a revision at the latest after
        a random delay.
        """
        if enforced_revision is not None:
            self._table.note_enforced_revision(self._own_address, enforced_revision)
            delay_s = self._random.uniform(0.0, self._max_refresh_delay_s())
            self._refresh_due_s = min(self._refresh_due_s, now_s + delay_s)
        if targets is not None:
            self._table.update_own(now_s, targets=targets)
            self._flooding.flood_member(self._own_address, now_s)
        return self._complete_step(now_s)

    def _max_refresh_delay_s(self) -> float:
        members = len(self._table.rings.members)
        per_member_s = min(_MAX_REFRESH_S_PER_MEMBER, _REFRESH_S_PER_PAIR * members)
        return per_member_s * members

    def leave(self, now_s: float) -> list[Command]:
        """Tell all neighbours immediately that this daemon shuts down."""
        self._table.update_own(now_s, state=MemberState.LEFT)
        self._flooding.flood_member(self._own_address, now_s)
        self._flooding.flush()
        return self._complete_step(now_s)

    def revision_available(
        self, revision: int, encoded_snapshot: bytes, now_s: float
    ) -> list[Command]:
        """Announce a snapshot that this daemon enforces and can send."""
        if self._snapshots.offer(revision, encoded_snapshot):
            informed = self._snapshots.puller.peers_with(revision)
            self._flooding.announce(revision, informed, now_s)
        return self._complete_step(now_s)

    def quarantine(self, quarantine: Quarantine, now_s: float) -> list[Command]:
        """Flood a quarantine that this daemon has imposed."""
        self._flooding.add_quarantines([quarantine], "", now_s)
        return self._complete_step(now_s)

    def store_answered(self, revision: int, now_s: float) -> list[Command]:
        """Handle an answer of the store with its newest revision."""
        self._raise_floor(revision)
        self._joiner.on_answer(now_s)
        return self._complete_step(now_s)

    def add_seeds(self, seeds: Iterable[str], now_s: float) -> list[Command]:
        """Add addresses to contact for joining or healing a partition."""
        self._joiner.add_seeds(self._exclude_own(seeds))
        return self._complete_step(now_s)

    def send_evidence(
        self, address: str, report: EvidenceReport, now_s: float
    ) -> list[Command]:
        """Send outcome counts to a peer, over a temporary link if needed."""
        self._neighbours.keep_until(address, now_s + _TEMPORARY_LINK_S)
        self._waiting_reports.append((address, report))
        if self._neighbours.is_up(address):
            self._send_waiting_reports(address)
        return self._complete_step(now_s)

    def _on_ack(self, envelope: Envelope, ack: Ack, now_s: float) -> None:
        self._joiner.on_ack(envelope.sender)
        self._apply_answer(ack.ready, ack.revision, ack.floor_revision, now_s)
        self._failure_detector.on_ack(envelope, ack, now_s)
        # With equal digests a neighbour that pinged first has already repaired
        # this table, and a seed would only send the whole table again.
        if ack.digest == self._comparison.digest and self._joiner.mark_joined():
            self._commands.add(MeshJoined())

    def _on_gossip(self, envelope: Envelope, gossip: Gossip, now_s: float) -> None:
        self._snapshots.puller.note_revision(envelope.sender, gossip.revision)
        self._flooding.merge_members(gossip.members, envelope.sender, now_s)
        self._flooding.add_quarantines(gossip.quarantines, envelope.sender, now_s)

    def _on_join(self, envelope: Envelope, join: Join, now_s: float) -> None:
        sender = envelope.sender
        delay_s = self._join_limiter.retry_delay_s(now_s)
        if delay_s > 0:
            refusal = JoinReply(
                request_id=join.request_id, retry_after_ms=round(delay_s * 1000)
            )
            self._commands.send(sender, join_reply=refusal)
            return
        self._flooding.merge_members([join.member], sender, now_s)
        reply = JoinReply(
            request_id=join.request_id,
            ready=self.ready,
            revision=self.revision,
            floor_revision=self._table.enforced_revision_of(sender),
            members=self._table.present_members(),
            quarantines=self._quarantines.items,
        )
        self._commands.send(sender, join_reply=reply)

    def _on_join_reply(
        self, envelope: Envelope, reply: JoinReply, now_s: float
    ) -> None:
        if not self._joiner.on_reply(reply, now_s):
            return
        self._commands.add(MeshJoined())
        self._snapshots.puller.note_revision(envelope.sender, reply.revision)
        self._apply_answer(reply.ready, reply.revision, reply.floor_revision, now_s)
        self._flooding.merge_table(reply.members, now_s)
        self._flooding.add_quarantines(reply.quarantines, envelope.sender, now_s)

    def _on_evidence_report(
        self, envelope: Envelope, report: EvidenceReport, now_s: float
    ) -> None:
        arrived = EvidenceReported(sender=envelope.sender, report=report)
        self._commands.add(arrived)

    def _apply_answer(
        self, ready: bool, revision: int, floor_revision: int, now_s: float
    ) -> None:
        self._raise_floor(floor_revision)
        if ready:
            self._raise_floor(revision)
            self._joiner.on_answer(now_s)

    def _raise_floor(self, revision: int) -> None:
        if self._joiner.raise_floor(revision):
            self._commands.add(FloorRaised(revision=revision))

    def _send_due_join(self, now_s: float) -> None:
        seed = self._joiner.poll(now_s)
        if seed is not None:
            self._send_join(seed)

    def _send_join(self, seed: str) -> None:
        join = Join(request_id=self._joiner.request_id, member=self._table.own)
        self._commands.send(seed, join=join)

    def _send_waiting_reports(self, address: str) -> None:
        waiting = [item for item in self._waiting_reports if item[0] != address]
        for receiver, report in self._waiting_reports:
            if receiver == address:
                self._commands.send(address, evidence_report=report)
        self._waiting_reports = deque(waiting, maxlen=_MAX_WAITING_REPORTS)

    def _update_links(self, now_s: float) -> None:
        asked = [self._joiner.asked_seed] if self._joiner.asked_seed else []
        closed, opened = self._neighbours.set_wanted(
            [*self._failure_detector.pinged_peers, *asked], now_s
        )
        for address in closed:
            self._commands.add(Disconnect(address=address))
        for address in opened:
            self._commands.add(Connect(address=address))

    def _check_ready(self, now_s: float) -> None:
        successors = self._table.rings.successors(self._own_address)
        if self._joiner.check_ready(self.revision, successors, now_s):
            self._commands.add(MeshReady())

    def _complete_step(self, now_s: float) -> list[Command]:
        self._snapshots.poll(now_s)
        self._update_links(now_s)
        self._check_ready(now_s)
        self._flooding.report_table_change()
        return self._commands.take()

    def _exclude_own(self, addresses: Iterable[str]) -> list[str]:
        return [address for address in addresses if address != self._own_address]
