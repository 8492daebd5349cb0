"""Play the load of a fleet in virtual time, with its gates and placers.

Each daemon has a gate with one target and an ingress with a placer. Frames
between daemons take HOP_S, and reports arrive with answers and with statuses.
"""

from bisect import bisect_right
from collections import Counter
from heapq import heappop, heappush
from itertools import count
from math import inf
from random import Random

from attrs import define, field
from relay_builders import make_announcement, make_call

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.generated.relay import DaemonRecord
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_jobs import Admitted, GateJob, Refused
from catkinhollow.relay.placement.peers import Peer
from catkinhollow.relay.placement.placer import CallProfile, Distances, LeastWaitPlacer

HOP_S = 0.001
STATUS_INTERVAL_S = 1.0
MAX_GATES = 3
# Shorter waits are of no concern to a caller.
MIN_PASSED_OVER_S = 0.1


@define(frozen=True)
class Kind:
    """Describe one kind of calls."""

    share: float
    run_s: float
    soft_s: float
    deadline_s: float
    rank: int = 1


KINDS = {
    "lookup": Kind(0.4, 0.16, 0.5, 1.0, rank=0),
    "browse": Kind(0.3, 0.3, 1.2, 2.4),
    "order": Kind(0.2, 0.6, 2.5, 5.0),
    "export": Kind(0.1, 1.0, 6.0, 8.0, rank=2),
}


class Clock:
    """Return the virtual time."""

    def __init__(self):
        self.now_s = 0.0

    def monotonic(self):
        return self.now_s

    def unix_ms(self):
        return 0


class SlowDowns:
    """Slow a target down for moments: pairs of start and factor."""

    def __init__(self, random, seconds, *, mean_gap_s=4.0, mean_s=1.0):
        self.starts, self.factors = [0.0], [1.0]
        now_s = random.expovariate(1.0 / mean_gap_s)
        while now_s < seconds:
            self.starts.append(now_s)
            self.factors.append(random.uniform(1.5, 5.0))
            now_s += random.expovariate(1.0 / mean_s)
            self.starts.append(now_s)
            self.factors.append(1.0)
            now_s += random.expovariate(1.0 / mean_gap_s)

    def at(self, now_s):
        return self.factors[bisect_right(self.starts, now_s) - 1]

    def end_of(self, now_s, work_s):
        """Return when work ends that starts now."""
        index = bisect_right(self.starts, now_s) - 1
        while True:
            next_s = self.starts[index + 1] if index + 1 < len(self.starts) else inf
            done_s = (next_s - now_s) / self.factors[index]
            if done_s >= work_s:
                return now_s + work_s * self.factors[index]
            work_s -= done_s
            now_s = next_s
            index += 1


@define(eq=False)
class Target:
    """Run calls in the order of their arrival."""

    slots: int
    factor: float
    slow_downs: SlowDowns
    running: set = field(factory=set)
    waiting: list = field(factory=list)
    idle_since_s: float = 0.0
    """Since when it has run no call, infinity if it runs one."""

    def run_s(self, work_s, now_s):
        """Return how long work takes at the present speed."""
        return work_s * self.factor * self.slow_downs.at(now_s)

    def header(self, now_s, *, covers_factor):
        percent = 100.0 * self.slow_downs.at(now_s)
        if covers_factor:
            percent *= self.factor
        text = f"{len(self.running)},{len(self.waiting)},{self.slots},{percent:.0f}"
        return text.encode()


@define(eq=False)
class PlayedCall:
    """Represent a request of a caller."""

    route: str
    ingress: int
    service: str
    arrived_s: float
    work_s: float
    tried: set = field(factory=set)
    passed_over: bool = False
    """Whether it waited longer than its run at an idle target."""
    peer: Peer | None = None
    end_s: float = inf
    refused_s: float = inf


