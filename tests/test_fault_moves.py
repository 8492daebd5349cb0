"""The fault matrix, moves: each fault at each store call of a step."""

import pytest
from attrs import evolve

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.control.moves import STEPS, TERMINAL_STATES, Capacity
from catkinhollow.generated.fleet import Fleet, MoveState
from catkinhollow.generated.messages import VersionCounts
from tests.controller_simulation import JOBS, ControllerSimulation, window
from tests.fault_table import MOVES, cells
from tests.move_oracle import MoveOracle

# The seed selects the store call that meets the fault.
CALLS = (("list", "moves"), ("put", "moves"), ("put", "config"), ("get", "config"))
# Longer than the takeover of a lease, 10 s.
FAULT_S = 15
DURATION_S = 120
LATENCY_MS = 50.0


class Scene:
    """Run a move up to one step, in which a store call meets a fault."""

    def __init__(self, step, fault, seed):
        self.step, self.fault = step, fault
        self.call = CALLS[seed]
        self.world = ControllerSimulation()
        self.oracle = MoveOracle(self.world)
        self.daemon = self.world.daemons[0]

    def run(self, seconds=1):
        for _ in range(seconds):
            if self.fault == "target-cold":
                self.daemon.counts.append(_demand())
            self.world.run_all(1)
            self.oracle.check_new_writes()

    def run_until(self, condition):
        for _ in range(DURATION_S):
            if condition():
                return
            self.run()
        raise AssertionError("the step was not reached")

    def begin(self):
        """Bring the move to the step."""
        world = self.world
        self.run(4)
        world.start_move(DURATION_S)
        percents = {"move-step": 1.0, "move-end": 50.0, "withdraw": 5.0}
        if self.step in percents:
            self.run_until(lambda: world.percent == percents[self.step])
        if self.step == "withdraw":
            self.find_bad(self.daemon)
            assert world.quarantines

    def find_bad(self, daemon):
        for _ in range(8):
            daemon.counts += window(0.5)
            daemon.controller.tick()

    def meet(self, outcome):
        """Run until the call waits and meets the outcome."""
        world = self.world
        world.outcome_call, world.outcome = self.call, outcome
        self.run_until(lambda: world.outcome_call is None)

    def inject(self):
        getattr(self, "_" + self.fault.replace("-", "_"))()
        self.oracle.check_new_writes()

    def _kill(self):
        """Kill the holder at the call; another daemon takes over."""
        self.meet("slow answer")
        self.oracle.crashed = True
        self.daemon.crash()
        self.daemon.jobs.clear()
        self.world.preferred = {1}
        self.run(FAULT_S)

    def _restart(self):
        self.meet("pause")
        self.oracle.crashed = True
        self.world.restart(0)
        self.run(FAULT_S)

    def _pause(self):
        """Pause the holder beyond its lease; its call goes out late."""
        self.meet("pause")
        self.world.preferred = {1}
        self.run(FAULT_S)
        self.world.resume(self.daemon)

    def _cut_link(self):
        """Let no evidence reach the controller."""
        for _ in range(FAULT_S):
            self.world.tick()
            for job in JOBS:
                self.world.run_job(self.daemon, job)
            self.oracle.check_new_writes()

    def _split(self):
        """Let a daemon in each region take itself for the controller."""
        self.world.preferred = {0, 1}
        self.run(FAULT_S)
        self.world.preferred = {0}

    def _outage(self):
        for _ in range(FAULT_S):
            self.world.tick()
            for daemon in self.world.daemons:
                for job in JOBS:
                    daemon.start(job)
                    while job in daemon.jobs:
                        self.world.answer(daemon, job, "refused")

    def _slow_store(self):
        """Answer every call of the holder only after three seconds."""
        for _ in range(FAULT_S // 3):
            for job in JOBS:
                self.daemon.start(job)
            self.world.tick(3)
            for job in list(self.daemon.jobs):
                self.world.answer(self.daemon, job, "ok")
            self.oracle.check_new_writes()

    def _lost_answer(self):
        self.meet("lost answer")

    def _cut_connection(self):
        """Cut the connection to the store; the call arrives much later."""
        self.meet("late")
        self.run(FAULT_S)
        while self.world.delayed_calls:
            self.world.carry_out(self.world.delayed_calls.pop(0))

    def _stale_view(self):
        self.call = ("list", "moves")
        if self.step == "move-end":
            self.run_until(lambda: self.world.move.state in TERMINAL_STATES)
        self.meet("old view")

    def _crossed(self):
        """Change the configuration between the read and the write."""
        self.meet("pause")
        stored = self.world.store.objects["config", "fleet"]
        fleet = from_plain(stored.value, Fleet).ok
        defaults = evolve(fleet.defaults, timeout_ms=2500)
        changed = to_plain(evolve(fleet, defaults=defaults))
        self.world.store.write("config", "fleet", changed)
        self.world.resume(self.daemon)

    def _race(self):
        """Let an operator cancel at the call, and another one after it.

        Where the holder has not read the split yet, another one ends the
        move meanwhile.
        """
        self.meet("pause")
        self.world.cancel_move()
        if self.call[0] == "get":
            self.world.preferred = {1}
            self.run(FAULT_S)
        self.world.resume(self.daemon)
        self.world.cancel_move()

    def _target_dies(self):
        """Take the slots of the new version away for a while."""
        self.change_capacity(Capacity(ready_slots=0))
        if self.step != "move-end":
            assert self.world.move.percent == 0.0, "invariant 5"

    def _target_cold(self):
        """Leave the new version only what cold targets bear."""
        cold = Capacity(ready_slots=0, cold_slots=10)
        self.change_capacity(cold)
        if self.world.move.state == MoveState.RUNNING:
            highest = cold.supported_percent(9.0, 1.0)
            assert self.world.percent <= highest, "invariant 5"

    def change_capacity(self, capacity):
        self.world.capacity = capacity
        self.run(FAULT_S)
        self.world.capacity = Capacity(ready_slots=100)

    def settle(self):
        world = self.world
        world.outcome_call = None
        world.preferred = {min(world.preferred)}
        for daemon in world.daemons:
            if daemon.paused:
                world.resume(daemon)
        self.run_until(lambda: world.move.state in TERMINAL_STATES)
        self.run(FAULT_S)
        self.oracle.check_settled()


def _demand():
    """Return counts that mean 9 requests in flight in the whole service."""
    return VersionCounts(
        service="orders",
        version="old",
        route="all",
        requests=180,
        latency_ms_sum=180 * LATENCY_MS,
    )


@pytest.mark.parametrize(
    ("step", "fault", "seed"),
    cells(MOVES, range(4), skip=[("wrong-answer", "withdraw")]),
)
def test_move(step, fault, seed):
    """Guards against moves that go on after their end, or by two holders.

    Invariants 4, 5 and 12, fencing, and one report of each end.
    """
    scene = Scene(step, fault, seed)
    scene.begin()
    scene.inject()
    scene.settle()
    move = scene.world.move
    if fault == "race":
        assert move.state in (MoveState.CANCELLED, MoveState.WITHDRAWN)
    elif step == "withdraw":
        assert move.state == MoveState.WITHDRAWN, "invariant 4"
    else:
        assert move.state == MoveState.DONE, "a good version was withdrawn"
    assert move.percent in (0.0, STEPS[-1].percent)
