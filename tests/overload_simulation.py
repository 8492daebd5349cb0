"""Play calls at one gate in virtual time, with callers that retry."""

from collections import Counter
from heapq import heapify, heappop, heappush
from itertools import count
from random import Random

from attrs import define, field, frozen
from relay_builders import make_call, make_gate

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.relay import OverloadControl
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_jobs import Admitted, GateJob, Queued, Refused
from catkinhollow.relay.admission.retry_advice import retry_after_s

TAIL_FACTOR = 5.0
TAIL_SHARE = 0.03
ROUND_TRIP_S = 0.02


@frozen(kw_only=True)
class Kind:
    """Describe one kind of calls; times are in seconds."""

    name: str
    run_s: float
    spread: float
    soft_deadline_s: float
    deadline_s: float
    share: float
    rank: int = 1
    retries: int = 1


@frozen
class _Attempt:
    """Represent one attempt of a caller."""

    kind: Kind
    first_s: float
    retries_left: int


@define(kw_only=True)
class OverloadSimulation:
    """Offer calls to one gate at a multiple of the capacity."""

    kinds: list[Kind]
    offered_share: float
    controls_overload: bool
    urgent_calls_wait: bool = False
    seed: int = 1
    slots: int = 6
    seconds: float = 60.0
    offered: Counter = field(factory=Counter)
    in_time: Counter = field(factory=Counter)
    late: Counter = field(factory=Counter)
    refused_after_s: list[float] = field(factory=list)
    """Wait of each attempt that was refused."""
    _ties: count = field(factory=count, init=False)
    _attempts: dict[GateJob, _Attempt] = field(factory=dict, init=False)
    _at_target: list[GateJob] = field(factory=list, init=False)
    _events: list[tuple] = field(factory=list, init=False)
    _random: Random = field(init=False)
    _gate: Gate = field(init=False)
    _free_slots: int = field(init=False)

    def __attrs_post_init__(self):
        self._random = Random(self.seed)
        self._gate = make_gate(slots=self.slots)
        if self.controls_overload:
            self._gate.overload_control = OverloadControl.ALWAYS
            self._gate.urgent_calls_wait = self.urgent_calls_wait
        self._free_slots = self.slots

    def run(self):
        """Play all calls and return the simulation."""
        self._events = list(self._arrivals())
        heapify(self._events)
        while self._events:
            now_s, _, handle, item = heappop(self._events)
            handle(item, now_s)
            for decision in self._gate.decide(now_s):
                self._carry_out(decision, now_s)
            due_s = self._gate.next_decision_s(now_s)
            if self._events and due_s < self._events[0][0]:
                self._schedule(max(due_s, now_s) + 1e-4, self._wake_up, None)
        return self

    def served(self, name):
        """Return the share of the calls of a kind that were answered."""
        return (self.in_time[name] + self.late[name]) / self.offered[name]

    def served_in_time(self, name):
        """Return the share that was answered before the soft deadline."""
        return self.in_time[name] / self.offered[name]

    def _arrivals(self):
        total = sum(kind.share for kind in self.kinds)
        tail = 1 + TAIL_SHARE * (TAIL_FACTOR - 1)
        work_s = sum(kind.share / total * kind.run_s * tail for kind in self.kinds)
        rate = self.offered_share * self.slots / work_s
        weights = [kind.share for kind in self.kinds]
        now_s = 0.0
        while (now_s := now_s + self._random.expovariate(rate)) < self.seconds:
            kind = self._random.choices(self.kinds, weights)[0]
            self.offered[kind.name] += 1
            attempt = _Attempt(kind, now_s, kind.retries)
            yield now_s, next(self._ties), self._arrive, attempt

    def _schedule(self, time_s, handle, item):
        heappush(self._events, (time_s, next(self._ties), handle, item))

    def _arrive(self, attempt, now_s):
        kind = attempt.kind
        job = GateJob(
            call=make_call(
                next(self._ties),
                route=kind.name,
                rank=kind.rank,
                latency_ms=int(kind.soft_deadline_s * 1000),
            ),
            arrived_s=now_s,
            soft_deadline_s=now_s + kind.soft_deadline_s,
            deadline_s=attempt.first_s + kind.deadline_s,
        )
        self._attempts[job] = attempt
        decision = self._gate.offer(job, now_s)
        if not isinstance(decision, Queued):
            self._carry_out(decision, now_s)

    def _carry_out(self, decision, now_s):
        if isinstance(decision, Refused):
            self._refuse(decision, now_s)
        elif isinstance(decision, Admitted) and self._free_slots:
            self._start(decision.job, now_s)
        else:
            self._at_target.append(decision.job)

    def _refuse(self, refused, now_s):
        attempt = self._attempts.pop(refused.job)
        self.refused_after_s.append(now_s - refused.job.arrived_s)
        left_s = attempt.first_s + attempt.kind.deadline_s - now_s
        if attempt.retries_left and left_s > 0:
            delay_s = retry_after_s(
                refused.retry_after_s, left_s, self._random.random()
            )
            retry = _Attempt(attempt.kind, attempt.first_s, attempt.retries_left - 1)
            self._schedule(now_s + delay_s + ROUND_TRIP_S, self._arrive, retry)

    def _start(self, job, now_s):
        self._free_slots -= 1
        kind = self._attempts[job].kind
        factor = max(0.2, self._random.gauss(1.0, kind.spread))
        if self._random.random() < TAIL_SHARE:
            factor *= TAIL_FACTOR
        self._schedule(now_s + kind.run_s * factor, self._end, job)

    def _end(self, job, now_s):
        self._gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
        self._free_slots += 1
        attempt = self._attempts.pop(job)
        taken_s = now_s - attempt.first_s
        if taken_s <= attempt.kind.soft_deadline_s:
            self.in_time[attempt.kind.name] += 1
        elif taken_s <= attempt.kind.deadline_s:
            self.late[attempt.kind.name] += 1
        if self._at_target:
            self._start(self._at_target.pop(0), now_s)

    def _wake_up(self, item, now_s):
        """Let the gate decide again."""
