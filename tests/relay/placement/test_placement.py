"""Tests of the placement of calls."""

from collections import Counter
from random import Random

import pytest
from relay_builders import make_peer, make_report

from catkinhollow.generated.relay import GateState
from catkinhollow.relay.placement.placer import CallProfile, Distances, LeastWaitPlacer


class Clock:
    """Return a time that tests set."""

    def __init__(self, now_s=0.0):
        self.now_s = now_s

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return 0


def make_placer(own, seed=1, clock=None):
    return LeastWaitPlacer(own, Distances(), clock or Clock(), Random(seed))


def choose(placer, peers, answer_kb=1.0):
    """Choose a peer; all of them were called recently, so none is explored."""
    for peer in peers:
        if peer.last_called_s < 0.0:
            peer.last_called_s = 0.0
    return placer.choose(peers, set(), CallProfile(answer_kb=answer_kb))


def test_free_target_of_the_same_failure_domain_is_preferred():
    """Guards against unnecessary traffic between failure domains."""
    own = make_peer("own", service="other")
    near, far = make_peer("near"), make_peer("far", failure_domain="b")
    placer = make_placer(own)
    chosen = Counter(choose(placer, [near, far]).record.name for _ in range(100))
    assert chosen["near"] >= 90


def test_free_target_elsewhere_is_preferred_to_a_busy_one():
    """Guards against a queue at one target while others are free."""
    own = make_peer("own", service="other")
    busy = make_peer("near", report=make_report(running=9, waiting=6))
    free = make_peer("far", failure_domain="b")
    assert choose(make_placer(own), [busy, free]) is free


@pytest.mark.parametrize("running", range(9))
def test_call_stays_in_its_failure_domain_while_a_slot_is_free(running):
    """Guards against traffic between failure domains that saves no wait.

    On a calm day of nine daemons half of the calls left their failure domain,
    because the shorter queue of two free targets was preferred.
    """
    own = make_peer("own", service="other")
    near = make_peer("near", report=make_report(running=running, service_ms=550.0))
    far = make_peer("far", failure_domain="b", report=make_report(service_ms=550.0))
    placer = make_placer(own)
    chosen = Counter(choose(placer, [near, far]).record.name for _ in range(100))
    assert chosen["near"] == 100


def serve_uneven_load(share_near, calls_per_s):
    """Play a load from one of two failure domains; return waits and places.

    Each failure domain has one target with 9 slots and runs of 100 ms, which
    serves 90 calls per second. The reports are exact.
    """
    own = make_peer("own", service="other")
    peers = [make_peer("near"), make_peer("far", failure_domain="b")]
    clock, random = Clock(), Random(7)
    placer = make_placer(own, clock=clock)
    ends = {peer: [0.0] * 9 for peer in peers}
    waits, places = [], Counter()
    for number in range(int(calls_per_s * 20.0)):
        now_s = clock.now_s = number / calls_per_s
        for peer in peers:
            running = sum(end_s > now_s for end_s in ends[peer])
            waiting = sum(max(0.0, end_s - now_s) for end_s in ends[peer]) / 0.1
            waiting = max(0, round(waiting - running))
            peer.update_report(make_report(running=running, waiting=waiting), now_s)
        peer = peers[1]
        if random.random() < share_near:
            profile = CallProfile(answer_kb=1.0, target_latency_ms=500.0)
            peer = placer.choose(peers, set(), profile)
            places[peer.record.name] += 1
        slots = ends[peer]
        start_s = max(now_s, min(slots))
        slots[slots.index(min(slots))] = start_s + 0.1
        waits.append(start_s - now_s)
    return waits, places


def test_domain_with_too_few_targets_spills_before_callers_are_late():
    """Guards against locality that costs service.

    One failure domain sends 1.4 times what its own target serves, while that
    of the other has room.
    """
    waits, places = serve_uneven_load(share_near=0.93, calls_per_s=135.0)
    assert max(waits) < 0.4
    assert places["far"] >= 0.2 * sum(places.values())


