"""Tests of moves that take seconds, in virtual time."""

from random import Random

import pytest
from attrs import evolve
from relay_builders import make_peer, make_report

from catkinhollow.generated.relay import MoveOrder, MoveProgress, OrderState
from catkinhollow.relay.moves.move_plan import MovePlan
from catkinhollow.relay.moves.versions import VersionPolicy

STEP_S = 0.25


def make_order(duration_s=15.0, **progress):
    order = MoveOrder(service="stock", version="v2", duration_s=duration_s, order=7)
    if not progress:
        return order
    values = {"version": "v2", "state": OrderState.RUNNING, "order": 7, **progress}
    return evolve(order, progress=MoveProgress(**values))


class TrafficSimulation:
    """Simulate the runs of both versions during a move.

    Each version has three targets. From `failing_from_s` on, runs of the new
    version fail with probability `failing_share`; `slow_factor` multiplies its
    run time. During `outage` 40 % of the runs of both versions fail.
    """

    def __init__(
        self,
        *,
        requests_per_s=100.0,
        failing_from_s=99.0,
        failing_share=0.0,
        slow_factor=1.0,
        outage=(0, 0),
    ):
        self.outage = outage
        self.random = Random(3)
        self.requests_per_s = requests_per_s
        self.failing_from_s = failing_from_s
        self.failing_share = failing_share
        self.slow_factor = slow_factor
        self.runs = {"v1": 0, "v2": 0}
        self.failures = {"v1": 0, "v2": 0}
        self.after_fiftieth = 0

    def simulate_step(self, percent, now_s):
        for _ in range(int(self.requests_per_s * STEP_S)):
            version = "v2" if self.random.random() * 100 < percent else "v1"
            self.runs[version] += 1
            if self.outage[0] <= now_s < self.outage[1]:
                self.failures[version] += self.random.random() < 0.4
            if version == "v2" and now_s >= self.failing_from_s:
                self.failures["v2"] += self.random.random() < self.failing_share

    def reports(self):
        slow_factor = {"v1": 1.0, "v2": self.slow_factor}
        return [
            make_report(
                version=version,
                runs=self.runs[version] // 3,
                failures=self.failures[version] // 3,
                service_ms=100.0 * slow_factor[version],
            )
            for version in ("v1", "v2")
            for _ in range(3)
        ]


def run_move(traffic, duration_s=15.0):
    """Run a move; return its final state and when it was reached."""
    plan = MovePlan(make_order(duration_s), 0.0)
    now_s = 0.0
    while now_s < duration_s + 5.0:
        due = plan.next_progress(traffic.reports(), now_s)
        if due is not None:
            plan.order = evolve(plan.order, progress=due[0])
        progress = plan.order.progress
        if progress.state is not OrderState.RUNNING:
            return progress.state, now_s
        traffic.simulate_step(progress.percent, now_s)
        now_s += STEP_S
    return plan.order.progress.state, now_s


@pytest.mark.parametrize("requests_per_s", [8.0, 25.0, 100.0])
def test_good_version_is_done_in_time(requests_per_s):
    """Guards against a good version that waits for traffic it never gets."""
    state, at_s = run_move(TrafficSimulation(requests_per_s=requests_per_s))
    assert state is OrderState.DONE
    assert at_s < 15.0


@pytest.mark.parametrize("failing_from_s", [0.0, 3.4, 5.0])
@pytest.mark.parametrize("failing_share", [0.4, 0.6])
def test_failing_version_is_withdrawn_with_little_exposure(
    failing_from_s, failing_share
):
    """Guards against a bad version that gets 10 % of the requests."""
    traffic = TrafficSimulation(
        failing_from_s=failing_from_s, failing_share=failing_share
    )
    state, _ = run_move(traffic)
    assert state is OrderState.WITHDRAWN
    assert traffic.runs["v2"] <= 0.1 * 15.0 * 100.0 + 50
    assert traffic.failures["v2"] < 50


@pytest.mark.parametrize("outage_start_s", [1.0, 2.0, 4.0, 5.0])
def test_outage_behind_both_versions_does_not_stop_a_move(outage_start_s):
    """Guards against a good version that is withdrawn for unrelated faults.

    The outages end before the new version gets all requests: after that, the
    old version has no runs to compare with, and failures count.
    """
    state, _ = run_move(
        TrafficSimulation(outage=(outage_start_s, outage_start_s + 2.0))
    )
    assert state is OrderState.DONE


def test_slow_version_is_withdrawn():
    """Guards against a version that is correct but several times slower."""
    state, _ = run_move(TrafficSimulation(slow_factor=8.0))
    assert state is OrderState.WITHDRAWN


def test_progress_of_an_earlier_order_is_reset():
    """Guards against a new order that keeps the state of the previous one."""
    order = evolve(make_order(percent=100.0), order=8)
    progress, _ = MovePlan(order, 0.0).next_progress([], 0.0)
    assert (progress.state, progress.percent) == (OrderState.RUNNING, 0.0)


def make_fleet():
    old = [make_peer(f"old{n}", report=make_report(version="v1")) for n in range(3)]
    new = [make_peer(f"new{n}", report=make_report(version="v2")) for n in range(3)]
    return old, new


def test_new_version_gets_its_share():
    """Guards against a share of calls that differs from the order."""
    old, new = make_fleet()
    policy = VersionPolicy(Random(1))
    policy.set_orders([make_order(percent=15.0)])
    new_picks = sum(
        policy.candidates("stock", old + new)[0] in new for _ in range(1000)
    )
    assert 140 <= new_picks <= 160


@pytest.mark.parametrize(
    ("order", "expected"),
    [
        (make_order(), "old"),
        (make_order(state=OrderState.WITHDRAWN), "old"),
        (make_order(state=OrderState.DONE, percent=100.0), "new"),
        (make_order(percent=100.0), "new"),
    ],
)
def test_state_of_the_order_decides_the_version(order, expected):
    """Guards against calls to a version before or after its order."""
    old, new = make_fleet()
    policy = VersionPolicy(Random(1))
    policy.set_orders([order])
    chosen = policy.candidates("stock", old + new)
    assert chosen == (new if expected == "new" else old)


def test_failing_version_gets_nothing_before_the_order_is_withdrawn():
    """Guards against calls to a bad version while the store is unreachable."""
    old, _ = make_fleet()
    report = make_report(version="v2", runs=20, failures=10)
    new = [make_peer(f"new{n}", report=report) for n in range(3)]
    policy = VersionPolicy(Random(1))
    policy.set_orders([make_order(percent=40.0)])
    assert policy.candidates("stock", old + new) == old
