"""Tests of the decisions of a gate, in virtual time."""

from collections import Counter
from heapq import heapify, heappop, heappush
from itertools import count
from random import Random

from relay_builders import make_announcement, make_gate, make_job

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.relay import GateState
from catkinhollow.relay.admission.gate import (
    MAX_CONSECUTIVE_BROKEN,
    PREFETCHED_CALLS,
    Gate,
)
from catkinhollow.relay.admission.gate_jobs import Admitted, Queued, Refused


def test_unknown_target_gets_no_calls():
    """Guards against calls to a different target at the same address.

    It responds with status 421; the gate stays closed until the next
    announcement.
    """
    gate = make_gate()
    gate.finish(start_call(gate), AttemptKind.REFUSED, 421, 0.0)
    assert gate.state(0.0) is GateState.UNKNOWN
    assert isinstance(gate.offer(make_job(), 0.0), Refused)


def test_slots_bound_the_running_calls():
    """Guards against calls that wait in the target, which ignores ranks.

    One call more than the slots is sent, so that no slot is idle between runs.
    """
    gate = make_gate(slots=2)
    kinds = [type(gate.offer(make_job(call_id=number), 0.0)) for number in range(4)]
    assert kinds == [Admitted, Admitted, Admitted, Queued]
    assert gate.running == 3


def test_calls_of_higher_rank_start_first():
    """Guards against urgent calls that wait behind others."""
    gate = make_gate(slots=1)
    first = fill_slots(gate)[0]
    gate.offer(make_job(call_id=2, rank=2), 0.0)
    gate.offer(make_job(call_id=3, rank=0), 0.0)
    gate.finish(first, AttemptKind.ANSWERED, 200, 0.1)
    started = [d.job.call.call_id for d in gate.decide(0.1) if isinstance(d, Admitted)]
    assert started == [3]


def test_call_that_cannot_start_in_time_is_refused_at_once():
    """Guards against calls that wait until their caller gives up."""
    gate = make_gate(slots=1)
    fill_slots(gate)
    decisions = [
        gate.offer(make_job(call_id=number, soft_deadline_s=0.3), 0.0)
        for number in range(2, 12)
    ]
    refused = [d for d in decisions if isinstance(d, Refused)]
    assert refused
    assert all(d.retry_after_s > 0 for d in refused)
    # With runs of 0.1 s a call may wait for at most 0.6 x 0.3 s.
    assert gate.waiting <= 2


def test_call_never_starts_after_its_deadline():
    """Guards against a run for a caller whose daemon ended while it waited.

    The target latency of a route may be longer than the caller waits.
    """
    gate = make_gate(slots=1)
    first = fill_slots(gate)[0]
    late = make_job(call_id=2, soft_deadline_s=1.5, deadline_s=0.5)
    assert isinstance(gate.offer(late, 0.0), Queued)
    assert gate.next_decision_s(0.0) < 0.5
    gate.finish(first, AttemptKind.ANSWERED, 200, 0.55)
    assert [type(decision) for decision in gate.decide(0.55)] == [Refused]


def test_call_whose_answer_would_wait_too_long_for_the_link_is_refused():
    """Guards against downloads that run and miss the deadline on the link."""
    gate = make_gate(slots=1, link_wait_s=lambda: 0.8)
    download = make_job(call_id=1, route="download", deadline_s=0.9)
    gate.record_answer(download, 90_000)
    fill_slots(gate)
    assert isinstance(gate.offer(download, 0.0), Refused)
    lookup = make_job(call_id=2, route="lookup", deadline_s=0.9)
    gate.record_answer(lookup, 400)
    assert isinstance(gate.offer(lookup, 0.0), Queued)
    assert gate.report(0.0).transfer_ms == 800.0


def test_short_lookup_goes_before_new_long_work_of_its_rank():
    """Guards against lookups that miss their deadline behind new long work."""
    gate = make_gate(slots=9)
    first = fill_slots(gate)[0]
    gate.offer(make_job(call_id=2, soft_deadline_s=0.6, latency_ms=600), 0.0)
    gate.offer(make_job(0.01, call_id=3, soft_deadline_s=0.15, latency_ms=150), 0.01)
    gate.finish(first, AttemptKind.ANSWERED, 200, 0.05)
    started = [d.job.call.call_id for d in gate.decide(0.05) if isinstance(d, Admitted)]
    assert started == [3]


