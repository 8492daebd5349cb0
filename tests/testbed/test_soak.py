"""Tests of the soak test under faults and of its parts."""

from itertools import pairwise
from random import Random

import pytest
import trio

from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import MoveProgress, OrderState
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports
from catkinhollow.testbed.soak import Soak
from catkinhollow.testbed.soak_faults import (
    CONNECTION_FAULTS,
    MAX_FAULT_S,
    MIN_HOLD_S,
    STOP_SIGNALS,
    FaultKind,
    Place,
    plan_faults,
    plan_late_frames,
    plan_signals,
)
from catkinhollow.testbed.soak_ledger import RECOVERY_S, WINDOW_S, SoakLedger
from catkinhollow.testbed.soak_versions import STABLE_WINDOW_S, TouchRecord

# Seeds that found a fault. The plans of all seeds have been different since
# faults on connections between daemons were added.
# 12: a gate stayed open after its target behind a proxy had ended.
# 43 (6 daemons, 20 s): a request that raced the close of its connection was
#     reported as lost; see the test of that race.
# 231 (6 daemons, 20 s): a request was lost at a daemon that was stopped, once
#     in four plays; suspected is one that was read in its last moment.
# The others make up two minutes of faults together.
CI_RUNS = (
    (12, 4, 10.0),
    (43, 6, 20.0),
    (231, 6, 20.0),
    (101, 6, 30.0),
    (102, 6, 30.0),
    (103, 6, 30.0),
)


# A minute of faults in which frames are held up and delivered late.
LATE_FRAMES_RUNS = ((401, 6, 20.0), (402, 6, 20.0), (403, 6, 20.0))

# A minute of faults with further signals during shutdowns, and with callers
# that pipeline requests and read slowly. On 5233bab each seed finds daemons
# that a signal ends and responses that are cut off.
SIGNAL_RUNS = ((501, 6, 20.0), (503, 6, 20.0), (504, 6, 20.0))


@pytest.mark.processes
@pytest.mark.parametrize(("seed", "daemons", "seconds"), CI_RUNS)
async def test_daemons_keep_the_call_invariants_under_faults(
    seed, daemons, seconds, tmp_path
):
    """Guards against lost, duplicate or late requests when faults overlap."""
    soak = Soak(seed, daemons=daemons, seconds=seconds, directory=tmp_path)
    result = await soak.run()
    assert result.faults
    assert result.statuses[200] > 0
    assert result.judged_answers > 0
    # On a busy machine no time may be without a delay.
    assert result.quiet_windows > 0 or result.stalled_s + result.starved_s > 0
    print(*result.timeline, sep="\n")
    assert result.violations == []


@pytest.mark.processes
@pytest.mark.parametrize(("seed", "daemons", "seconds"), LATE_FRAMES_RUNS)
async def test_daemons_keep_the_call_invariants_when_frames_arrive_late(
    seed, daemons, seconds, tmp_path
):
    """Guards against orders that run twice beside kills and replaced links."""
    soak = Soak(
        seed, daemons=daemons, seconds=seconds, directory=tmp_path, late_frames=True
    )
    result = await soak.run()
    held = [fault for fault in result.faults if fault.kind is FaultKind.HELD]
    assert held
    assert result.statuses[200] > 0
    print(*result.timeline, sep="\n")
    assert result.violations == []


@pytest.mark.processes
@pytest.mark.parametrize(("seed", "daemons", "seconds"), SIGNAL_RUNS)
async def test_daemons_keep_the_call_invariants_under_series_of_signals(
    seed, daemons, seconds, tmp_path
):
    """Guards against responses that a stop cuts off for slow callers."""
    soak = Soak(
        seed, daemons=daemons, seconds=seconds, directory=tmp_path, signals=True
    )
    result = await soak.run()
    assert FaultKind.SIGNALS in {fault.kind for fault in result.faults}
    assert result.statuses[200] > 0
    print(*result.timeline, sep="\n")
    assert result.violations == []


def test_signals_leave_the_other_faults_of_a_seed_as_they_are():
    """Guards against seeds that stop showing what they have found."""
    names = ["d0", "d1", "d2"]
    faults = plan_faults(Random(3), names, 60.0)
    added = plan_signals(Random(3), names, 60.0, faults)
    assert faults == plan_faults(Random(3), names, 60.0)
    stops = [fault for fault in added if fault.kind is FaultKind.SIGNALS]
    assert stops
    for stop in stops:
        assert stop.signals[0] in STOP_SIGNALS
        assert len(stop.signals) > 1
        assert stop.end_s <= 60.0


