"""Seeded trials of complete moves of good and bad versions without a store."""

from collections import deque
from math import sqrt
from random import Random

import pytest
from attrs import field, frozen, mutable

from catkinhollow.control.moves import Capacity, MoveDriver, WriteMove
from catkinhollow.generated.fleet import Move, MoveState
from catkinhollow.generated.messages import VersionCounts

TRIALS = 100
DURATION_S = 900
REQUESTS_PER_S = 150
ROUTES = {"browse": 0.7, "order": 0.25, "pack": 0.05}
# Windows between the requests and the controller's evaluation, and between a
# quarantine and its effect at the ingress daemons.
REPORT_DELAY_WINDOWS = 2
FLOOD_DELAY_WINDOWS = 1
CAPACITY = Capacity(ready_slots=1000)


@frozen(kw_only=True)
class Fault:
    failure_rate: float = 0.0
    slow: float = 0.0
    start_s: int = 0
    min_percent: float = 0.0
    routes: tuple = tuple(ROUTES)

    def is_active(self, now_s, percent, route):
        has_load = percent >= self.min_percent
        return now_s >= self.start_s and has_load and route in self.routes


FAULTS = {
    "fails at once": Fault(failure_rate=0.3),
    "fails always": Fault(failure_rate=1.0),
    "fails a little": Fault(failure_rate=0.1),
    "slow at once": Fault(slow=0.6),
    "fails later": Fault(failure_rate=0.4, start_s=400),
    "slow later": Fault(slow=0.7, start_s=400),
    "fails under load": Fault(failure_rate=0.3, min_percent=20.0),
    "slow under load": Fault(slow=0.6, min_percent=20.0),
    "fails on one route": Fault(failure_rate=0.6, routes=("order",)),
    "fails on a rare route": Fault(failure_rate=0.6, routes=("pack",)),
    "slow on one route": Fault(slow=0.8, routes=("order",)),
}


def binomial(rng, trials, rate):
    if trials < 50:
        return sum(rng.random() < rate for _ in range(trials))
    mean = trials * rate
    return min(trials, max(0, round(rng.gauss(mean, sqrt(mean * (1 - rate))))))


@mutable
class Trial:
    seed: int
    fault: Fault
    rng: Random = field(init=False)
    total_requests: int = 0
    new_requests: int = 0
    bad_requests: int = 0
    noise_end_s: int = 0
    last_percent: float = 0.0
    noise: tuple = (0.0, 0.0)

    def __attrs_post_init__(self):
        self.rng = Random(self.seed)

    def rates(self, now_s, percent, route, version):
        failure_rate, slow = 0.01 + self.noise[0], 0.1 + self.noise[1]
        bad = version == "new" and self.fault.is_active(now_s, percent, route)
        if bad:
            failure_rate += self.fault.failure_rate
            slow += self.fault.slow
        return min(1.0, failure_rate), min(1.0, slow), bad

    def start_noise(self, now_s):
        """Start or end a fault that affects both versions for some seconds."""
        if now_s >= self.noise_end_s:
            self.noise = (0.0, 0.0)
            if self.rng.random() < 0.02:
                self.noise = (self.rng.random(), self.rng.random())
                self.noise_end_s = now_s + self.rng.randrange(1, 20)

    def window(self, now_s, percent):
        self.start_noise(now_s)
        counts = []
        for route, share in ROUTES.items():
            total = binomial(self.rng, REQUESTS_PER_S, share)
            new = binomial(self.rng, total, percent / 100)
            self.total_requests += total
            self.new_requests += new
            for version, requests in (("new", new), ("old", total - new)):
                failure_rate, slow, bad = self.rates(now_s, percent, route, version)
                self.bad_requests += requests if bad else 0
                counts.append(
                    VersionCounts(
                        service="orders",
                        version=version,
                        route=route,
                        requests=requests,
                        failures=binomial(self.rng, requests, failure_rate),
                        slow=binomial(self.rng, requests, slow),
                        latency_ms_sum=20.0 * requests,
                    )
                )
        return counts


def make_move(deadline_s=DURATION_S):
    return Move(
        service="orders",
        version="new",
        old_version="old",
        operator="anna",
        started_ms=0,
        deadline_ms=deadline_s * 1000,
    )


def write_all(driver, now_ms, revision, capacity=CAPACITY):
    """Execute the driver's commands and return the last written revision."""
    while (command := driver.next_command(now_ms, capacity)) is not None:
        revision += 1
        if isinstance(command, WriteMove):
            driver.on_record(command.move, revision)
        else:
            driver.on_split_written(now_ms, revision)
    return revision


def run(trial):
    """Run one move and return it with the time of its end in seconds."""
    driver, revision = MoveDriver(make_move(), 1), 1
    driver.start_term(1)
    reports, blocked_from = deque(), None
    for now_s in range(DURATION_S + 2):
        revision = write_all(driver, now_s * 1000, revision)
        blocked = blocked_from is not None and now_s >= blocked_from
        if driver.move.state == MoveState.DONE or blocked:
            return driver.move, now_s
        percent = driver.move.percent or trial.last_percent
        trial.last_percent = percent
        reports.append(trial.window(now_s, percent))
        if len(reports) > REPORT_DELAY_WINDOWS and driver.observe(reports.popleft()):
            blocked_from = now_s + 1 + FLOOD_DELAY_WINDOWS
    return driver.move, DURATION_S


def test_no_good_version_is_withdrawn():
    """Guards against noise that counts as evidence, and missed deadlines."""
    for seed in range(TRIALS):
        move, end_s = run(Trial(seed, Fault()))
        assert move.state == MoveState.DONE, (seed, move.reason)
        assert end_s < DURATION_S


@pytest.mark.parametrize("name", FAULTS)
def test_every_bad_version_is_withdrawn(name):
    """Guards against a kind of fault that the evidence does not reveal."""
    fault = FAULTS[name]
    for seed in range(TRIALS):
        trial = Trial(seed, fault)
        move, _ = run(trial)
        assert move.state == MoveState.WITHDRAWN, seed
        assert trial.bad_requests < 0.02 * trial.total_requests, seed