def test_long_work_that_has_waited_goes_before_new_short_lookups():
    """Guards against long work that is starved by short lookups."""
    gate = make_gate(slots=9)
    first = fill_slots(gate)[0]
    gate.offer(make_job(call_id=2, soft_deadline_s=0.6, latency_ms=600), 0.0)
    gate.offer(make_job(0.3, call_id=3, soft_deadline_s=0.15, latency_ms=150), 0.3)
    gate.finish(first, AttemptKind.ANSWERED, 200, 0.31)
    started = [d.job.call.call_id for d in gate.decide(0.31) if isinstance(d, Admitted)]
    assert started == [2]


def test_sustained_overload_starves_no_kind_of_a_rank():
    """Guards against an overload at the expense of one kind of calls.

    A target of 18 slots gets 235 lookups/s of 0.04 s and 65 orders/s of 0.3 s,
    which need 29 slots, so that 0.62 of both can be served. When lookups
    always started first, 0.98 of them and 0.47 of the orders were served.
    """
    served, arrived, busy_s = simulate_one_rank(
        {"lookup": (235.0, 0.04, 0.15), "order": (65.0, 0.3, 0.6)}, seconds=20.0
    )
    assert served["lookup"] >= 0.5 * arrived["lookup"]
    assert served["order"] >= 0.5 * arrived["order"]
    assert busy_s >= 0.95 * 18 * 20.0


def test_run_time_of_a_version_depends_on_its_own_runs_only():
    """Guards against a fast new version that is withdrawn as slow.

    A move compares the versions after 8 runs; with the initial estimate in
    the average, 8 runs of 5 ms looked like 46 ms each.
    """
    gate = make_gate()
    complete_runs(gate, 0.005, runs=8)
    assert gate.report(10.0).service_ms < 6.0
    gate.announce(make_announcement(lifetime="l2", version="v2", started_ms=9000), 10.0)
    complete_runs(gate, 0.02, runs=8)
    assert 19.0 < gate.report(20.0).service_ms < 21.0


def test_waiting_call_is_refused_when_others_delay_it_too_long():
    """Guards against late refusals of calls that others have overtaken."""
    gate = make_gate(slots=1)
    fill_slots(gate)
    low = make_job(call_id=2, rank=2, soft_deadline_s=0.3)
    assert isinstance(gate.offer(low, 0.0), Queued)
    refused = []
    for number in range(3, 6):
        gate.offer(make_job(call_id=number, rank=0, soft_deadline_s=1.0), 0.0)
        refused.extend(d.job for d in gate.decide(0.0) if isinstance(d, Refused))
    assert low in refused


def test_cold_target_gets_no_more_than_its_rate():
    """Guards against a cold target that crashes under full load."""
    gate = make_gate(slots=9, cold_calls_per_s=10.0, cold_s=3.0)
    starts = []
    for step in range(100):
        now_s = step * 0.02
        decision = gate.offer(make_job(now_s, call_id=step), now_s)
        decisions = [decision, *gate.decide(now_s)]
        for admitted in (d for d in decisions if isinstance(d, Admitted)):
            starts.append(now_s)
            gate.finish(admitted.job, AttemptKind.ANSWERED, 200, now_s)
    for window_start_s in starts:
        within = sum(
            window_start_s <= start_s < window_start_s + 1.0 for start_s in starts
        )
        assert within <= 10 * 1.5


def test_draining_target_gets_no_more_calls():
    """Guards against calls to a target that has announced its shutdown."""
    gate = make_gate(slots=1)
    running = fill_slots(gate)[0]
    waiting = make_job(call_id=2)
    gate.offer(waiting, 0.0)
    gate.announce(make_announcement(sequence=2, draining=True), 0.1)
    assert [d.job for d in gate.decide(0.1) if isinstance(d, Refused)] == [waiting]
    gate.finish(running, AttemptKind.ANSWERED, 200, 0.2)
    assert isinstance(gate.offer(make_job(call_id=3), 0.2), Refused)


def test_departed_target_stays_closed_after_a_late_announcement():
    """Guards against a delayed announcement that reopens a departed target."""
    gate = make_gate()
    gate.depart("t1", 1000)
    gate.announce(make_announcement(sequence=9), 0.1)
    assert gate.state(0.1) is GateState.DRAINING


def test_departure_before_the_first_announcement_keeps_the_gate_closed():
    """Guards against calls to a target that departed from a new daemon.

    A restarted daemon knows no target when it acknowledges the departure, and
    a delayed announcement arrives afterwards.
    """
    gate = Gate(cold_calls_per_s=10.0)
    gate.depart("t1", 1000)
    gate.announce(make_announcement("t1", sequence=9, started_ms=1000), 2.0)
    assert gate.state(2.0) is GateState.DRAINING
    gate.announce(make_announcement("t1", sequence=1, started_ms=5000), 3.0)
    assert gate.state(3.0) is GateState.SERVING


