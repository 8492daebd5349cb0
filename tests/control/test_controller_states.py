"""Stateful test of racing controllers over a store that fails."""

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
    """Interleave three daemons, an operator and a store call by call."""

    @initialize(duration_s=DURATIONS)
    def begin(self, duration_s):
        self.world = ControllerSimulation()
        self.oracle = MoveOracle(self.world)
        self.world.start_move(duration_s)

    @rule(duration_s=DURATIONS)
    def start_next_move(self, duration_s):
        if self.world.move.state in TERMINAL_STATES:
            # An end whose write got no answer must be read before the
            # operator replaces the move, or it cannot be reported.
            self.heal(30)
            self.oracle.check_ends()
            self.world.start_move(duration_s)

    @rule(seconds=st.sampled_from([1, 2, 6, 11]))
    def pass_time(self, seconds):
        self.world.tick(seconds)

    @rule(seconds=st.sampled_from([1, 3, 15, 40]))
    def run_all(self, seconds):
        self.world.run_all(seconds)

    @rule(call=CALLS, outcome=OUTCOMES, seconds=st.sampled_from([5, 15]))
    def run_until_outcome(self, call, outcome, seconds):
        """Run until a call of one sort, which meets the given outcome."""
        self.world.outcome_call, self.world.outcome = call, outcome
        self.world.run_all(seconds)

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
        paused = [item for item in self.world.daemons if item.paused]
        if meanwhile == "cancel":
            self.world.cancel_move()
        if meanwhile == "bad":
            for number in range(3):
                self.find_bad_version(number)
        self.world.preferred = preferred
        self.world.run_all(seconds)
        for daemon in paused:
            self.world.resume(daemon)

    @rule(preferred=st.sets(NUMBERS, min_size=1))
    def prefer(self, preferred):
        self.world.preferred = preferred

    @rule(number=NUMBERS, job=st.sampled_from(JOBS), outcome=OUTCOMES)
    def step(self, number, job, outcome):
        """Start one job, or end its waiting call, without the others."""
        daemon = self.world.daemons[number]
        if job in daemon.jobs:
            self.world.answer(daemon, job, outcome)
        else:
            daemon.start(job)

    @rule()
    def deliver_late_call(self):
        if self.world.delayed_calls:
            self.world.carry_out(self.world.delayed_calls.pop(0))

    @rule(number=NUMBERS)
    def crash(self, number):
        self.oracle.crashed = True
        self.world.restart(number)

    @rule(number=NUMBERS)
    def find_bad_version(self, number):
        daemon = self.world.daemons[number]
        for _ in range(8):
            daemon.counts += window(0.5)
            daemon.controller.tick()

    @rule()
    def cancel(self):
        self.world.cancel_move()

    @invariant()
    def check_new_writes(self):
        self.oracle.check_new_writes()

    def heal(self, seconds):
        """Run with the store up, every daemon alive and one preferred."""
        self.world.outcome_call = None
        self.world.preferred = {min(self.world.preferred)}
        for daemon in self.world.daemons:
            self.world.resume(daemon)
        self.world.run_all(seconds)

    def teardown(self):
        self.heal(400)
        while self.world.delayed_calls:
            self.deliver_late_call()
        self.oracle.check_settled()


RacingControllers.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)
TestRacingControllers = RacingControllers.TestCase
