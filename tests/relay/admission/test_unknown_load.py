"""Tests of what a target holds beyond the calls that its gate knows."""

from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

import pytest
from relay_builders import make_announcement, make_gate, make_job

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.gate_jobs import Admitted, Queued, Refused
from catkinhollow.relay.admission.target_load import LoadFigures


def start(gate, number, now_s=0.0):
    job = make_job(now_s, call_id=number, soft_deadline_s=5.0, deadline_s=9.0)
    assert isinstance(gate.offer(job, now_s), Admitted)
    return job


def test_calls_beyond_the_gates_knowledge_take_slots():
    """Guards against calls to a target that is full of abandoned runs."""
    gate = make_gate(slots=4)
    job = start(gate, 1)
    gate.record_load(LoadFigures(4, 1, 4), 0.1)
    gate.finish(job, AttemptKind.ANSWERED, 200, 0.1)
    assert gate.occupied(0.1) == 4
    assert gate.report(0.1).running == 4
    assert gate.needs_load(0.1)
    start(gate, 2, 0.1)
    waiting = make_job(0.1, call_id=3, soft_deadline_s=5.0, deadline_s=9.0)
    assert isinstance(gate.offer(waiting, 0.1), Queued)
    # A later header says that the runs have ended.
    gate.record_load(LoadFigures(1, 0, 4), 0.2)
    assert [d.job for d in gate.decide(0.2) if isinstance(d, Admitted)] == [waiting]


def test_occupied_slots_are_forgotten_without_a_header():
    """Guards against a gate that a silent target keeps closed."""
    gate = make_gate(slots=2)
    gate.record_load(LoadFigures(2, 3, 2), 0.0)
    waiting = make_job(0.0, call_id=1, soft_deadline_s=9.0, deadline_s=18.0)
    assert isinstance(gate.offer(waiting, 0.0), Queued)
    assert gate.next_decision_s(0.0) == 2.0
    assert gate.decide(1.9) == []
    assert [type(decision) for decision in gate.decide(2.01)] == [Admitted]


def test_header_that_is_older_than_the_last_answers_takes_no_slot():
    """Guards against slots that stay unused because answers overtake."""
    gate = make_gate(slots=2)
    jobs = [start(gate, 1), start(gate, 2)]
    gate.finish(jobs[0], AttemptKind.ANSWERED, 200, 0.1)
    gate.record_load(LoadFigures(2, 0, 2), 0.11)
    assert gate.occupied(0.11) == 0


def test_new_lifetime_holds_no_unknown_calls():
    """Guards against a restarted target that counts as full."""
    gate = make_gate(slots=2)
    gate.record_load(LoadFigures(2, 3, 2), 0.0)
    gate.announce(make_announcement("t2", started_ms=9000), 0.1)
    assert gate.occupied(0.1) == 0


def test_run_of_an_earlier_lifetime_is_not_held_by_the_new_one():
    """Guards against a restarted target that counts lost runs as its own."""
    gate = make_gate(slots=2)
    job = start(gate, 1)
    gate.announce(make_announcement("t2", started_ms=9000), 0.1)
    gate.record_load(LoadFigures(0, 0, 2), 0.2)
    gate.finish(job, AttemptKind.TIMEOUT, 0, 0.3)
    assert gate.occupied(0.3) == 0


class HangingTarget:
    """Run calls on 4 slots, queue 2 more, and never answer any other.

    It does not notice that a caller has left.
    """

    slots, queue = 4, 2

    def __init__(self):
        self.running, self.waiting, self.hung = set(), [], 0

    def header(self):
        return LoadFigures(len(self.running), len(self.waiting), self.slots)


class HangingPlay:
    """Play 20 s with slow-downs at a gate with a hanging target.

    A run takes 0.16 s, and 0.8 s in every third second. Callers leave after
    0.5 s, which the target does not notice.
    """

    def __init__(self, seed, *, reads_header):
        self.random = Random(seed)
        self.reads_header = reads_header
        self.gate = make_gate(slots=HangingTarget.slots)
        self.target = HangingTarget()
        self.events, self.tie = [], count()
        self.answered = 0
        at_s = 0.0
        while at_s < 20.0:
            job = make_job(at_s, call_id=1, deadline_s=0.5)
            self.push(at_s, self.arrive, job)
            at_s += self.random.expovariate(22.0)
        for step in range(40):
            self.push(0.5 * step, self.probe, None)

    def run(self):
        while self.events:
            now_s, _, action, job = heappop(self.events)
            action(now_s, job)
            self.execute(now_s, self.gate.decide(now_s))
            due_s = self.gate.next_decision_s(now_s)
            if due_s < inf:
                self.push(max(due_s, now_s + 0.001), lambda *_: None, None)
        return self

    def push(self, at_s, action, job):
        heappush(self.events, (at_s, next(self.tie), action, job))

    def arrive(self, now_s, job):
        self.execute(now_s, [self.gate.offer(job, now_s)])

    def leave(self, now_s, job):
        if job in self.gate._running:
            self.gate.finish(job, AttemptKind.CANCELLED, 0, now_s)

    def probe(self, now_s, _):
        if self.reads_header and self.gate.needs_load(now_s):
            self.gate.record_load(self.target.header(), now_s)

    def end(self, now_s, job):
        self.target.running.discard(job)
        if self.target.waiting:
            self.start(now_s, self.target.waiting.pop(0))
        if job in self.gate._running:
            if self.reads_header:
                self.gate.record_load(self.target.header(), now_s)
            self.gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
            self.answered += now_s <= job.soft_deadline_s

    def start(self, now_s, job):
        self.target.running.add(job)
        run_s = 0.8 if int(now_s) % 3 == 2 else 0.16
        self.push(now_s + run_s * self.random.uniform(0.9, 1.1), self.end, job)

    def execute(self, now_s, decisions):
        target = self.target
        for decision in decisions:
            if not isinstance(decision, Admitted):
                continue
            self.push(decision.job.deadline_s, self.leave, decision.job)
            if len(target.running) < target.slots:
                self.start(now_s, decision.job)
            elif len(target.waiting) < target.queue:
                target.waiting.append(decision.job)
            else:
                target.hung += 1


@pytest.mark.parametrize("seed", range(1, 6))
def test_target_is_not_sent_more_than_it_can_queue(seed):
    """Guards against requests that are never answered.

    Without the load header the gate sends calls in the place of those whose
    callers have left, although the target still runs them.
    """
    played = HangingPlay(seed, reads_header=True).run()
    before = HangingPlay(seed, reads_header=False).run()
    assert before.target.hung > 0
    assert played.target.hung == 0
    assert played.answered >= before.answered


def test_full_target_refuses_at_its_gate():
    """Guards against calls that wait at the gate of a target that hangs."""
    gate = make_gate(slots=4)
    gate.record_load(LoadFigures(4, 20, 4), 0.0)
    assert isinstance(gate.offer(make_job(0.0, soft_deadline_s=0.15), 0.0), Refused)
