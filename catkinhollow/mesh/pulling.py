"""Pull newer snapshots from peers and serve the newest one to them."""

from math import inf

from attrs import frozen

from catkinhollow.generated.messages import Envelope, PullSnapshot, SnapshotReply
from catkinhollow.mesh.mesh_commands import CommandQueue, SnapshotArrived


@frozen(kw_only=True)
class PullRequest:
    """Describe a snapshot request to a peer."""

    address: str
    request_id: int


class SnapshotPuller:
    """Choose the peer to pull from.

    The first peer that announced a newer revision is asked first, then the
    next one after a timeout.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._newest_revisions: dict[str, int] = {}
        self._tried_peers: set[str] = set()
        self._in_flight: PullRequest | None = None
        self._deadline_s = inf
        self._received_revision = 0
        self._request_id = 0

    @property
    def due_s(self) -> float:
        """Return the time at which the request in flight times out."""
        return self._deadline_s

    def peers_with(self, revision: int) -> list[str]:
        """Return the peers known to have the revision or a newer one."""
        return [
            peer
            for peer, newest in self._newest_revisions.items()
            if newest >= revision
        ]

    def note_revision(self, address: str, revision: int) -> None:
        """Record that a peer has a revision."""
        if revision > self._newest_revisions.get(address, 0):
            # Reinserted, so that the dict is ordered by time of announcement.
            self._newest_revisions.pop(address, None)
            self._newest_revisions[address] = revision

    def remove_peer(self, address: str) -> None:
        """Drop the state of a peer whose link is down."""
        self._newest_revisions.pop(address, None)
        self._tried_peers.discard(address)
        if self._in_flight is not None and self._in_flight.address == address:
            self._end_request()

    def on_received(self, address: str, revision: int) -> bool:
        """End the request to a peer and return whether its revision is new."""
        if self._in_flight is not None and self._in_flight.address == address:
            self._end_request()
        self._newest_revisions[address] = revision
        if revision <= self._received_revision:
            return False
        self._received_revision = revision
        self._tried_peers.clear()
        return True

    def poll(self, enforced_revision: int, now_s: float) -> PullRequest | None:
        """Return the request to send now, if one is due."""
        if self._in_flight is not None:
            if now_s < self._deadline_s:
                return None
            self._tried_peers.add(self._in_flight.address)
            self._end_request()
        # A snapshot that was received but refused is not pulled again.
        known_revision = max(enforced_revision, self._received_revision)
        candidates = [
            a
            for a, revision in self._newest_revisions.items()
            if revision > known_revision
        ]
        if not candidates:
            return None
        if self._tried_peers.issuperset(candidates):
            self._tried_peers.clear()
        address = next(a for a in candidates if a not in self._tried_peers)
        return self._start_request(address, now_s)

    def _start_request(self, address: str, now_s: float) -> PullRequest:
        self._request_id += 1
        self._in_flight = PullRequest(address=address, request_id=self._request_id)
        self._deadline_s = now_s + self._timeout_s
        return self._in_flight

    def _end_request(self) -> None:
        self._in_flight = None
        self._deadline_s = inf


class SnapshotExchange:
    """Serve the current snapshot to peers, and pull newer ones."""

    def __init__(self, commands: CommandQueue, timeout_s: float) -> None:
        self._commands = commands
        self._puller = SnapshotPuller(timeout_s)
        self._revision = 0
        self._snapshot = b""

    @property
    def revision(self) -> int:
        """Return the revision that peers can pull here."""
        return self._revision

    @property
    def puller(self) -> SnapshotPuller:
        """Return the component that chooses the peer to pull from."""
        return self._puller

    def offer(self, revision: int, encoded_snapshot: bytes) -> bool:
        """Offer a snapshot to peers and return whether it is newer."""
        if revision <= self._revision:
            return False
        self._revision = revision
        self._snapshot = encoded_snapshot
        return True

    def poll(self, now_s: float) -> None:
        """Send a pull request if a peer has a newer snapshot."""
        pull = self._puller.poll(self._revision, now_s)
        if pull is not None:
            request = PullSnapshot(
                request_id=pull.request_id, known_revision=self._revision
            )
            self._commands.send(pull.address, pull_snapshot=request)

    def on_pull(self, envelope: Envelope, pull: PullSnapshot, now_s: float) -> None:
        """Answer a pull, with the snapshot if the peer has an older one."""
        is_newer = self._revision > pull.known_revision
        reply = SnapshotReply(
            request_id=pull.request_id,
            revision=self._revision,
            snapshot=self._snapshot if is_newer else b"",
        )
        self._commands.send(envelope.sender, snapshot_reply=reply)

    def on_reply(self, envelope: Envelope, reply: SnapshotReply, now_s: float) -> None:
        """Pass a newer snapshot to the I/O layer."""
        is_new = self._puller.on_received(envelope.sender, reply.revision)
        if is_new and reply.snapshot and reply.revision > self._revision:
            arrived = SnapshotArrived(revision=reply.revision, data=reply.snapshot)
            self._commands.add(arrived)
