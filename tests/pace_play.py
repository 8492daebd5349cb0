"""Play a target that starts or recovers, with a policy for its calls.

The target has 8 slots and runs of 0.2 s, gets 60 calls per second, and its
peers run the same calls in 0.2 s.
"""

from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from attrs import define, field
from relay_builders import make_announcement, make_job

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_jobs import Admitted

SLOTS = 8
RUN_S = 0.2
CALLS_PER_S = 60.0
SECONDS = 30.0
ANNOUNCED_COLD_S = 3.0
COLD_FACTOR = 4.0
COLD_CALLS_PER_S = 5.0


class Peers:
    """Represent targets that have run calls for a long time."""

    def started_before(self, started_ms):
        return True

    def run_ms(self, route):
        return 1000.0 * RUN_S

    def failure_share(self):
        return 0.0


@define(eq=False)
class Target:
    """Run calls; one that is not warm stands only some of them.

    With more it fails them, and has to warm up again.
    """

    warm_s: float = 0.0
    """Time that it takes to become warm."""
    announces_cold: bool = True
    fails: object = lambda now_s: False
    down: object = lambda now_s: False
    slowness: float = 1.0
    starts: list = field(factory=list)
    cold_since_s: float = 0.0
    collapses: int = 0

    def coldness(self, now_s):
        """Return 1 for a target that has just started, 0 for a warm one."""
        if not self.warm_s:
            return 0.0
        return max(0.0, 1.0 - (now_s - self.cold_since_s) / self.warm_s)

    def begin(self, running, now_s):
        """Return the run time and whether the run will fail."""
        coldness = self.coldness(now_s)
        # At the cold rate four calls are there on average. A target that is
        # less than 1.6 times as slow as usual stands calls for all slots.
        stands = 5.0 + (SLOTS - 5.0) * min(1.0, (1.0 - coldness) / 0.8)
        overloaded = running > stands
        if overloaded:
            self.collapses += 1
            self.cold_since_s = now_s
        factor = 1.0 + (COLD_FACTOR - 1.0) * coldness
        failed = overloaded or self.fails(now_s)
        return RUN_S * self.slowness * factor, failed


def make_targets():
    """Return the kinds of targets that the policies are compared on."""
    return {
        "cold": Target(warm_s=ANNOUNCED_COLD_S),
        "slow to warm": Target(warm_s=12.0),
        "flapping": Target(down=lambda now_s: now_s % 4.0 >= 3.0),
        "lying": Target(fails=lambda now_s: now_s < 8.0),
        "never recovering": Target(fails=lambda now_s: True),
        "slow machine": Target(slowness=2.0),
        "warm": Target(announces_cold=False),
    }


class PacePolicy(Gate):
    """Raise and lower by the answers."""


class BeforePolicy(Gate):
    """Limit nothing beyond the announced cold time, as at a4ece27."""

    def _request_pace(self, reason, share):
        pass


class FixedRatePolicy(BeforePolicy):
    """Start calls at the cold rate for 10 s after the start or recovery."""

    restricted_s = 10.0
    since_s = 0.0
    next_s = 0.0

    def _request_pace(self, reason, share):
        self.since_s = None

    def _can_start(self, now_s):
        if self.since_s is None:
            self.since_s = now_s
        if not super()._can_start(now_s):
            return False
        if now_s - self.since_s >= self.restricted_s:
            return True
        if now_s < self.next_s:
            return False
        self.next_s = now_s + 1.0 / self.rate(now_s)
        return True

    def next_decision_s(self, now_s):
        due_s = super().next_decision_s(now_s)
        return min(due_s, max(self.next_s, now_s)) if self._waiting else due_s

    def rate(self, now_s):
        return COLD_CALLS_PER_S


class RampPolicy(FixedRatePolicy):
    """Raise the rate with time to that of all slots within 10 s."""

    def rate(self, now_s):
        done = min(1.0, (now_s - self.since_s) / self.restricted_s)
        return COLD_CALLS_PER_S + done * (SLOTS / RUN_S - COLD_CALLS_PER_S)


POLICIES = {
    "a4ece27": BeforePolicy,
    "fixed rate": FixedRatePolicy,
    "ramp": RampPolicy,
    "pace": PacePolicy,
}


