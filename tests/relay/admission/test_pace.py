"""Tests of the pace of targets that have just started or recovered."""

import pytest
from pace_play import (
    ANNOUNCED_COLD_S,
    COLD_CALLS_PER_S,
    POLICIES,
    SLOTS,
    PacePlay,
    make_targets,
)
from relay_builders import (
    make_announcement,
    make_gate,
    make_job,
    make_peer,
    make_report,
)

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.relay import GateState, PaceControl
from catkinhollow.relay.admission.gate import MAX_CONSECUTIVE_BROKEN, Gate
from catkinhollow.relay.admission.gate_jobs import Admitted
from catkinhollow.relay.admission.pace import NoPeers, Pace
from catkinhollow.relay.admission.target_load import LoadFigures
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.placement.service_peers import DirectoryPeers

SEEDS = (1, 2, 3)


class Peers(NoPeers):
    """Represent targets whose calls take 100 ms."""

    def __init__(self, *, older):
        self.older = older

    def started_before(self, started_ms):
        return self.older

    def run_ms(self, route):
        return 100.0


def make_new_gate(*, older, slots=8, cold_s=0.0):
    gate = Gate(cold_calls_per_s=10.0, peers=Peers(older=older))
    gate.announce(make_announcement(slots=slots, cold_s=cold_s), 0.0)
    return gate


def fill(gate, now_s, offered=20):
    """Offer calls and return those that start."""
    jobs = [
        make_job(now_s, call_id=number, soft_deadline_s=0.5, deadline_s=9.0)
        for number in range(offered)
    ]
    decisions = [gate.offer(job, now_s) for job in jobs]
    started = [item.job for item in decisions if isinstance(item, Admitted)]
    for job in jobs:
        gate.remove_waiting(job)
    return started


def play(policy, kind, seed):
    return PacePlay(POLICIES[policy], make_targets()[kind], seed).run()


def totals(policy, kind):
    plays = [play(policy, kind, seed) for seed in SEEDS]
    answered = sum(played.answered for played in plays)
    return answered, sum(played.failed for played in plays)


@pytest.mark.parametrize("kind", make_targets())
def test_pace_serves_more_than_a_fixed_rate_and_a_ramp(kind):
    """Guards against a policy that starves a good target or floods a bad one.

    The target that slows each run down by 2 for good looks like one that
    warms up; it gets calls for all slots later than with a ramp.
    """
    answered, failed = totals("pace", kind)
    assert answered >= totals("fixed rate", kind)[0]
    if kind != "slow machine":
        assert answered >= totals("ramp", kind)[0]
    # No target loses more calls than before.
    assert failed <= totals("a4ece27", kind)[1]


def test_slow_to_warm_target_does_not_collapse():
    """Guards against a target that starts again and again under full load."""
    for seed in SEEDS:
        played = play("pace", "slow to warm", seed)
        assert played.target.collapses == 0
        assert not played.gate.pace.in_force


@pytest.mark.parametrize("kind", ["cold", "warm"])
def test_target_that_is_warm_as_announced_loses_little(kind):
    """Guards against capacity that stays idle after a start.

    Callers lose less than the calls of one second of the 30.
    """
    answered, _ = totals("pace", kind)
    before, _ = totals("a4ece27", kind)
    assert answered >= before - len(SEEDS) * SLOTS / 0.2


def test_target_that_said_that_it_is_cold_never_gets_more_than_its_rate():
    """Guards against a second with more calls than a cold target serves."""
    for kind in ("cold", "slow to warm"):
        for seed in SEEDS:
            played = play("pace", kind, seed)
            sent = played.max_sent_in_a_second(0.0, ANNOUNCED_COLD_S)
            assert 0 < sent <= COLD_CALLS_PER_S


def test_targets_of_a_system_that_starts_as_a_whole_are_not_slowed():
    """Guards against refusals in the first seconds of the whole system."""
    gate = make_new_gate(older=False)
    assert gate.report(0.0).slots == 8
    assert len(fill(gate, 0.0)) == 9


def test_target_that_is_newer_than_its_peers_begins_with_a_share():
    """Guards against full load on a target that has just started."""
    gate = make_new_gate(older=True)
    assert len(fill(gate, 0.0)) == 2
    # Placement sees what the pace allows.
    assert gate.report(0.0).slots == 2


def test_calls_double_while_runs_are_like_those_of_the_peers():
    """Guards against a warm target that is held back."""
    gate = make_new_gate(older=True)
    counts = []
    for step in range(4):
        now_s = step * 0.1
        jobs = fill(gate, now_s)
        counts.append(len(jobs))
        for job in jobs:
            gate.finish(job, AttemptKind.ANSWERED, 200, now_s + 0.1)
    assert counts == [2, 4, 8, 9]
    assert not gate.pace.in_force


def test_unclear_start_is_decided_when_peers_report():
    """Guards against full load from a daemon that has started with its target.

    It hears of its peers only after the first announcement.
    """
    gate = make_new_gate(older=None)
    assert gate.report(0.1).slots == 8
    gate.peers.older = True
    assert gate.report(0.5).slots == 2


def test_daemon_that_finds_a_running_target_does_not_slow_it():
    """Guards against a restart of a daemon that costs capacity."""
    gate = Gate(cold_calls_per_s=10.0, peers=Peers(older=None))
    gate.announce(make_announcement(slots=8, sequence=60), 0.0)
    gate.peers.older = True
    assert gate.report(0.5).slots == 8


