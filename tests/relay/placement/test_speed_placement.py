"""Tests of the placement of calls at targets that differ in speed.

The plays run 78 daemons in virtual time, three services with 26 targets each.
The decisions without knowledge of speed are played beside them.
"""

from collections import Counter
from random import Random

import pytest
from load_play import KINDS, Clock, Play
from relay_builders import make_peer, make_report

from catkinhollow.relay.admission.load_header import parse_load_header
from catkinhollow.relay.admission.target_speed import TargetSpeed
from catkinhollow.relay.placement.placer import CallProfile, Distances, LeastWaitPlacer

SEEDS = (1, 2, 3)


class NoSpeed(TargetSpeed):
    """Learn nothing, as before the speed of targets was known."""

    def report_figure(self, slowness, now_s):
        pass

    def record_run(self, route, taken_s, start_slowness, now_s):
        pass


def read_header(gate, header, now_s):
    gate.record_load(parse_load_header(header), now_s)


def read_three_figures(gate, header, now_s):
    gate.record_load(parse_load_header(header.rpartition(b",")[0]), now_s)


def play(seed, **changes):
    return Play(seed, **changes).run()


def play_without_speed(seed, **changes):
    played = Play(seed, **changes)
    for gate in played.gates:
        gate._speed = NoSpeed()
    return played.run()


def late_share(plays, route=None):
    return 1.0 - sum(played.in_time(route) for played in plays) / len(plays)


@pytest.mark.parametrize(
    ("read", "covers_factor"),
    [(read_header, False), (read_header, True), (read_three_figures, False)],
    ids=["momentary figure", "whole figure", "no figure"],
)
def test_calls_end_earlier_where_targets_differ_in_speed(read, covers_factor):
    """Guards against calls at slow targets while fast ones have room.

    Targets take 0.7, 0.7 and 1.6 times the usual time and slow down for
    moments by 1.5 to 5. At 0.9 of the capacity no caller may wait longer than
    its run takes at a target that is idle all the time, except for one in a
    hundred whose daemon could not know of it yet.
    """
    plays = [
        play(seed, load=0.9, on_header=read, covers_factor=covers_factor)
        for seed in SEEDS
    ]
    before = [play_without_speed(seed, load=0.9) for seed in SEEDS]
    assert max(played.passed_over() for played in plays) <= 0.01
    assert late_share(plays) < late_share(before)
    for played in plays:
        for route in KINDS:
            assert played.in_time(route) >= 0.9, route


def test_overload_serves_more_calls_in_time_where_targets_differ():
    """Guards against a fast target that refuses calls that it could run."""
    plays = [play(seed, load=1.2, on_header=read_header) for seed in SEEDS]
    before = [play_without_speed(seed, load=1.2) for seed in SEEDS]
    assert late_share(plays) < late_share(before)
    # The most urgent kind fits into the capacity several times. Only calls at
    # targets that slow down, a fifth of the time, may be late.
    assert late_share(plays, "lookup") < 0.2


@pytest.mark.parametrize("load", [0.6, 0.95])
def test_equal_targets_are_placed_as_before(load):
    """Guards against a change in deployments whose targets are equally fast.

    Run times vary by 0.3, and no load header is seen.
    """
    values = {"factors": (1.0,), "slow": False, "load": load, "seconds": 8.0}
    plays = [
        [(call.peer.record.name, call.end_s) for call in played.calls if call.peer]
        for played in (play(5, **values), play_without_speed(5, **values))
    ]
    assert plays[0] == plays[1]


def place_once_each(peers, ingress, route="r"):
    """Return the arrivals when many daemons place a call at the same time."""
    arrivals = Counter()
    for seed in range(ingress):
        own = make_peer("own", service="other", failure_domain="x")
        placer = LeastWaitPlacer(own, Distances(), Clock(), Random(seed))
        arrivals[placer.choose(peers, set(), CallProfile(route=route)).record.name] += 1
    return arrivals


def make_peers(count, run_ms, name, **report):
    peers = []
    for number in range(count):
        peer = make_peer(f"{name}{number}", report=make_report(runs=99, **report))
        peer.route_ms = {"r": run_ms}
        peers.append(peer)
    return peers


def test_daemons_with_equal_reports_do_not_all_choose_the_same_fast_target():
    """Guards against a herd of 300 daemons at the fastest free target."""
    peers = make_peers(20, 112, "fast") + make_peers(10, 256, "slow")
    arrivals = place_once_each(peers, 300)
    # Three times what each of the fast targets would get at most.
    assert max(arrivals.values()) <= 3 * 300 / 20


def test_daemons_with_equal_reports_do_not_all_choose_the_one_free_target():
    """Guards against a herd at one fast target that has just become free."""
    peers = make_peers(1, 112, "free", running=0)
    peers += make_peers(29, 256, "busy", running=5)
    arrivals = place_once_each(peers, 300)
    assert arrivals["free0"] <= 0.5 * 300
    assert len(arrivals) >= 25


def test_slowed_target_is_avoided_until_its_report_is_old():
    """Guards against a target that is never tried again after a slow-down."""
    usual, slowed = make_peers(2, 200, "t")
    slowed.update_report(make_report(runs=99, speed=0.25), 0.0)
    clock = Clock()
    own = make_peer("own", service="other")
    placer = LeastWaitPlacer(own, Distances(), clock, Random(1))

    def share_of_slowed():
        for peer in (usual, slowed):
            peer.last_called_s = clock.now_s
        chosen = [
            placer.choose([usual, slowed], set(), CallProfile(route="r"))
            for _ in range(200)
        ]
        return chosen.count(slowed) / 200

    assert share_of_slowed() == 0.0
    clock.now_s = 5.0
    usual.update_report(make_report(runs=99, speed=1.0), 5.0)
    assert share_of_slowed() > 0.0


def test_run_times_are_kept_until_the_version_changes():
    """Guards against run times that the next answer makes unknown again."""
    peer = make_peer("t", report=make_report(route_ms={"r": 100}))
    peer.update_report(make_report(), 0.1)
    assert peer.route_ms == {"r": 100}
    peer.update_report(make_report(version="v2"), 0.2)
    assert peer.route_ms == {}
