"""Tests of the deletion of stale daemon records."""

from relay_builders import make_peer

from catkinhollow.relay.record_cleanup import STALE_RECORD_S, find_stale_peers


def make_fleet(lost=1):
    peers = [make_peer(f"p{number}") for number in range(6)]
    for peer in peers[:lost]:
        peer.linked = False
        peer.disconnected_s = 0.0
    return peers


def test_one_daemon_is_responsible_for_a_record():
    """Guards against records that no daemon or every daemon deletes."""
    peers = make_fleet()
    found = [find_stale_peers(peers, own, STALE_RECORD_S + 1) for own in peers[1:]]
    assert sorted(map(len, found)) == [0, 0, 0, 0, 1]


def test_record_of_a_restarting_daemon_is_kept():
    """Guards against a daemon that must be rediscovered after each restart."""
    peers = make_fleet()
    assert not any(
        find_stale_peers(peers, own, STALE_RECORD_S - 1) for own in peers[1:]
    )


def test_daemon_that_lost_most_peers_deletes_nothing():
    """Guards against a partitioned daemon that deletes all records."""
    peers = make_fleet(lost=4)
    assert not any(
        find_stale_peers(peers, own, STALE_RECORD_S + 1) for own in peers[4:]
    )
