"""Tests of the order of organisations at a gate, in virtual time."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest
from relay_builders import make_gate, make_job

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.gate_jobs import Admitted
from catkinhollow.relay.organisations.fair_order import MAX_ORGANISATIONS, FairOrder

RUN_S = 0.1
SLOTS = 4
CAPACITY = SLOTS / RUN_S


class Load:
    """Let organisations send calls to one gate, and count who is served."""

    def __init__(self, rates, *, named=True, seed=1):
        """Take the calls per second of each organisation as a function."""
        self.rates = rates
        self.named = named
        self.random = Random(seed)
        self.gate = make_gate(slots=SLOTS)
        self.sent = Counter()
        self.served = Counter()
        self.events = []
        self.numbers = count()

    def run(self, duration_s):
        for name in self.rates:
            self._schedule_call(name, 0.0)
        while self.events and self.events[0][0] < duration_s:
            now_s, _, name, job = heappop(self.events)
            if job is None:
                self._schedule_call(name, now_s)
                self._offer(name, now_s)
            else:
                self.gate.finish(job, AttemptKind.ANSWERED, 200, now_s)
            for decision in self.gate.decide(now_s):
                if isinstance(decision, Admitted):
                    self._start(decision.job, now_s)
        return self

    def _schedule_call(self, name, now_s):
        rate = self.rates[name](now_s)
        if rate <= 0:
            # Looks again at the rate later.
            heappush(self.events, (now_s + 0.1, next(self.numbers), name, None))
            return
        due_s = now_s + self.random.expovariate(rate)
        heappush(self.events, (due_s, next(self.numbers), name, None))

    def _offer(self, name, now_s):
        if self.rates[name](now_s) <= 0:
            return
        self.sent[name] += 1
        job = make_job(
            now_s,
            call_id=next(self.numbers),
            organisation=name if self.named else "",
            request_id=name,
        )
        if isinstance(self.gate.offer(job, now_s), Admitted):
            self._start(job, now_s)

    def _start(self, job, now_s):
        self.served[job.call.request_id] += 1
        run_s = self.random.uniform(0.5, 1.5) * RUN_S
        heappush(self.events, (now_s + run_s, next(self.numbers), "", job))

    @property
    def share(self):
        return self.served.total() / self.sent.total()

    def least_share(self):
        """Return the least share of an organisation over that of all calls."""
        shares = [self.served[name] / sent for name, sent in self.sent.items()]
        return min(shares) / self.share


def steady(rate):
    return lambda now_s: rate


def bursts(rate, period_s, length_s, start_s=0.0):
    return lambda now_s: rate if (now_s - start_s) % period_s < length_s else 0.0


def make_rates(load, *, large=3, large_share=0.6, organisations=73):
    """Return rates of which a few organisations take most."""
    small = organisations - large
    rates = {
        f"large{number}": steady(CAPACITY * load * large_share / large)
        for number in range(large)
    }
    rates |= {
        f"small{number}": steady(CAPACITY * load * (1.0 - large_share) / small)
        for number in range(small)
    }
    return rates


@pytest.mark.parametrize("load", [1.1, 1.5, 2.5, 5.0])
@pytest.mark.parametrize("large_share", [0.5, 0.8])
def test_each_organisation_gets_a_quarter_of_the_common_share(load, large_share):
    """Guards against organisations, large or small, that get nothing."""
    result = Load(make_rates(load, large_share=large_share)).run(300.0)
    assert result.share > 0.85 * min(1.0, 1.0 / load)
    assert result.least_share() > 0.5


def make_burst_rates():
    """Return the rates of small organisations that send during a burst."""
    rates = make_rates(0.6, large=2)
    rates["burst"] = bursts(3 * CAPACITY, 30.0, 2.0)
    for number in range(3):
        rates[f"victim{number}"] = bursts(1.0, 30.0, 2.0)
    return rates


def test_burst_of_one_organisation_spares_the_others():
    """Guards against small organisations that fail with a large one."""
    fair = Load(make_burst_rates()).run(600.0)
    common = Load(make_burst_rates(), named=False).run(600.0)

    def share_of_victims(load):
        names = [name for name in load.sent if name.startswith("victim")]
        sent = sum(load.sent[name] for name in names)
        return sum(load.served[name] for name in names) / sent

    assert share_of_victims(fair) > 0.75
    assert share_of_victims(common) < 0.65
    assert fair.served.total() > 0.95 * common.served.total()
    assert fair.least_share() > 0.25


def test_large_organisation_alone_gets_the_whole_capacity():
    """Guards against slots that are kept free for others."""
    result = Load({"large": steady(1.5 * CAPACITY)}).run(60.0)
    assert result.served.total() > 0.9 * CAPACITY * 60.0


def test_use_of_free_capacity_is_not_held_against_an_organisation():
    """Guards against refusals for calls that took nothing from anybody."""
    rates = {
        "early": steady(0.9 * CAPACITY),
        "late": bursts(0.4 * CAPACITY, 1000.0, 30.0, start_s=60.0),
    }
    result = Load(rates).run(90.0)
    assert result.served["early"] / result.sent["early"] > 0.75


def test_without_organisations_the_order_is_that_of_urgency():
    """Guards against a change for deployments without organisations."""
    gate = make_gate(slots=1)
    jobs = [make_job(0.001 * number, call_id=number) for number in range(30)]
    for job in jobs:
        gate.offer(job, job.arrived_s)
    assert all(job.turn is None and job.lag_s == 0.0 for job in jobs)
    assert gate._fair_order.size == 0


def test_rank_goes_before_the_turn():
    """Guards against a fair order that delays urgent calls."""
    gate = make_gate(slots=1)
    jobs = [
        make_job(0.0, call_id=number, organisation="a", rank=1) for number in range(5)
    ]
    urgent = make_job(0.0, call_id=9, organisation="a", rank=0)
    for job in [*jobs, urgent]:
        gate.offer(job, 0.0)
    gate.finish(jobs[0], AttemptKind.ANSWERED, 200, 0.1)
    started = [d.job for d in gate.decide(0.1) if isinstance(d, Admitted)]
    assert started == [urgent]


def test_call_that_does_not_start_gives_its_turn_back():
    """Guards against organisations that pay for calls that were refused."""
    order = FairOrder()
    first = order.next_turn("a", 1, 0.1, 0.0)
    order.take(first)
    order.give_back(first)
    assert order.next_turn("a", 1, 0.1, 0.0).start == first.start


def test_memory_is_bounded_for_many_organisations():
    """Guards against memory that grows with the names that were seen."""
    order = FairOrder()
    for number in range(3 * MAX_ORGANISATIONS):
        turn = order.next_turn(f"o{number}", number % 3, 0.1, number / 20_000)
        order.take(turn)
        order.start(turn)
    assert order.size <= MAX_ORGANISATIONS
    assert len(order._finished) <= 3 * MAX_ORGANISATIONS
    order.next_turn("o1", 1, 0.1, 100.0)
    assert order.size == 1
    assert len(order._finished) <= 1


def test_ten_thousand_organisations_are_served():
    """Guards against weights so small that nobody gets a turn."""
    order = FairOrder()
    for number in range(MAX_ORGANISATIONS):
        order.next_turn(f"o{number}", 1, 0.1, 0.0)
    turn = order.next_turn("o5", 1, 0.1, 0.0)
    assert order.lag_s(turn, SLOTS) == 0.0
