"""Tests of the detection of dead links and unresponsive peers."""

from collections import Counter

from catkinhollow.relay.links.peer_watch import (
    DEAD_LINK_S,
    MAX_STATUSES_PER_S,
    UNRESPONSIVE_S,
    PeerWatch,
    ResetLink,
    SendStatus,
    Silence,
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


def make_watch(now_s=0.0):
    watch = PeerWatch()
    watch.link_up("p", now_s)
    return watch


def find_resets(commands):
    return [each for each in commands if isinstance(each, ResetLink)]


def test_link_that_does_not_deliver_is_reset_although_the_peer_sends():
    """Guards against a dead link that the frames of its peer hide."""
    watch = make_watch()
    watch.record_status_sent("p", 0)
    resets = []
    for step in range(1, 20):
        now_s = step * 0.1
        # The peer asks, and has received nothing over this link.
        watch.record_contact("p", now_s)
        watch.record_heard("p", -1, 7, now_s, now_s)
        resets += find_resets(watch.check(set(), set(), set(), now_s))
        if resets:
            break
    assert [reset.silence for reset in resets] == [Silence.NOT_DELIVERED]
    assert DEAD_LINK_S < now_s <= DEAD_LINK_S + 0.2


def test_link_is_reset_if_no_status_of_the_peer_follows():
    """Guards against a dead link to a peer that sends documents only."""
    watch = make_watch()
    watch.record_heard("p", 0, 1, 0.0, 0.0)
    resets = []
    for step in range(1, 80):
        watch.record_contact("p", step * 0.1)
        resets += find_resets(watch.check({"p"}, set(), set(), step * 0.1))
    assert [reset.silence for reset in resets] == [Silence.NOT_DELIVERED]


def test_slow_link_that_delivers_other_frames_is_not_reset():
    """Guards against answers dropped with a link that is only slow."""
    watch = make_watch()
    watch.record_status_sent("p", 0)
    for step in range(1, 60):
        now_s = step * 0.2
        watch.record_contact("p", now_s)
        watch.record_heard("p", -1, step, now_s, now_s)
        assert not find_resets(watch.check({"p"}, set(), set(), now_s))


def test_link_that_the_peer_reports_as_silent_is_replaced():
    """Guards against a direction that no daemon replaces.

    The peer asks, and this daemon needs no answer from it.
    """
    watch = make_watch()
    watch.check(set(), set(), set(), 9.9)
    reset = watch.check_report("p", 1.4, 10.0)
    assert reset == ResetLink("p")
    assert reset.silence is Silence.REPORTED


def test_report_about_an_earlier_link_does_not_replace_the_present_one():
    """Guards against two daemons that replace their links in turns."""
    watch = make_watch(9.0)
    watch.check(set(), set(), set(), 9.9)
    assert watch.check_report("p", 1.4, 10.0) is None


def test_report_after_the_own_pause_does_not_replace_the_link():
    """Guards against a fleet of new connections after each pause."""
    watch = make_watch()
    watch.check(set(), set(), set(), 6.0)
    assert watch.check_report("p", 3.0, 10.0) is None
    watch.check(set(), set(), set(), 10.1)
    assert watch.check_report("p", 3.0, 10.2) is None


def test_one_silent_peer_makes_the_daemon_ask_all_others():
    """Guards against links between failure domains that are asked too late."""
    watch = make_watch()
    for address in ("near", "far"):
        watch.link_up(address, 0.0)
    asked = {}
    for step in range(1, 12):
        now_s = step * 0.1
        if step == 1:
            for address in ("near", "far"):
                watch.record_contact(address, now_s)
        for command in watch.check({"near"}, {"far"}, {"p"}, now_s):
            asked.setdefault(command.address, now_s)
    assert asked["far"] <= UNRESPONSIVE_S + 0.3


def test_peer_of_an_earlier_release_is_not_reset():
    """Guards against resets of links to daemons that report no deliveries."""
    watch = make_watch()
    for step in range(100):
        watch.record_contact("p", step * 0.1)
        assert not find_resets(watch.check({"p"}, set(), set(), step * 0.1))


def test_calls_that_are_answered_need_no_statuses():
    """Guards against statuses that grow with the calls."""
    watch = make_watch()
    sent = []
    for step in range(1, 100):
        now_s = step * 0.1
        watch.record_contact("p", now_s)
        watch.record_delivery("p", now_s - 0.3)
        sent += watch.check(set(), set(), {"p"}, now_s)
    assert sent == []


def test_peer_that_always_reports_silence_is_not_obeyed_at_once():
    """Guards against a faulty peer that makes others replace their links."""
    watch = make_watch()
    resets = 0
    for step in range(1, 131):
        now_s = step * 0.1
        watch.check(set(), set(), set(), now_s)
        if watch.check_report("p", 0.001, now_s) is not None:
            resets += 1
            watch.link_up("p", now_s)
    assert resets <= 10


def test_delay_of_the_statuses_of_a_peer_is_not_a_lack_of_delivery():
    """Guards against resets because the other direction has become slow."""
    watch = make_watch()
    for step in range(1, 200):
        now_s = step * 0.1
        delay_s = 0.0 if step < 20 else 2.0
        watch.record_status_sent("p", int(now_s * 1000))
        watch.record_contact("p", now_s)
        heard_s = now_s - delay_s
        # The peer has received all that was sent before its status left.
        watch.record_heard("p", int(heard_s * 1000) - 1, 1, now_s, heard_s)
        assert not watch.is_unresponsive("p", now_s)


def test_one_slow_peer_does_not_raise_the_rate_of_statuses():
    """Guards against a fleet that one slow instance loads."""
    watch = PeerWatch()
    near = {f"p{number}" for number in range(30)}
    far = {f"p{number}" for number in range(30, 60)}
    for address in sorted(near | far):
        watch.link_up(address, 0.0)
        watch.record_contact(address, 0.0)
    sent, late_s = 0, None
    for step in range(1, 601):
        now_s = step * 0.1
        if late_s is not None and now_s >= late_s:
            watch.record_contact("p0", now_s)
            late_s = None
        for command in watch.check(near, far, set(), now_s):
            sent += 1
            if command.address != "p0":
                watch.record_contact(command.address, now_s)
            elif late_s is None:
                late_s = now_s + 0.75
    assert sent / 60.0 <= MAX_STATUSES_PER_S
