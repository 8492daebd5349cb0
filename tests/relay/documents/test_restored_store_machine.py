"""Tests of random writes, moves, faults and returns from copies."""

import trio
from era_fleet import DOMAIN, SERVICE, EraFleet
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from trio.testing import MockClock

from catkinhollow.generated.relay import OrderState

MEMBERS = st.sampled_from(["d0", "d1", "d2", "d3"])
# The operator has repeated its writes by then, and daemons theirs.
SETTLE_S = 40.0
MAX_MOVE_S = 5.0
# Followers have read the store again, also one whose answers come late.
READ_S = 6.0


class Operator:
    """Write objects, and again what the store has lost."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.version = 1
        self.order_version = None
        self.evacuated = False

    def configure(self):
        self.version += 1
        self.fleet.configure(self.version)

    def order(self):
        number = int((self.order_version or "v1")[1:]) + 1
        self.order_version = f"v{number}"
        self.fleet.order(self.order_version, MAX_MOVE_S)
        self.fleet.set_reports(runs=0)

    def toggle_evacuation(self):
        self.evacuated = not self.evacuated
        self._write_evacuation()

    def repeat_lost_writes(self):
        fleet = self.fleet
        stored = fleet.stored("configuration", "main")
        if stored is None or stored["spec"]["version"] != self.version:
            fleet.configure(self.version)
        order = fleet.stored("orders", SERVICE)
        shown = order and order["spec"]["target_version"]
        if self.order_version not in (None, shown):
            fleet.order(self.order_version, MAX_MOVE_S)
        self._write_evacuation(again=True)

    async def end_lost_evacuation(self):
        """End one whose removal no daemon saw, as docs/OPERATIONS.md says."""
        if not self.evacuated:
            self.fleet.evacuate()
            await trio.sleep(READ_S)
            self.fleet.app.remove("evacuations", DOMAIN)

    def _write_evacuation(self, *, again=False):
        is_stored = self.fleet.stored("evacuations", DOMAIN) is not None
        if self.evacuated and not is_stored:
            self.fleet.evacuate()
        elif not self.evacuated and is_stored:
            self.fleet.app.remove("evacuations", DOMAIN)
        elif again and self.evacuated:
            self.fleet.evacuate()


class Scenario:
    """Carry out the planned steps on a fleet in virtual time."""

    def __init__(self, steps):
        self.steps = steps
        self.copy = None

    async def run(self):
        async with trio.open_nursery() as nursery:
            self.fleet = EraFleet(nursery)
            self.operator = Operator(self.fleet)
            await self.fleet.start()
            for step in self.steps:
                await getattr(self, step[0])(*step[1:])
            await self.check_end()
            nursery.cancel_scope.cancel()

    async def write(self, what):
        getattr(self.operator, what)()

    async def sleep(self, duration_s):
        await trio.sleep(duration_s)

    async def take_copy(self):
        self.copy = self.fleet.app.take_copy()

    async def restore(self, away_s, repeat_s):
        app = self.fleet.app
        app.down = True
        await trio.sleep(away_s)
        app.restore(self.copy)
        app.down = False
        await trio.sleep(repeat_s)
        self.operator.repeat_lost_writes()
        # A removal that no daemon can have seen is taken for a loss.
        await trio.sleep(READ_S)

    async def lose_write(self, name):
        self.fleet.members[name].app.lost_writes += 1

    async def delay_answers(self, name, count, late_s):
        app = self.fleet.members[name].app
        app.late_answers, app.late_s = count, late_s

    async def cut_off(self, name, is_cut_off):
        self.fleet.members[name].cut_off = is_cut_off

    async def check_end(self):
        fleet, operator = self.fleet, self.operator
        for member in fleet.members.values():
            member.cut_off = False
            member.app.late_answers = 0
        fleet.set_reports(runs=0)
        await operator.end_lost_evacuation()
        await trio.sleep(SETTLE_S)
        for name, member in fleet.members.items():
            assert member.validator.version == operator.version
            assert member.gate.evacuated == operator.evacuated
            stored = fleet.stored("daemons", name)
            assert stored is not None, name
            assert stored["spec"]["address"] == member.address
        if operator.order_version is not None:
            status = fleet.stored("orders", SERVICE)["status"]
            settled = fleet.settled[operator.order_version]
            expected = "completed" if settled is OrderState.DONE else "reverted"
            assert status["target_version"] == operator.order_version
            assert status["state"] == expected
        assert fleet.all_agree()


class RestoredStoreMachine(RuleBasedStateMachine):
    """Plan steps; the fleet checks each change, the scenario the end."""

    def __init__(self):
        super().__init__()
        self.steps = []
        self.copied = False

    @rule(what=st.sampled_from(["configure", "order", "toggle_evacuation"]))
    def write(self, what):
        self.steps.append(("write", what))

    @rule(duration_s=st.sampled_from([0.05, 0.4, 1.5, 4.0]))
    def sleep(self, duration_s):
        self.steps.append(("sleep", duration_s))

    @rule()
    def take_copy(self):
        self.copied = True
        self.steps.append(("take_copy",))

    @precondition(lambda self: self.copied)
    @rule(
        away_s=st.sampled_from([0.0, 0.3, 2.0]),
        repeat_s=st.sampled_from([0.0, 0.5, 3.0]),
    )
    def restore(self, away_s, repeat_s):
        self.steps.append(("restore", away_s, repeat_s))

    @rule(name=MEMBERS)
    def lose_write(self, name):
        self.steps.append(("lose_write", name))

    @rule(name=MEMBERS, count=st.integers(1, 3), late_s=st.sampled_from([0.3, 2.0]))
    def delay_answers(self, name, count, late_s):
        self.steps.append(("delay_answers", name, count, late_s))

    @rule(name=MEMBERS, is_cut_off=st.booleans())
    def cut_off(self, name, is_cut_off):
        self.steps.append(("cut_off", name, is_cut_off))

    def teardown(self):
        trio.run(Scenario(self.steps).run, clock=MockClock(autojump_threshold=0))


def test_fleet_keeps_its_state_through_returns_of_the_store():
    """Guards against orders of events that no single test has.

    No daemon goes back to an older configuration, no settled move runs again,
    records come back, and all daemons agree in the end.
    """
    run_state_machine_as_test(
        RestoredStoreMachine,
        settings=settings(
            max_examples=25,
            stateful_step_count=14,
            deadline=None,
            derandomize=True,
            suppress_health_check=list(HealthCheck),
        ),
    )