def test_late_frames_leave_the_other_faults_of_a_seed_as_they_are():
    """Guards against seeds that stop showing what they have found."""
    names = ["d0", "d1", "d2"]
    faults = plan_faults(Random(3), names, 60.0)
    late = plan_late_frames(Random(3), names, 60.0, faults)
    assert {fault.kind for fault in late} == {FaultKind.HELD, FaultKind.KILL}
    assert faults == plan_faults(Random(3), names, 60.0)
    held = [fault for fault in late if fault.kind is FaultKind.HELD]
    assert all(fault.duration_s >= MIN_HOLD_S for fault in held)


def test_same_seed_gives_the_same_faults_and_all_end():
    """Guards against a failed seed that can't be reproduced."""
    names = ["d0", "d1", "d2"]
    first = plan_faults(Random(3), names, 60.0)
    assert first == plan_faults(Random(3), names, 60.0)
    assert first
    assert all(fault.end_s <= 60.0 for fault in first)
    assert all(fault.duration_s <= MAX_FAULT_S for fault in first)


class Clock:
    """Return a time that a test sets."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return 0


def test_plan_hits_all_connections_of_one_some_and_all_daemons():
    """Guards against kinds of faults that no seed plays."""
    names = [f"d{number}" for number in range(6)]
    played = {
        (fault.kind, fault.place, len(fault.instances))
        for seed in range(40)
        for fault in plan_faults(Random(seed), names, 60.0)
    }
    for place in Place:
        for kind in CONNECTION_FAULTS:
            is_played = place is not Place.TARGET or kind is not FaultKind.DELAYED
            for count in (1, 3, 6):
                assert ((kind, place, count) in played) is is_played
    late = {
        (fault.kind, len(fault.instances))
        for seed in range(40)
        for fault in plan_late_frames(Random(seed), names, 60.0, [])
    }
    assert {(FaultKind.HELD, count) for count in (1, 3, 6)} < late
    signals = {
        fault.kind
        for seed in range(40)
        for fault in plan_signals(Random(seed), names, 60.0, [])
    }
    kinds = {kind for kind, _, _ in played} | {kind for kind, _ in late} | signals
    assert kinds == set(FaultKind)


def test_faults_come_in_series_that_overlap():
    """Guards against plans in which daemons are never or always in touch."""
    faults = [
        fault
        for fault in plan_faults(Random(5), ["d0", "d1", "d2"], 600.0)
        if fault.kind is not FaultKind.CONFIGURE
    ]
    pairs = list(pairwise(faults))
    overlapping = sum(later.at_s < fault.end_s for fault, later in pairs)
    assert overlapping > len(faults) / 3
    quiet = sum(
        later.at_s - fault.end_s > STABLE_WINDOW_S + WINDOW_S for fault, later in pairs
    )
    assert quiet > 10


def make_ledger(*, runs, status, unsafe=True, ended_s=0.5):
    touch = TouchRecord(["d0"], Clock())
    # The single call is no evidence for the share of calls that succeed.
    with touch.disturb(["d0"]):
        ledger = SoakLedger(1.5, touch)
    ledger.record_request("r", "d0", unsafe=unsafe, now_s=0.0)
    for _ in range(runs):
        ledger.record_run("r")
    ledger.record_response("r", status, ended_s)
    # One call after the recovery succeeds.
    ledger.record_request("last", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.record_run("last")
    ledger.record_response("last", 200, RECOVERY_S + 1.1)
    return ledger


@pytest.mark.parametrize(
    ("runs", "status", "unsafe", "ended_s", "expected"),
    [
        (1, 200, True, 0.5, ""),
        (2, 200, True, 0.5, "duplicate"),
        (2, 200, False, 0.5, ""),
        (1, 503, True, 0.5, "false refusal"),
        (0, 503, True, 0.5, ""),
        (0, 200, True, 0.5, "false answer"),
        (1, 0, True, 0.5, "lost"),
        (1, 504, True, 3.5, "late"),
        (1, 502, True, 0.5, ""),
        (0, 404, True, 0.5, "denied"),
        (0, 302, True, 0.5, "denied"),
        (0, 421, True, 0.5, ""),
    ],
)
def test_each_violation_is_reported(runs, status, unsafe, ended_s, expected):
    """Guards against a soak test that passes in spite of violations."""
    ledger = make_ledger(runs=runs, status=status, unsafe=unsafe, ended_s=ended_s)
    found = ledger.find_violations(0.0)
    assert [violation.kind for violation in found] == ([expected] if expected else [])


def test_killed_daemon_may_lose_its_open_requests():
    """Guards against reported violations that no daemon can prevent."""
    ledger = make_ledger(runs=1, status=0)
    ledger.record_outage("d0", 0.4, 2.0)
    assert ledger.find_violations(0.0) == []
    # An outage does not excuse a duplicate run.
    duplicate = make_ledger(runs=2, status=0)
    duplicate.record_outage("d0", 0.4, 2.0)
    assert len(duplicate.find_violations(0.0)) == 1


@pytest.mark.parametrize(
    ("runs", "ended_s", "lost"), [(0, 0.2, False), (1, 0.2, True), (0, 1.2, True)]
)
def test_only_a_request_that_races_the_close_may_get_no_response(runs, ended_s, lost):
    """Guards against requests that a daemon reads at shutdown and drops.

    Only an unread request may be lost. Seed 43: a request was sent while the
    daemon closed its connections, 1 s before its process ended; it was never
    read and never ran.
    """
    ledger = make_ledger(runs=runs, status=0, ended_s=ended_s)
    ledger.record_shutdown("d0", -2.0, 1.0)
    assert bool(ledger.find_violations(0.0)) is lost


@pytest.mark.parametrize(
    ("runs", "announced", "lost"), [(0, True, False), (1, True, True), (0, False, True)]
)
def test_pipelined_request_without_a_response_may_only_be_unread(runs, announced, lost):
    """Guards against responses that a closed connection cuts off."""
    ledger = make_ledger(runs=runs, status=0)
    ledger.record_unread("r", 1.0, announced=announced, given_up=False)
    assert [each.kind for each in ledger.find_violations(0.0)] == ["lost"] * lost


@pytest.mark.parametrize("stalled", [False, True])
def test_only_a_stalled_caller_may_give_up_a_response(stalled):
    """Guards against a connection that hangs, and against false reports."""
    ledger = make_ledger(runs=1, status=0)
    ledger.record_unread("r", 12.0, announced=False, given_up=True)
    if stalled:
        ledger.record_stall(2.0, 8.0)
    assert bool(ledger.find_violations(0.0)) is not stalled


@pytest.mark.parametrize("status", [None, 1, -15])
def test_stop_that_does_not_end_in_order_is_reported(status):
    """Guards against daemons that a signal ends, or that have to be killed."""
    ledger = make_ledger(runs=1, status=200)
    ledger.record_stop("d0", 1.0, 0)
    assert ledger.find_violations(0.0) == []
    ledger.record_stop("d0", 1.0, status)
    assert [each.kind for each in ledger.find_violations(0.0)] == ["stop"]


def test_response_to_another_request_is_reported():
    """Guards against responses that a connection mixes up."""
    ledger = make_ledger(runs=1, status=200)
    ledger.record_mixed("r", "last")
    assert [each.kind for each in ledger.find_violations(0.0)] == ["mixed"]


def test_requests_during_a_stall_of_the_test_process_are_not_late():
    """Guards against reported delays that the test process itself caused."""
    ledger = make_ledger(runs=1, status=504, ended_s=3.5)
    ledger.record_stall(1.0, 2.6)
    assert ledger.find_violations(0.0) == []


def test_starved_daemon_is_no_excuse_for_a_late_answer():
    """Guards against delays of a daemon that its machine is blamed for."""
    ledger = make_ledger(runs=1, status=504, ended_s=3.5)
    ledger.record_starvation("d0", 1.0, 2.6)
    assert [each.kind for each in ledger.find_violations(0.0)] == ["late"]
    lost = make_ledger(runs=1, status=0, ended_s=3.5)
    lost.record_starvation("d0", 1.0, 2.6)
    assert [each.kind for each in lost.find_violations(0.0)] == ["lost", "late"]


def test_fleet_that_does_not_recover_is_reported():
    """Guards against a soak test that misses daemons without recovery."""
    ledger = make_ledger(runs=1, status=200)
    ledger.record_request("bad", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.record_response("bad", 503, RECOVERY_S + 1.1)
    assert ledger.find_violations(0.0)[0].kind == "recovery"


def make_calls(ledger, *, calls, failed, at_s=10.0):
    for number in range(calls):
        ledger.record_request(f"r{number}", "d0", unsafe=False, now_s=at_s)
        if number >= failed:
            ledger.record_run(f"r{number}")
        status = 502 if number < failed else 200
        ledger.record_response(f"r{number}", status, at_s + 0.1)
    # Calls that succeed mark the begin and the end of the run.
    for request_id, now_s in (("first", 0.0), ("last", 30.0)):
        ledger.record_request(request_id, "d0", unsafe=False, now_s=now_s)
        ledger.record_run(request_id)
        ledger.record_response(request_id, 200, now_s)


@pytest.mark.parametrize(("failed", "kinds"), [(5, set()), (6, {"share"})])
def test_failed_calls_while_all_daemons_are_in_touch_are_reported(failed, kinds):
    """Guards against a share of failed calls that is found at the end only."""
    ledger = SoakLedger(1.5, TouchRecord(["d0", "d1"], Clock()))
    make_calls(ledger, calls=100, failed=failed)
    assert {violation.kind for violation in ledger.find_violations(20.0)} == kinds


def test_calls_beside_faults_do_not_count_for_the_share():
    """Guards against reported shares that faults have caused."""
    clock = Clock()
    clock.now_s = 10.1
    touch = TouchRecord(["d0", "d1"], clock)
    with touch.disturb(["d1"]):
        ledger = SoakLedger(1.5, touch)
    make_calls(ledger, calls=100, failed=50)
    assert ledger.find_violations(20.0) == []
    ledger = SoakLedger(1.5, TouchRecord(["d0"], clock))
    ledger.record_target_fault(8.0, 9.0)
    make_calls(ledger, calls=100, failed=50)
    assert ledger.find_violations(20.0) == []


async def serve(nursery, app):
    port = free_ports(1)[0]
    await nursery.start(serve_on_loopback, app, port)
    return port


async def test_stand_in_store_serves_the_client(nursery):
    """Guards against a stand-in with responses that the client rejects."""
    app = StandInStore()
    port = await serve(nursery, app)
    store = PlatformStore(f"127.0.0.1:{port}")
    spec = {"service": "stock", "target_version": "v2", "duration_s": 9}
    app.write("orders", "stock", spec)
    listing = (await store.list_objects("orders")).ok
    assert [item.name for item in listing.objects] == ["stock"]
    progress = MoveProgress(version="v2", state=OrderState.RUNNING, percent=4.0)
    revision = listing.objects[0].revision
    written = await store.put("orders", "stock", progress, if_revision=revision)
    assert written.is_ok()
    again = await store.put("orders", "stock", progress, if_revision=revision)
    assert again.error.kind is StoreErrorKind.CONFLICT
    seen = await store.watch("orders", after=listing.revision, wait_s=1.0)
    assert seen.ok.objects[0].value.status["percent"] == 4.0
    app.remove("orders", "stock")
    gone = await store.watch("orders", after=seen.ok.revision, wait_s=1.0)
    assert gone.ok.objects[0].deleted
    app.down = True
    assert (await store.list_objects("orders")).is_error()


async def test_watch_misses_no_write_that_is_made_while_the_store_is_down(nursery):
    """Guards against a stand-in whose watch skips a revision."""
    app = StandInStore()
    store = PlatformStore(f"127.0.0.1:{await serve(nursery, app)}")
    spec = {"service": "stock", "target_version": "v2", "duration_s": 9}
    after = (await store.list_objects("orders")).ok.revision
    seen = []

    async def watch():
        seen.append(await store.watch("orders", after=after, wait_s=5.0))

    async with trio.open_nursery() as watching:
        watching.start_soon(watch)
        await trio.sleep(0.2)
        app.down = True
        app.write("orders", "stock", spec)
    app.down = False
    # The watch fails or returns the write.
    assert seen[0].is_error() or seen[0].ok.objects
    again = await store.watch("orders", after=after, wait_s=1.0)
    assert [item.name for item in again.ok.objects] == ["stock"]
