"""Stateful test of competing controllers on a store with failures."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from catkinhollow.control.moves import TERMINAL_STATES
from tests.controller_simulation import JOBS, ControllerSimulation, window
from tests.move_oracle import MoveOracle

NUMBERS = st.integers(0, 2)
DURATIONS = st.sampled_from([20, 60, 300])
OUTCOMES = st.sampled_from(
    ["ok", "lost answer", "refused", "late", "pause", "slow answer", "old view"]
)
PAUSES = st.sampled_from(["pause", "slow answer"])
CALLS = st.sampled_from(
    [
        ("list", "moves"),
        ("put", "moves"),
        ("get", "config"),
        ("put", "config"),
        ("put", "leases"),
    ]
)


class RacingControllers(RuleBasedStateMachine):
    """Interleave three daemons, an operator and the store at each store call.

    Guards against moves that two holders write, and ends that are lost.
    """

    @initialize(duration_s=DURATIONS)
    def begin(self, duration_s):
        self.simulation = ControllerSimulation()
        self.oracle = MoveOracle(self.simulation)
        self.simulation.start_move(duration_s)

    @rule(duration_s=DURATIONS)
    def start_next_move(self, duration_s):
        if self.simulation.move.state in TERMINAL_STATES:
            # A daemon whose terminal write got no answer has to read the move
            # before the operator replaces it, or the end cannot be reported.
            self.heal(30)
            self.oracle.check_ends()
            self.simulation.start_move(duration_s)

    @rule(seconds=st.sampled_from([1, 2, 6, 11]))
    def pass_time(self, seconds):
        self.simulation.tick(seconds)

    @rule(seconds=st.sampled_from([1, 3, 15, 40]))
    def run_all(self, seconds):
        self.simulation.run_all(seconds)

    @rule(call=CALLS, outcome=OUTCOMES, seconds=st.sampled_from([5, 15]))
    def run_until_outcome(self, call, outcome, seconds):
        """Run until a call of the given kind gets the given outcome."""
        self.simulation.outcome_call, self.simulation.outcome = call, outcome
        self.simulation.run_all(seconds)

    @rule(
        call=CALLS,
        outcome=PAUSES,
        preferred=st.sets(NUMBERS, min_size=1),
        meanwhile=st.sampled_from(["", "cancel", "bad"]),
        seconds=st.sampled_from([3, 9, 15]),
    )
    def pause_holder(self, call, outcome, preferred, meanwhile, seconds):
        """Pause a daemon at a call while the others and the operator act."""
        self.run_until_outcome(call, outcome, 15)
        paused = [item for item in self.simulation.daemons if item.paused]
        if meanwhile == "cancel":
            self.simulation.cancel_move()
        if meanwhile == "bad":
            for number in range(3):
                self.find_bad_version(number)
        self.simulation.preferred = preferred
        self.simulation.run_all(seconds)
        for daemon in paused:
            self.simulation.resume(daemon)

    @rule(preferred=st.sets(NUMBERS, min_size=1))
    def prefer(self, preferred):
        self.simulation.preferred = preferred

    @rule(number=NUMBERS, job=st.sampled_from(JOBS), outcome=OUTCOMES)
    def step(self, number, job, outcome):
        """Start one job or answer its pending call, without running others."""
        daemon = self.simulation.daemons[number]
        if job in daemon.jobs:
            self.simulation.answer(daemon, job, outcome)
        else:
            daemon.start(job)

    @rule()
    def deliver_late_call(self):
        if self.simulation.delayed_calls:
            self.simulation.carry_out(self.simulation.delayed_calls.pop(0))

    @rule(number=NUMBERS)
    def crash(self, number):
        self.oracle.crashed = True
        self.simulation.restart(number)

    @rule(number=NUMBERS)
    def find_bad_version(self, number):
        daemon = self.simulation.daemons[number]
        for _ in range(8):
            daemon.counts += window(0.5)
            daemon.controller.tick()

    @rule()
    def cancel(self):
        self.simulation.cancel_move()

    @invariant()
    def check_new_writes(self):
        self.oracle.check_new_writes()

    def heal(self, seconds):
        """Run without faults, with all daemons alive and one preferred."""
        self.simulation.outcome_call = None
        self.simulation.preferred = {min(self.simulation.preferred)}
        for daemon in self.simulation.daemons:
            self.simulation.resume(daemon)
        self.simulation.run_all(seconds)

    def teardown(self):
        self.heal(400)
        while self.simulation.delayed_calls:
            self.deliver_late_call()
        self.oracle.check_settled()


RacingControllers.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
TestRacingControllers = RacingControllers.TestCase
