"""Seeded simulations of ingress daemons that share a cold target."""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from attrs import Factory, define

from catkinhollow.calls.call import SendTo, Wait
from catkinhollow.calls.dispatch import WAKE_INTERVAL_S
from catkinhollow.calls.exchange import Outcome
from tests.builders import ERROR, OK, UNREACHABLE, begin_call, make_member, make_router

BEGIN_S, FAULT_S, END_S = 1000.0, 1002.0, 1014.0
WARM_UP_S = 10.0
SLOTS = 10
SERVICE_TIME_S = 0.02
CALLS_PER_S = 0.45 * 5 * SLOTS / SERVICE_TIME_S


@define
class NaivePicker:
    """Picks any target with a free slot, as if all of them were warm."""

    random: Random

    def pick(self, pool, max_in_flight, excluded, now_s):
        free = [entry for entry in pool.entries if entry.stats.in_flight < SLOTS]
        return self.random.choice(free)


@define
class SimulatedTarget:
    """Sustains few concurrent calls while cold.

    More calls slow it down; above twice as many, they fail.
    """

    cold_at_s: float = 0.0
    warm_up_s: float = WARM_UP_S
    in_flight: int = 0
    cold_calls: int = 0
    overruns: int = 0
    dead: bool = False

    def arrive(self, now_s):
        """Return the result of a request and its duration in seconds."""
        if self.dead:
            self.in_flight += 1
            return UNREACHABLE, 0.001
        age = (now_s - self.cold_at_s) / self.warm_up_s
        warm = not 0.0 <= age < 1.0
        sustained = SLOTS if warm else int(1 + (SLOTS - 1) * age)
        self.in_flight += 1
        self.cold_calls += not warm
        self.overruns += not warm and self.in_flight > sustained
        if self.in_flight > 2 * sustained:
            return ERROR, SERVICE_TIME_S
        return OK, SERVICE_TIME_S * max(1.0, self.in_flight / sustained)


@define
class Simulation:
    """Runs the events of several ingress daemons in the order of time."""

    targets: list
    random: Random
    mean_interval_s: float
    routers: dict = Factory(dict)
    queue: list = Factory(list)
    order: count = Factory(count)
    outcomes: list = Factory(list)
    waiting: set = Factory(set)
    waking: set = Factory(set)
    notified: list = Factory(list)

    def schedule(self, at_s, action, *arguments):
        heappush(self.queue, (at_s, next(self.order), action, arguments))

    def run(self):
        while self.queue:
            now_s, _, action, arguments = heappop(self.queue)
            action(now_s, *arguments)
            while self.notified:
                self.resume(now_s, *self.notified.pop())

    def begin(self, now_s, daemon):
        router = self.routers.get(daemon)
        if router is None:
            return
        next_s = now_s + self.random.expovariate(1.0 / self.mean_interval_s)
        if next_s < END_S:
            self.schedule(next_s, self.begin, daemon)
        call = begin_call(router, now_s).default_value(None)
        if call:
            self.step(now_s, router, call)
        else:
            self.outcomes.append(Outcome.NOT_RUN)

    def step(self, now_s, router, call):
        step = None if call.done else call.next_step(now_s)
        if isinstance(step, SendTo):
            target = self.targets[int(step.entry.record.address[1])]
            result, time_s = target.arrive(now_s)
            self.schedule(now_s + time_s, self.finish, router, call, target, result)
        elif isinstance(step, Wait):
            self.wait(now_s, router, call, step.until_s)
        else:
            self.outcomes.append(call.outcome)

    def finish(self, now_s, router, call, target, result):
        target.in_flight -= 1
        call.finish_attempt(result, now_s)
        self.step(now_s, router, call)

    def wait(self, now_s, router, call, until_s):
        self.waiting.add(call)
        self.schedule(until_s, self.resume, router, call)
        call.on_wait_end(lambda: self.notified.append((router, call)))
        if router not in self.waking:
            self.waking.add(router)
            self.schedule(now_s + WAKE_INTERVAL_S, self.wake, router)

    def resume(self, now_s, router, call):
        if call in self.waiting:
            self.waiting.discard(call)
            self.step(now_s, router, call)

    def wake(self, now_s, router):
        if router.wake(now_s):
            self.schedule(now_s + WAKE_INTERVAL_S, self.wake, router)
        else:
            self.waking.discard(router)


def simulate(daemons, cold, announced, naive=False, *, seed=1, fault=None):
    """Return the cold target and the fraction of all calls that was answered.

    The fault is a function that is called once, at FAULT_S, with the routers,
    members, targets and random generator.
    """
    random = Random(seed)
    picker = NaivePicker(random) if naive else None
    started_ms = int(BEGIN_S * 1000) if announced else 0
    members = [
        make_member(0, started_ms=started_ms),
        *(make_member(i) for i in range(1, 5)),
    ]
    targets = [SimulatedTarget(**cold), *(SimulatedTarget() for _ in range(4))]
    simulation = Simulation(targets, random, daemons / CALLS_PER_S)
    routers = simulation.routers
    for daemon in range(daemons):
        routers[daemon] = make_router(members, None, 1 / daemons, random, picker)
        simulation.schedule(BEGIN_S, simulation.begin, daemon)
    if fault is not None:
        simulation.schedule(FAULT_S, fault, routers, members, targets, random)
    simulation.run()
    outcomes = simulation.outcomes
    return targets[0], outcomes.count(Outcome.ANSWERED) / len(outcomes)


@pytest.mark.parametrize("daemons", [1, 3, 20])
@pytest.mark.parametrize(
    ("cold", "announced", "bound"),
    [
        ({"cold_at_s": BEGIN_S}, True, 0.1),
        ({"cold_at_s": BEGIN_S, "warm_up_s": 2 * WARM_UP_S}, True, 0.25),
        ({"cold_at_s": BEGIN_S + 3.0}, False, 0.25),
    ],
)
def test_cold_target_is_not_overrun(daemons, cold, announced, bound):
    """Guards against ingress daemons that together overload a cold target."""
    ours, answered = simulate(daemons, cold, announced)
    naive, _ = simulate(daemons, cold, announced, naive=True)
    assert ours.cold_calls > 100
    assert ours.overruns < bound * naive.overruns
    assert answered > 0.999
