"""Tests of the choice of the peer that sends a snapshot."""

from catkinhollow.pulling import SnapshotPuller


def test_pull_goes_to_the_next_announcer_after_a_timeout():
    """Guards against a lost reply that blocks all later revisions."""
    puller = SnapshotPuller(0.5)
    for address in ("a", "b"):
        puller.learn(address, 7)
    assert puller.poll(6, 0.0).address == "a"
    assert puller.poll(6, 0.4) is None
    assert puller.poll(6, 0.5).address == "b"
    assert puller.poll(6, 1.0).address == "a"
    puller.forget("a")
    assert puller.poll(6, 1.1).address == "b"
    assert puller.received("b", 7)
    assert not puller.received("b", 7)
    assert puller.poll(6, 9.0) is None