def test_announcement_of_an_earlier_lifetime_is_outdated():
    """Guards against a delayed announcement of a target that has crashed."""
    gate = make_gate(lifetime="new", started_ms=2000)
    assert not gate.announce(
        make_announcement("old", sequence=99, started_ms=1000), 1.0
    )
    assert gate.lifetime == "new"


def test_same_name_with_a_later_start_is_a_new_lifetime():
    """Guards against sequence numbers of an earlier start of a target."""
    gate = make_gate(sequence=50)
    assert gate.announce(
        make_announcement(sequence=1, started_ms=5000, cold_s=2.0), 1.0
    )
    assert gate.state(1.0) is GateState.COLD


def test_health_check_does_not_open_the_gate_of_a_restarted_daemon():
    """Guards against calls to a target whose departure was acknowledged.

    The previous process of a restarted daemon may have acknowledged it, and a
    departing target can still pass a health check.
    """
    gate = Gate(cold_calls_per_s=10.0)
    gate.probe_passed("t1", 0.0, 0.1)
    assert gate.state(0.1) is GateState.UNKNOWN
    assert isinstance(gate.offer(make_job(0.1), 0.1), Refused)
    gate.announce(make_announcement("t1"), 0.5)
    assert gate.state(0.5) is GateState.SERVING


def test_unreachable_target_is_down_until_a_health_check_passes():
    """Guards against calls to a target whose port is closed."""
    gate = make_gate()
    gate.finish(start_call(gate), AttemptKind.NOT_CONNECTED, 0, 0.0)
    assert gate.state(0.0) is GateState.DOWN
    assert gate.needs_probe
    gate.probe_passed("t1", 0.0, 0.5)
    assert gate.state(0.5) is GateState.SERVING


def test_target_that_only_breaks_connections_is_down():
    """Guards against calls to a target that has exited behind a proxy.

    Each call was accepted and reset, and the gate stayed open until the next
    announcement (seed 12 of the soak test).
    """
    gate = make_gate()
    for _ in range(MAX_CONSECUTIVE_BROKEN):
        assert gate.state(0.1) is GateState.SERVING
        gate.finish(start_call(gate), AttemptKind.BROKEN, 0, 0.1)
    assert gate.state(0.1) is GateState.DOWN
    assert gate.needs_probe
    gate.announce(make_announcement(sequence=2), 0.6)
    assert gate.state(0.6) is GateState.SERVING


def test_health_checks_do_not_open_the_gate_of_a_target_that_breaks_its_runs():
    """Guards against calls to a target whose health checks lie.

    Its gate would open twice a second, for ten broken runs each time.
    """
    gate = make_gate()
    runs = 0
    for step in range(30):
        now_s = step * 0.1
        while gate.state(now_s) is GateState.SERVING:
            gate.finish(start_call(gate), AttemptKind.BROKEN, 0, now_s)
            runs += 1
        if step % 5 == 0:
            gate.probe_passed("t1", 0.0, now_s)
    assert runs == MAX_CONSECUTIVE_BROKEN


def test_answers_between_broken_runs_keep_the_gate_open():
    """Guards against a target marked down because it loses some answers."""
    gate = make_gate()
    for number in range(3 * MAX_CONSECUTIVE_BROKEN):
        kind = AttemptKind.BROKEN if number % 5 else AttemptKind.ANSWERED
        gate.finish(start_call(gate), kind, 200, 0.1)
    assert gate.state(0.1) is GateState.SERVING


def test_silent_connections_do_not_mark_the_target_down():
    """Guards against a gate that closes when kept connections go silent."""
    gate = make_gate()
    run_time_ms = gate.report(0.0).service_ms
    for _ in range(2 * MAX_CONSECUTIVE_BROKEN):
        gate.finish(start_call(gate), AttemptKind.SILENT, 0, 1.1)
    assert gate.state(1.1) is GateState.SERVING
    assert not gate.needs_probe
    assert gate.report(1.1).service_ms == run_time_ms
    assert gate.report(1.1).failures == 0


def test_lost_answers_do_not_slow_the_target_down():
    """Guards against rate limiting a warm target that resets some answers."""
    gate = make_gate(slots=9, cold_calls_per_s=10.0)
    started = 0
    for step in range(100):
        now_s = step * 0.02
        decision = gate.offer(make_job(now_s, call_id=step), now_s)
        if isinstance(decision, Admitted):
            started += 1
            kind = AttemptKind.BROKEN if step % 3 == 0 else AttemptKind.ANSWERED
            gate.finish(decision.job, kind, 200, now_s)
    assert started == 100
    assert gate.needs_probe


