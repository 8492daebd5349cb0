"""Tests of the choice of the peer to pull a snapshot from."""

from catkinhollow.mesh.mesh_commands import CommandQueue
from catkinhollow.mesh.pulling import SnapshotExchange, SnapshotPuller


def test_pull_goes_to_the_next_announcer_after_a_timeout():
    """Guards against a lost reply that blocks all later revisions."""
    puller = SnapshotPuller(0.5)
    for address in ("a", "b"):
        puller.note_revision(address, 7)
    assert puller.poll(6, 0.0).address == "a"
    assert puller.poll(6, 0.4) is None
    assert puller.poll(6, 0.5).address == "b"
    assert puller.poll(6, 1.0).address == "a"
    puller.remove_peer("a")
    assert puller.poll(6, 1.1).address == "b"
    assert puller.on_received("b", 7)
    assert not puller.on_received("b", 7)
    assert puller.poll(6, 9.0) is None


def test_older_snapshot_is_not_offered_to_peers():
    """Guards against peers that pull an older revision after a newer one."""
    exchange = SnapshotExchange(CommandQueue(None, None), 0.5)
    assert exchange.offer(7, b"new")
    assert not exchange.offer(6, b"old")
    assert exchange.revision == 7