class PacePlay:
    """Play one target under one policy."""

    def __init__(self, policy, target, seed, peers=None, sequence=9):
        self.random = Random(seed)
        self.target = target
        self.gate = policy(cold_calls_per_s=COLD_CALLS_PER_S, peers=peers or Peers())
        self.events, self.tie = [], count()
        self.running, self.waiting = set(), []
        self.lost_at = {}
        self.sent_at_s, self.answered_s, self.failed = [], [], 0
        self.sequence = sequence
        self.wake_s = inf
        at_s = 0.01
        while at_s < SECONDS:
            job = make_job(at_s, call_id=1, soft_deadline_s=1.0, deadline_s=2.0)
            self.push(at_s, self.arrive, job)
            at_s += self.random.expovariate(CALLS_PER_S)
        for step in range(int(SECONDS)):
            self.push(float(step), self.announce, None)
        for step in range(int(2 * SECONDS)):
            self.push(0.5 * step + 0.25, self.probe, None)

    def run(self):
        while self.events:
            now_s, _, action, job = heappop(self.events)
            action(now_s, job)
            self.execute(now_s, self.gate.decide(now_s))
            due_s = max(self.gate.next_decision_s(now_s), now_s + 0.005)
            if due_s < self.wake_s or (self.wake_s <= now_s and due_s < inf):
                self.wake_s = due_s
                self.push(due_s, lambda *_: None, None)
        return self

    @property
    def answered(self):
        """Return the number of calls answered within the soft deadline."""
        return len(self.answered_s)

    def answered_within(self, start_s, end_s):
        return sum(start_s <= at_s < end_s for at_s in self.answered_s)

    def max_sent_in_a_second(self, start_s, end_s):
        times = [at_s for at_s in self.sent_at_s if start_s <= at_s < end_s]
        return max(
            (sum(at_s <= other < at_s + 1.0 for other in times) for at_s in times),
            default=0,
        )

    def push(self, at_s, action, job):
        heappush(self.events, (at_s, next(self.tie), action, job))

    def announce(self, now_s, _):
        if self.target.down(now_s):
            return
        self.sequence += 1
        cold_s = 0.0
        if self.target.announces_cold and self.target.warm_s:
            cold_s = max(0.0, ANNOUNCED_COLD_S - now_s)
        self.gate.announce(
            make_announcement(
                slots=SLOTS,
                sequence=self.sequence,
                started_ms=100_000,
                cold_s=cold_s,
            ),
            now_s,
        )

    def probe(self, now_s, _):
        if not self.gate.needs_probe:
            return
        if self.target.down(now_s):
            self.gate.probe_failed()
        else:
            self.gate.probe_passed("t1", 0.0, now_s)

    def arrive(self, now_s, job):
        self.execute(now_s, [self.gate.offer(job, now_s)])

    def execute(self, now_s, decisions):
        for decision in decisions:
            if not isinstance(decision, Admitted):
                continue
            self.sent_at_s.append(now_s)
            if self.target.down(now_s):
                self.push(now_s + 0.001, self.refuse_connection, decision.job)
            elif len(self.running) < SLOTS:
                self.start(now_s, decision.job)
            else:
                self.waiting.append(decision.job)

    def refuse_connection(self, now_s, job):
        self.gate.finish(job, AttemptKind.NOT_CONNECTED, 0, now_s)

    def start(self, now_s, job):
        self.running.add(job)
        run_s, failed = self.target.begin(len(self.running), now_s)
        if failed:
            self.push(now_s + 0.02, self.fail, job)
        else:
            self.push(now_s + run_s * self.random.uniform(0.8, 1.2), self.end, job)

    def leave_slot(self, now_s, job):
        self.running.discard(job)
        if self.waiting:
            self.start(now_s, self.waiting.pop(0))

    def fail(self, now_s, job):
        self.leave_slot(now_s, job)
        self.failed += 1
        self.gate.finish(job, AttemptKind.BROKEN, 0, now_s)

    def end(self, now_s, job):
        self.leave_slot(now_s, job)
        if self.target.down(now_s):
            self.failed += 1
            self.gate.finish(job, AttemptKind.BROKEN, 0, now_s)
            return
        self.gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
        if now_s <= job.soft_deadline_s:
            self.answered_s.append(now_s)