class Play:
    """Play one load; `on_header` passes a load header to a gate."""

    def __init__(
        self,
        seed,
        *,
        factors=(0.7, 0.7, 1.6),
        daemons=78,
        services=3,
        slots=4,
        load=0.85,
        seconds=10.0,
        slow=True,
        covers_factor=False,
        variation=0.3,
        on_header=lambda gate, header, now_s: None,
        make_gate=Gate,
        kinds=KINDS,
    ):
        self.random = Random(seed)
        self.clock = Clock()
        self.kinds = kinds
        self.seconds = seconds
        self.covers_factor = covers_factor
        self.variation = variation
        self.on_header = on_header
        self.events, self.tie = [], count()
        self.calls = []
        self.jobs = {}
        self.targets, self.gates, self.records = [], [], []
        capacity = Counter()
        for index in range(daemons):
            service = f"s{index % services}"
            random = Random(f"{seed} {index}")
            slow_downs = SlowDowns(random, seconds * 3 if slow else 0.0)
            factor = factors[index // services % len(factors)]
            self.targets.append(Target(slots, factor, slow_downs))
            # A fifth of the time at a third of the speed.
            capacity[service] += slots / factor * (0.86 if slow else 1.0)
            gate = make_gate(cold_calls_per_s=10.0)
            gate.announce(make_announcement(slots=slots, sequence=100), 0.0)
            self.gates.append(gate)
            self.records.append(
                DaemonRecord(
                    name=f"d{index}",
                    address=f"d{index}:1",
                    failure_domain=f"f{index // services % 4}",
                    region="r",
                    service=service,
                )
            )
        self.peers, self.placers = [], []
        for index in range(daemons):
            own = Peer(record=self.records[index], linked=True)
            peers = [
                own if other == index else Peer(record=record, linked=True)
                for other, record in enumerate(self.records)
            ]
            by_service = {}
            for peer in peers:
                peer.last_called_s = 0.0
                by_service.setdefault(peer.record.service, []).append(peer)
            for group in by_service.values():
                self.random.shuffle(group)
            self.peers.append((peers, by_service))
            placer = LeastWaitPlacer(
                own, Distances(), self.clock, Random(f"{seed} placer {index}")
            )
            self.placers.append(placer)
        mean_work_s = sum(kind.share * kind.run_s for kind in kinds.values())
        for service, slots_at_speed in capacity.items():
            self._add_arrivals(service, load * slots_at_speed / mean_work_s)
        for index in range(daemons):
            self._push(0.0, self._send_status, index)
            phase_s = self.random.uniform(0.01, STATUS_INTERVAL_S)
            self._push(phase_s, self._repeat_status, index)

    def run(self):
        """Play until all calls have ended."""
        while self.events:
            now_s, _, action, arguments = heappop(self.events)
            self.clock.now_s = now_s
            action(now_s, *arguments)
        return self

    def in_time(self, route=None):
        """Return the share of the calls served within the soft deadline."""
        calls = [call for call in self.calls if route in (None, call.route)]
        good = sum(
            call.end_s - call.arrived_s <= self.kinds[call.route].soft_s
            for call in calls
        )
        return good / len(calls)

    def passed_over(self):
        """Return the share of calls that waited while a target was idle."""
        return sum(call.passed_over for call in self.calls) / len(self.calls)

    def mean_s(self, route=None):
        """Return the mean time of the calls that were served."""
        times = [
            call.end_s - call.arrived_s
            for call in self.calls
            if call.end_s < inf and route in (None, call.route)
        ]
        return sum(times) / len(times)

    def _add_arrivals(self, service, rate):
        random = self.random
        routes = list(self.kinds)
        shares = [kind.share for kind in self.kinds.values()]
        now_s = 0.05
        while now_s < self.seconds:
            route = random.choices(routes, shares)[0]
            call = PlayedCall(
                route=route,
                ingress=random.randrange(len(self.gates)),
                service=service,
                arrived_s=now_s,
                work_s=self.kinds[route].run_s
                * random.uniform(1.0 - self.variation, 1.0 + self.variation),
            )
            self.calls.append(call)
            self._push(now_s, self._place, call)
            now_s += random.expovariate(rate)

    def _push(self, at_s, action, *arguments):
        heappush(self.events, (at_s, next(self.tie), action, arguments))

    def _report(self, index, now_s):
        try:
            return self.gates[index].report(now_s, routes=True)
        except TypeError:
            return self.gates[index].report(now_s)

    def _send_status(self, now_s, index):
        report = self._report(index, now_s)
        for number, (peers, _) in enumerate(self.peers):
            if number != index:
                peers[index].update_report(report, now_s)

    def _repeat_status(self, now_s, index):
        self._send_status(now_s, index)
        if now_s < self.seconds:
            self._push(now_s + STATUS_INTERVAL_S, self._repeat_status, index)

    def _place(self, now_s, call):
        kind = self.kinds[call.route]
        peers, by_service = self.peers[call.ingress]
        own = peers[call.ingress]
        own.update_report(self._report(call.ingress, now_s), now_s)
        values = {"answer_kb": 1.0, "target_latency_ms": 1000.0 * kind.soft_s}
        try:
            profile = CallProfile(route=call.route, **values)
        except TypeError:
            profile = CallProfile(**values)
        peer = None
        if len(call.tried) < MAX_GATES:
            peer = self.placers[call.ingress].choose(
                by_service[call.service], call.tried, profile
            )
        if peer is None:
            call.refused_s = now_s
            return
        call.tried.add(peer.record.address)
        call.peer = peer
        if peer is own:
            self._submit(now_s, call, call.ingress)
        else:
            peer.sent_since_report += 1
            self._push(now_s + HOP_S, self._submit, call, peers.index(peer))

    def _submit(self, now_s, call, index):
        kind = self.kinds[call.route]
        job = GateJob(
            call=make_call(
                len(self.jobs),
                route=call.route,
                rank=kind.rank,
                latency_ms=int(1000 * kind.soft_s),
            ),
            arrived_s=now_s,
            soft_deadline_s=call.arrived_s + kind.soft_s,
            deadline_s=call.arrived_s + kind.deadline_s,
        )
        self.jobs[job] = call
        gate = self.gates[index]
        decision = gate.offer(job, now_s)
        if isinstance(decision, Admitted | Refused):
            self._execute(now_s, index, decision)
        self._advance(now_s, index)

    def _advance(self, now_s, index):
        gate = self.gates[index]
        for decision in gate.decide(now_s):
            self._execute(now_s, index, decision)
        due_s = gate.next_decision_s(now_s)
        if due_s < inf:
            self._push(max(now_s + 0.001, due_s), self._wake, index, due_s)

    def _wake(self, now_s, index, due_s):
        # A later decision may have made this one unnecessary.
        if self.gates[index].next_decision_s(now_s) <= max(now_s, due_s):
            self._advance(now_s, index)

    def _execute(self, now_s, index, decision):
        job = decision.job
        if isinstance(decision, Refused):
            call = self.jobs.pop(job)
            self._push(now_s + HOP_S, self._answer, call, self._report(index, now_s))
            self._push(now_s + HOP_S, self._place, call)
            return
        target = self.targets[index]
        if len(target.running) < target.slots:
            self._run(now_s, index, job)
        else:
            target.waiting.append(job)

    def _run(self, now_s, index, job):
        target = self.targets[index]
        target.running.add(job)
        target.idle_since_s = inf
        call = self.jobs[job]
        call.passed_over = self._was_passed_over(call, index, now_s)
        work_s = call.work_s * target.factor
        self._push(target.slow_downs.end_of(now_s, work_s), self._end, index, job)

    def _was_passed_over(self, call, index, now_s):
        waited_s = now_s - call.arrived_s
        if waited_s < MIN_PASSED_OVER_S:
            return False
        service = self.records[index].service
        return any(
            target.idle_since_s < call.arrived_s
            and target.run_s(call.work_s, call.arrived_s) < waited_s
            for target, record in zip(self.targets, self.records, strict=True)
            if record.service == service
        )

    def _end(self, now_s, index, job):
        target, gate = self.targets[index], self.gates[index]
        target.running.discard(job)
        if target.waiting:
            self._run(now_s, index, target.waiting.pop(0))
        elif not target.running:
            target.idle_since_s = now_s
        header = target.header(now_s, covers_factor=self.covers_factor)
        self.on_header(gate, header, now_s)
        gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
        call = self.jobs.pop(job)
        call.end_s = now_s + HOP_S
        self._push(now_s + HOP_S, self._answer, call, gate.report(now_s))
        self._advance(now_s, index)

    def _answer(self, now_s, call, report):
        call.peer.update_report(report, now_s)
