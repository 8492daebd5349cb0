"""Fault matrix of moves: each fault at each store call of a step."""

import pytest
from attrs import evolve

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.control.moves import STEPS, TERMINAL_STATES, Capacity
from catkinhollow.generated.fleet import Fleet, MoveState
from catkinhollow.generated.messages import VersionCounts
from tests.controller_simulation import JOBS, ControllerSimulation, window
from tests.fault_table import MOVES, list_cells
from tests.move_oracle import MoveOracle

# The seed selects the store call at which the fault is injected.
STORE_CALLS = (
    ("list", "moves"),
    ("put", "moves"),
    ("put", "config"),
    ("get", "config"),
)
# Longer than the time after which another daemon takes a lease over, 10 s.
FAULT_S = 15
DURATION_S = 120
LATENCY_MS = 50.0


class MoveScenario:
    """Run a move up to a step and inject a fault at one of its store calls."""

    def __init__(self, step, fault, seed):
        self.step, self.fault = step, fault
        self.call = STORE_CALLS[seed]
        self.simulation = ControllerSimulation()
        self.oracle = MoveOracle(self.simulation)
        self.daemon = self.simulation.daemons[0]

    def run(self, seconds=1):
        for _ in range(seconds):
            if self.fault == "target-cold":
                self.daemon.counts.append(_make_load_counts())
            self.simulation.run_all(1)
            self.oracle.check_new_writes()

    def run_until(self, condition):
        for _ in range(DURATION_S):
            if condition():
                return
            self.run()
        raise AssertionError("the step was not reached")

    def begin(self):
        """Start the move and run it until the step."""
        simulation = self.simulation
        self.run(4)
        simulation.start_move(DURATION_S)
        percents = {"move-step": 1.0, "move-end": 50.0, "withdraw": 5.0}
        if self.step in percents:
            self.run_until(lambda: simulation.percent == percents[self.step])
        if self.step == "withdraw":
            self.report_failures(self.daemon)
            assert simulation.quarantines

    def report_failures(self, daemon):
        for _ in range(8):
            daemon.counts += window(0.5)
            daemon.controller.tick()

    def run_until_outcome(self, outcome):
        """Run until the store call is made and gets the outcome."""
        simulation = self.simulation
        simulation.outcome_call, simulation.outcome = self.call, outcome
        self.run_until(lambda: simulation.outcome_call is None)

    def inject(self):
        getattr(self, "_" + self.fault.replace("-", "_"))()
        self.oracle.check_new_writes()

    def _kill(self):
        """Kill the holder at the call, so that another daemon takes over."""
        self.run_until_outcome("slow answer")
        self.oracle.crashed = True
        self.daemon.crash()
        self.daemon.jobs.clear()
        self.simulation.preferred = {1}
        self.run(FAULT_S)

    def _restart(self):
        self.run_until_outcome("pause")
        self.oracle.crashed = True
        self.simulation.restart(0)
        self.run(FAULT_S)

    def _pause(self):
        """Pause the holder beyond its lease, so that its call is sent late."""
        self.run_until_outcome("pause")
        self.simulation.preferred = {1}
        self.run(FAULT_S)
        self.simulation.resume(self.daemon)

    def _cut_link(self):
        """Withhold the evidence from the controller."""
        for _ in range(FAULT_S):
            self.simulation.tick()
            for job in JOBS:
                self.simulation.run_job(self.daemon, job)
            self.oracle.check_new_writes()

    def _split(self):
        """Make a daemon in each region consider itself the controller."""
        self.simulation.preferred = {0, 1}
        self.run(FAULT_S)
        self.simulation.preferred = {0}

    def _outage(self):
        for _ in range(FAULT_S):
            self.simulation.tick()
            for daemon in self.simulation.daemons:
                for job in JOBS:
                    daemon.start(job)
                    while job in daemon.jobs:
                        self.simulation.answer(daemon, job, "refused")

    def _slow_store(self):
        """Delay the response to every call of the holder by three seconds."""
        for _ in range(FAULT_S // 3):
            for job in JOBS:
                self.daemon.start(job)
            self.simulation.tick(3)
            for job in list(self.daemon.jobs):
                self.simulation.answer(self.daemon, job, "ok")
            self.oracle.check_new_writes()

    def _lost_answer(self):
        self.run_until_outcome("lost answer")

    def _cut_connection(self):
        """Cut the connection to the store; the call arrives much later."""
        self.run_until_outcome("late")
        self.run(FAULT_S)
        while self.simulation.delayed_calls:
            self.simulation.carry_out(self.simulation.delayed_calls.pop(0))

    def _stale_view(self):
        self.call = ("list", "moves")
        if self.step == "move-end":
            self.run_until(lambda: self.simulation.move.state in TERMINAL_STATES)
        self.run_until_outcome("old view")

    def _concurrent_update(self):
        """Change the configuration between the read and the write."""
        self.run_until_outcome("pause")
        stored = self.simulation.store.objects["config", "fleet"]
        fleet = from_plain(stored.value, Fleet).ok
        defaults = evolve(fleet.defaults, timeout_ms=2500)
        changed = to_plain(evolve(fleet, defaults=defaults))
        self.simulation.store.write("config", "fleet", changed)
        self.simulation.resume(self.daemon)

    def _race(self):
        """Let one operator cancel the move at the call and one after it.

        If the holder has not read the split yet, another daemon ends the move
        in the meantime.
        """
        self.run_until_outcome("pause")
        self.simulation.cancel_move()
        if self.call[0] == "get":
            self.simulation.preferred = {1}
            self.run(FAULT_S)
        self.simulation.resume(self.daemon)
        self.simulation.cancel_move()

    def _target_dies(self):
        """Remove the slots of the new version for some time."""
        self.change_capacity(Capacity(ready_slots=0))
        if self.step != "move-end":
            assert self.simulation.move.percent == 0.0, "invariant 5"

    def _target_cold(self):
        """Limit the new version to the load that cold targets can serve."""
        cold = Capacity(ready_slots=0, cold_slots=10)
        self.change_capacity(cold)
        if self.simulation.move.state == MoveState.RUNNING:
            highest = cold.supported_percent(9.0, 1.0)
            assert self.simulation.percent <= highest, "invariant 5"

    def change_capacity(self, capacity):
        self.simulation.capacity = capacity
        self.run(FAULT_S)
        self.simulation.capacity = Capacity(ready_slots=100)

    def recover(self):
        simulation = self.simulation
        simulation.outcome_call = None
        simulation.preferred = {min(simulation.preferred)}
        for daemon in simulation.daemons:
            if daemon.paused:
                simulation.resume(daemon)
        self.run_until(lambda: simulation.move.state in TERMINAL_STATES)
        self.run(FAULT_S)
        self.oracle.check_settled()


def _make_load_counts():
    """Return counts that amount to 9 requests in flight in the service."""
    return VersionCounts(
        service="orders",
        version="old",
        route="all",
        requests=180,
        latency_ms_sum=180 * LATENCY_MS,
    )


@pytest.mark.parametrize(
    ("step", "fault", "seed"),
    list_cells(MOVES, range(4), skip=[("wrong-answer", "withdraw")]),
)
def test_move(step, fault, seed):
    """Guards against moves that continue after their end or have two holders.

    Invariants 4, 5 and 12, fencing, and one report of each end.
    """
    scenario = MoveScenario(step, fault, seed)
    scenario.begin()
    scenario.inject()
    scenario.recover()
    move = scenario.simulation.move
    if fault == "race":
        assert move.state in (MoveState.CANCELLED, MoveState.WITHDRAWN)
    elif step == "withdraw":
        assert move.state == MoveState.WITHDRAWN, "invariant 4"
    else:
        assert move.state == MoveState.DONE, "a good version was withdrawn"
    assert move.percent in (0.0, STEPS[-1].percent)
