"""Tests of the detection of dead links and unresponsive peers."""

from collections import Counter

from catkinhollow.relay.peer_watch import (
    DEAD_LINK_S,
    PeerWatch,
    ResetLink,
    SendStatus,
)


def test_dead_link_is_reset():
    """Guards against a connection that stays open but carries no data."""
    watch = PeerWatch()
    watch.link_up("p", 0.0)
    commands = []
    for step in range(20):
        commands += [
            (step * 0.2, c) for c in watch.check(set(), set(), {"p"}, step * 0.2)
        ]
    resets = [at_s for at_s, command in commands if command == ResetLink("p")]
    assert resets and resets[0] <= 2.5


def test_unresponsive_peer_gets_no_new_calls():
    """Guards against calls to a partitioned peer until its link is reset."""
    watch = PeerWatch()
    watch.link_up("p", 0.0)
    unresponsive_s = None
    for step in range(14):
        now_s = step * 0.1
        watch.check(set(), set(), {"p"}, now_s)
        if unresponsive_s is None and watch.is_unresponsive("p", now_s):
            unresponsive_s = now_s
    assert unresponsive_s is not None and unresponsive_s <= 0.9
    watch.record_contact("p", 1.4)
    assert not watch.is_unresponsive("p", 1.4)


def test_full_link_that_carries_data_is_not_reset():
    """Guards against answers that are dropped with a link that is only slow.

    The grown Consortium's scale-1 replaced 503 links without any fault.
    """
    watch = PeerWatch()
    watch.link_up("p", 0.0)
    for step in range(50):
        now_s = step * 0.2
        watch.record_progress("p", now_s)
        assert ResetLink("p") not in watch.check(set(), set(), {"p"}, now_s)
        assert not watch.is_unresponsive("p", now_s)
    last_s = now_s
    while ResetLink("p") not in watch.check(set(), set(), {"p"}, now_s):
        now_s += 0.2
    assert DEAD_LINK_S < now_s - last_s <= DEAD_LINK_S + 0.5


def test_paused_process_does_not_take_its_peers_for_dead():
    """Guards against a fleet that is cut off from a daemon that has paused."""
    watch = PeerWatch()
    watch.link_up("p", 0.0)
    assert watch.check(set(), set(), {"p"}, 0.4) == [SendStatus("p")]
    # The answer arrived while this process did not run.
    assert ResetLink("p") not in watch.check(set(), set(), {"p"}, 6.0)
    assert not watch.is_unresponsive("p", 6.0)


def test_peers_that_this_daemon_does_not_need_are_not_asked():
    """Guards against statuses to all callers of a target."""
    watch = PeerWatch()
    for address in ("near", "far", "caller"):
        watch.link_up(address, 0.0)
    sent = Counter()
    for step in range(60):
        now_s = step * 0.2
        for command in watch.check({"near"}, {"far"}, set(), now_s):
            sent[command.address] += 1
            watch.record_contact(command.address, now_s)
    assert sent["caller"] == 0
    assert sent["near"] >= 2.5 * sent["far"] > 0


def test_responsive_peer_is_not_reset():
    """Guards against resets of a link that is only idle."""
    watch = PeerWatch()
    watch.link_up("p", 0.0)
    for step in range(50):
        now_s = step * 0.2
        for command in watch.check({"p"}, set(), set(), now_s):
            assert command == SendStatus("p")
            watch.record_contact("p", now_s + 0.05)