def test_new_lifetime_after_traffic_begins_with_a_share_without_peers():
    """Guards against full load on the only target after its restart."""
    gate = make_gate(slots=8)
    job = fill(gate, 0.0, 1)[0]
    gate.finish(job, AttemptKind.ANSWERED, 200, 0.1)
    gate.announce(make_announcement("t2", slots=8, started_ms=90_000), 1.0)
    assert gate.report(1.0).slots == 2


def test_recovered_target_begins_with_a_share():
    """Guards against full load on a target that was unreachable for long."""
    gate = make_gate(slots=8)
    for since_s, until_s, slots in ((0.0, 0.5, 4), (1.0, 6.0, 2)):
        gate.pace.end("test")
        job = fill(gate, since_s, 1)[0]
        gate.finish(job, AttemptKind.NOT_CONNECTED, 0, since_s)
        assert gate.state(since_s) is GateState.DOWN
        gate.probe_passed("t1", 0.0, until_s)
        assert gate.report(until_s).slots == slots


def test_target_whose_runs_failed_gets_one_call_at_a_time():
    """Guards against ten broken runs each time that a lying target reopens."""
    gate = make_gate(slots=8)
    for number in range(MAX_CONSECUTIVE_BROKEN):
        job = make_job(0.0, call_id=number)
        assert isinstance(gate.offer(job, 0.0), Admitted)
        gate.finish(job, AttemptKind.BROKEN, 0, 0.0)
    gate.announce(make_announcement(slots=8, sequence=2), 1.0)
    broken = 0
    for step in range(100):
        now_s = 1.0 + 0.01 * step
        for job in fill(gate, now_s, 3):
            broken += 1
            gate.finish(job, AttemptKind.BROKEN, 0, now_s)
    assert broken <= 5
    # The report shows no free slot until the next call may start.
    report = gate.report(2.0)
    assert report.running >= report.slots


def test_evacuated_target_returns_at_a_pace():
    """Guards against full load after an evacuation."""
    gate = make_gate(slots=8)
    gate.set_evacuated(True)
    gate.set_evacuated(False)
    assert gate.state(1.0) is GateState.COLD
    gate.announce(make_announcement(slots=8, sequence=2), 1.1)
    assert gate.report(1.1).slots <= 2


def test_new_lifetime_ends_the_pace_of_the_last_one():
    """Guards against a new target that pays for the failures of the last."""
    gate = make_new_gate(older=True)
    fill(gate, 0.0)
    assert gate.pace.in_force
    gate.peers.older = False
    gate.announce(make_announcement("t2", slots=8, started_ms=90_000), 1.0)
    assert not gate.pace.in_force


def test_calls_are_halved_once_for_the_runs_at_the_same_time():
    """Guards against a pace that falls to one call for one bad moment."""
    pace = Pace()
    pace.begin(8.0, "started", 0.0)
    for _ in range(8):
        pace.record_failure(0.1, 0.0, 0.5)
    assert pace.limit == 4.0
    pace.record_failure(0.6, 0.0, 0.7)
    assert pace.limit == 2.0


def test_failures_as_at_the_peers_do_not_lower_the_pace():
    """Guards against a target that pays for requests that fail everywhere."""
    pace = Pace()
    pace.begin(4.0, "started", 0.0)
    for number in range(50):
        now_s = 0.1 * number
        if number % 5 == 0:
            pace.record_failure(now_s, 0.2, now_s)
        else:
            pace.record_success(1.0, now_s, 20, 20, now_s)
    assert not pace.in_force


def make_directory(reports):
    own = make_peer("own")
    directory = PeerDirectory(own.record)
    for number, report in enumerate(reports):
        peer = make_peer(f"t{number}")
        directory.put(peer.record)
        known = directory.by_address(peer.record.address)
        known.linked = True
        known.update_report(report, 0.0)
    return DirectoryPeers(directory, "stock")


def test_peers_that_started_at_the_same_time_are_not_older():
    """Guards against a whole system that starts at a pace."""
    reports = [make_report(started_ms=100_000 + 500 * n, runs=99) for n in range(8)]
    peers = make_directory(reports)
    assert peers.started_before(103_500) is False
    assert peers.started_before(200_000) is True
    assert make_directory([]).started_before(200_000) is None


def test_peers_that_are_down_are_no_measure():
    """Guards against run times and failures of targets that serve nothing."""
    peers = make_directory(
        [
            make_report(route_ms={"r": 100}, runs=100, failures=10),
            make_report(route_ms={"r": 120}, runs=100, failures=10),
            make_report(GateState.DOWN, route_ms={"r": 900}, runs=100, failures=100),
        ]
    )
    assert peers.run_ms("r") == 110.0
    assert peers.run_ms("other") == 0.0
    assert peers.failure_share() == 0.1


def test_pace_applies_only_where_it_is_asked_for():
    """Guards against a pace at deployments that are served without one."""
    for control, figure, in_force in (
        (PaceControl.AUTO, 0.0, False),
        (PaceControl.AUTO, 1.2, True),
        (PaceControl.NEVER, 1.2, False),
        (PaceControl.ALWAYS, 0.0, True),
    ):
        gate = make_gate(slots=8)
        gate.pace_control = control
        figures = LoadFigures(running=0, waiting=0, slots=8, slowness=figure)
        gate.record_load(figures, 0.0)
        gate.probe_failed()
        gate.announce(make_announcement(sequence=2, slots=8), 5.0)
        gate.report(5.0)
        assert gate.pace.in_force is in_force