def test_target_is_rate_limited_after_an_evacuation_until_it_announces():
    """Guards against full load on targets that became cold in the meantime."""
    gate = make_gate()
    gate.set_evacuated(True)
    assert isinstance(gate.offer(make_job(), 0.0), Refused)
    gate.set_evacuated(False)
    assert gate.state(1.0) is GateState.COLD
    gate.announce(make_announcement(sequence=2), 1.1)
    assert gate.state(1.1) is GateState.SERVING


def test_sustained_overload_serves_calls_in_time_and_by_rank():
    """Guards against an overload in which every answer is late.

    A target with 9 slots and runs of 0.1 s can serve 90 calls/s; it gets 180,
    a third of them urgent. The soft deadline is 0.5 s.
    """
    served, refused_late = simulate_two_ranks(Random(1), rate=180.0, seconds=20.0)
    capacity = 90.0 * 20.0
    in_time = sum(served.values())
    assert in_time >= 0.85 * capacity
    assert served["urgent"] >= 0.95 * 60.0 * 20.0
    assert served["usual"] > 0
    assert refused_late <= 0.02 * 180.0 * 20.0


def start_call(gate):
    job = make_job(call_id=1)
    assert isinstance(gate.offer(job, 0.0), Admitted)
    return job


def complete_runs(gate, run_s, runs):
    for number in range(runs):
        job = make_job(float(number), call_id=number)
        assert isinstance(gate.offer(job, float(number)), Admitted)
        gate.finish(job, AttemptKind.ANSWERED, 200, number + run_s)


def fill_slots(gate):
    """Start all calls that the gate admits at once."""
    return [start_call(gate) for _ in range(gate.report(0.0).slots + PREFETCHED_CALLS)]


def arrival_times(random, rate, seconds):
    arrival_s = 0.0
    while arrival_s < seconds:
        yield arrival_s
        arrival_s += random.expovariate(rate)


def simulate_one_rank(kinds, seconds):
    """Simulate kinds of (rate, run time, soft deadline) on 18 slots."""
    random = Random(5)
    arrivals = [
        (
            run_time_s,
            make_job(
                arrival_s,
                soft_deadline_s=soft_deadline_s,
                deadline_s=soft_deadline_s * 2,
                route=route,
                latency_ms=int(soft_deadline_s * 1000),
            ),
        )
        for route, (rate, run_time_s, soft_deadline_s) in kinds.items()
        for arrival_s in arrival_times(random, rate, seconds)
    ]
    served, _, busy_s = simulate(arrivals, slots=18)
    return served, Counter(job.call.route for _, job in arrivals), busy_s


def simulate_two_ranks(random, rate, seconds):
    """Simulate runs of 0.1 s on 9 slots, a third of them urgent."""
    times = list(arrival_times(random, rate, seconds))
    arrivals = []
    for arrival_s in times:
        urgent = random.random() < 1 / 3
        route = "urgent" if urgent else "usual"
        arrivals.append(
            (0.1, make_job(arrival_s, rank=0 if urgent else 2, route=route))
        )
    served, refused, _ = simulate(arrivals, slots=9)
    return served, sum(waited_s > 0.125 * 0.5 for waited_s in refused)


def simulate(arrivals, slots):
    """Simulate pairs of run time and job at a gate.

    Return the calls served in time by route, how long each refused call had
    waited, and the total time of all runs.
    """
    gate = make_gate(slots=slots)
    tie_breaker = count()
    run_times_s = {job: run_time_s for run_time_s, job in arrivals}
    events = [(job.arrived_s, next(tie_breaker), job) for job in run_times_s]
    heapify(events)
    served, refused, busy_s, running = Counter(), [], 0.0, set()
    # When each slot of the target becomes free; further calls wait for that.
    slots_free_s = [0.0] * slots
    while events:
        now_s, _, job = heappop(events)
        decisions = []
        if job in running:
            gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
            served[job.call.route] += now_s <= job.soft_deadline_s
            busy_s += run_times_s[job]
        else:
            decisions.append(gate.offer(job, now_s))
        decisions += gate.decide(now_s)
        for decision in decisions:
            if isinstance(decision, Admitted):
                end_s = max(now_s, heappop(slots_free_s)) + run_times_s[decision.job]
                heappush(slots_free_s, end_s)
                heappush(events, (end_s, next(tie_breaker), decision.job))
                running.add(decision.job)
            elif isinstance(decision, Refused):
                refused.append(now_s - decision.job.arrived_s)
    return served, refused, busy_s
