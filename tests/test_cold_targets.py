"""Seeded simulations of entry daemons that share a cold target."""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from attrs import define

from catkinhollow.call import SendTo
from catkinhollow.exchange import Outcome
from tests.builders import ERROR, OK, UNREACHABLE, begin, make_router, member

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
    """Sustains few calls when cold; is slowed by more, and fails at twice."""

    cold_at_s: float = 0.0
    warm_up_s: float = WARM_UP_S
    in_flight: int = 0
    cold_calls: int = 0
    overruns: int = 0
    dead: bool = False

    def arrive(self, now_s):
        """Return the result of a request and the time that it takes."""
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


def simulate(entries, cold, announced, naive=False, *, seed=1, fault=None):
    """Return the cold target and the part of the calls that was answered.

    A fault is called once, at FAULT_S, with what it may change.
    """
    random, order, outcomes = Random(seed), count(), []
    picker = NaivePicker(random) if naive else None
    started_ms = int(BEGIN_S * 1000) if announced else 0
    members = [member(0, started_ms=started_ms), *(member(i) for i in range(1, 5))]
    targets = [SimulatedTarget(**cold), *(SimulatedTarget() for _ in range(4))]
    queue, routers = [], {}
    for entry in range(entries):
        router = make_router(members, None, 1 / entries, random, picker)
        routers[entry] = router
        heappush(queue, (BEGIN_S, next(order), entry, None))
    while queue:
        now_s, _, entry, attempt = heappop(queue)
        if fault is not None and now_s >= FAULT_S:
            fault(now_s, routers, members, targets, random)
            fault = None
        router = routers.get(entry)
        if router is None and attempt is None:
            continue
        if attempt is None:
            next_s = now_s + random.expovariate(CALLS_PER_S / entries)
            if next_s < END_S:
                heappush(queue, (next_s, next(order), entry, None))
            call = begin(router, now_s).default_value(None)
        else:
            call, target, result = attempt
            target.in_flight -= 1
            call.finished(result, now_s)
        step = call.next_step(now_s) if call and not call.done else None
        if isinstance(step, SendTo):
            target = targets[int(step.entry.record.address[1])]
            result, time_s = target.arrive(now_s)
            attempt = (call, target, result)
            heappush(queue, (now_s + time_s, next(order), entry, attempt))
        else:
            outcomes.append(call.outcome if call else Outcome.NOT_RUN)
    return targets[0], outcomes.count(Outcome.ANSWERED) / len(outcomes)


@pytest.mark.parametrize("entries", [1, 3, 20])
@pytest.mark.parametrize(
    ("cold", "announced", "bound"),
    [
        ({"cold_at_s": BEGIN_S}, True, 0.1),
        ({"cold_at_s": BEGIN_S, "warm_up_s": 2 * WARM_UP_S}, True, 0.25),
        ({"cold_at_s": BEGIN_S + 3.0}, False, 0.25),
    ],
)
def test_cold_target_is_not_overrun(entries, cold, announced, bound):
    """Guards against entry daemons that together overrun a cold target."""
    ours, answered = simulate(entries, cold, announced)
    naive, _ = simulate(entries, cold, announced, naive=True)
    assert ours.cold_calls > 100
    assert ours.overruns < bound * naive.overruns
    assert answered > 0.999