def test_domain_with_room_keeps_its_calls():
    """Guards against a spill where the own failure domain has room."""
    waits, places = serve_uneven_load(share_near=0.6, calls_per_s=100.0)
    assert max(waits) < 0.4
    assert places["far"] <= 0.02 * sum(places.values())


def test_closed_gates_are_not_chosen():
    """Guards against calls to targets that accept none."""
    own = make_peer("own", service="other")
    states = [state for state in GateState if state not in ("serving", "cold")]
    peers = [make_peer(str(s), report=make_report(s)) for s in states]
    assert choose(make_placer(own), peers) is None


def test_burst_of_all_daemons_is_not_sent_to_one_target():
    """Guards against bursts from all ingress daemons to the one free target.

    Ten daemons place eight calls each at the same time; all have the same
    reports, in which one target is free and four are half full.
    """
    arrivals = Counter()
    for seed in range(10):
        own = make_peer("own", service="other", failure_domain="x")
        peers = [make_peer("free", failure_domain="a")]
        report = make_report(running=4)
        peers += [make_peer(f"half{n}", report=report) for n in range(4)]
        placer = make_placer(own, seed)
        for _ in range(8):
            peer = choose(placer, peers)
            peer.sent_since_report += 1
            arrivals[peer.record.name] += 1
    assert arrivals["free"] <= 0.5 * sum(arrivals.values())
    assert len(arrivals) == 5


def test_large_answers_stay_in_their_failure_domain_longer():
    """Guards against remote downloads that only save a short wait."""
    own = make_peer("own", service="other")
    near = make_peer("near", report=make_report(running=9, waiting=2))
    far = make_peer("far", failure_domain="b")
    placer = make_placer(own)
    assert choose(placer, [near, far], answer_kb=1.0) is far
    assert choose(placer, [near, far], answer_kb=200.0) is near


def test_burst_with_old_reports_is_not_sent_to_one_target():
    """Guards against a thundering herd in a fleet with infrequent reports.

    Ninety daemons place one call each; the reports are 2 s old, and one of
    ten targets was free at that time.
    """
    arrivals = Counter()
    for seed in range(90):
        own = make_peer("own", service="other", failure_domain="x")
        peers = [make_peer("free")]
        report = make_report(running=4)
        peers += [make_peer(f"half{n}", report=report) for n in range(9)]
        placer = make_placer(own, seed, Clock(2.0))
        arrivals[choose(placer, peers).record.name] += 1
    assert max(arrivals.values()) <= 0.33 * 90
    assert len(arrivals) >= 8


def test_known_targets_elsewhere_are_not_explored():
    """Guards against calls to other failure domains only for exploration.

    With 90 daemons and 100 targets, one call to each target every 10 s was
    most of the traffic.
    """
    own = make_peer("own", service="other")
    near = make_peer("near", report=make_report(runs=100))
    peers = [near]
    report = make_report(runs=100)
    peers += [make_peer(f"far{n}", failure_domain="b", report=report) for n in range(9)]
    placer = make_placer(own, clock=Clock(0.1))
    chosen = Counter(
        placer.choose(peers, set(), CallProfile()).record.name for _ in range(100)
    )
    assert chosen["near"] == 100


def test_daemons_do_not_all_explore_the_same_target():
    """Guards against a thundering herd when a fleet has just started.

    Sixty daemons place two calls each on forty targets without any run.
    """
    arrivals = Counter()
    for seed in range(60):
        own = make_peer("own", service="other")
        peers = [make_peer(f"t{n}", failure_domain="abcd"[n % 4]) for n in range(40)]
        placer = make_placer(own, seed, Clock(11.0))
        for _ in range(2):
            arrivals[placer.choose(peers, set(), CallProfile()).record.name] += 1
    assert max(arrivals.values()) <= 0.15 * 120


def test_target_that_was_never_called_gets_a_call():
    """Guards against new targets that only their own daemon uses."""
    own = make_peer("own", service="other")
    near, new = make_peer("near"), make_peer("new", failure_domain="b")
    placer = make_placer(own)
    near.last_called_s = 0.0
    assert placer.choose([near, new], set(), CallProfile()) is new
    assert placer.choose([near, new], set(), CallProfile()) is near
