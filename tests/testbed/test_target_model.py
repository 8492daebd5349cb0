"""Tests of the admission and the faults of the stand-in target."""

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from catkinhollow.generated.messages import TargetState
from catkinhollow.generated.testbed import (
    FaultMode,
    HealthLie,
    LoadLie,
    TargetFaults,
    TargetProfile,
)
from catkinhollow.testbed.target_model import Call, TargetModel

WARM = TargetProfile(slots=2, queue_length=2, service_ms=1000, cold_factor=1)
COLD = TargetProfile(slots=4, service_ms=100, cold_factor=4, warmup_s=10)
CALL = Call(request_id="r", method="GET", path="/orders/1")


class SlotMachine(RuleBasedStateMachine):
    """Compare the assignment of slots with two lists as a model."""

    def __init__(self):
        super().__init__()
        self.model = TargetModel(WARM, now_s=0.0)
        self.running = []
        self.waiting = []
        self.now_s = 0.0
        self.draining = False

    @rule(deadline_s=st.sampled_from([None, 0.5, 1.0, 3.0]))
    def admit(self, deadline_s):
        admitted = self.model.admit(evolve(CALL, deadline_s=deadline_s), self.now_s)
        free = len(self.running) < 2
        if self.draining or deadline_s == 0.5 or (not free and len(self.waiting) == 2):
            assert admitted.is_error()
        elif free:
            assert admitted.ok.has_slot
            self.running.append(admitted.ok)
        elif admitted.is_ok():
            assert not admitted.ok.has_slot
            self.waiting.append(admitted.ok)
        else:
            assert deadline_s is not None

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def begin(self, data):
        work = data.draw(st.sampled_from(self.running))
        begun = self.model.begin(work, self.now_s)
        deadline_s = work.call.deadline_s
        late = deadline_s and self.now_s + 1.0 > work.arrived_s + deadline_s
        assert begun.is_error() == bool(late)

    @precondition(lambda self: self.running or self.waiting)
    @rule(data=st.data())
    def release(self, data):
        work = data.draw(st.sampled_from(self.running + self.waiting))
        following = self.model.release(work)
        (self.running if work in self.running else self.waiting).remove(work)
        moved = self.waiting[: 2 - len(self.running)]
        assert following == (moved[0] if moved else None)
        self.running += moved
        del self.waiting[: len(moved)]

    @rule(draining=st.booleans())
    def set_draining(self, draining):
        self.draining = draining
        (self.model.drain if draining else self.model.undrain)()

    @rule()
    def wait(self):
        self.now_s += 0.75

    @invariant()
    def load_matches(self):
        load = self.model.load(self.now_s)
        assert (load.running, load.waiting) == (len(self.running), len(self.waiting))
        assert all(work.has_slot for work in self.running)


def test_slots_match_two_lists():
    """Guards against lost slots, more calls than slots and false refusals."""
    run_state_machine_as_test(
        SlotMachine,
        settings=settings(derandomize=True, deadline=None, max_examples=150),
    )


def begin_all(model, count, now_s, call=CALL):
    """Begin `count` calls at once and return their plans."""
    works = [model.admit(call, now_s).ok for _ in range(count)]
    plans = [model.begin(work, now_s).ok for work in works]
    for work in works:
        model.release(work)
    return plans


def test_cold_target_is_slow_and_fails_under_full_load():
    """Guards against a cold start without effect or without end."""
    model = TargetModel(COLD, now_s=0.0)
    durations = [begin_all(model, 1, now_s)[0].duration_s for now_s in (0, 5, 10)]
    assert durations == [0.4, 0.25, 0.1]
    assert {plan.status for plan in begin_all(model, 4, 0.0)} == {500}
    assert begin_all(model, 1, 0.0)[0].status == 200
    assert {plan.status for plan in begin_all(model, 4, 10.0)} == {200}


def test_collapse_restarts_the_warm_up_without_an_announcement():
    """Guards against a target that gets warm in spite of overload."""
    model = TargetModel(evolve(COLD, collapse=True), now_s=0.0)
    begin_all(model, 4, 5.0)
    assert model.health(10.0).state is TargetState.COLD
    assert model.announced_state(10.0) is TargetState.READY
    assert model.health(15.0).state is TargetState.READY
    model.turn_cold(20.0, announced=True)
    assert model.announced_state(20.0) is TargetState.COLD


def test_fault_applies_after_its_delay_under_load_and_on_its_path_only():
    """Guards against a fault that affects calls outside its conditions."""
    model = TargetModel(evolve(WARM, slots=4), now_s=0.0)
    faults = TargetFaults(
        mode=FaultMode.FAIL, after_s=5.0, min_load=0.5, path_prefix="/orders"
    )
    model.set_faults(faults, 10.0)
    other = evolve(CALL, path="/stock")
    assert [plan.status for plan in begin_all(model, 4, 14.0)] == [200] * 4
    assert [plan.status for plan in begin_all(model, 1, 15.0)] == [200]
    assert [plan.status for plan in begin_all(model, 4, 15.0, other)] == [200] * 4
    assert [plan.status for plan in begin_all(model, 4, 15.0)] == [500] * 4
    model.set_faults(TargetFaults(mode=FaultMode.SLOW, rate=0.25, slow_factor=7), 20)
    plans = [begin_all(model, 1, 20.0)[0] for _ in range(1000)]
    slow = sum(plan.duration_s == 7.0 for plan in plans)
    assert 200 < slow < 300 and all(plan.status == 200 for plan in plans)


def test_faults_make_reports_late_and_false():
    """Guards against reports that stay correct in spite of the faults."""
    model = TargetModel(evolve(WARM, slots=3), now_s=0.0)
    model.set_faults(TargetFaults(report_lag_s=2.0), 0.0)
    assert model.load(0.0).running == 0
    model.admit(CALL, 0.5)
    assert model.load(1.9).running == 0
    assert model.load(2.0).running == 1
    false_reports = TargetFaults(load_lie=LoadLie.FULL, health_lie=HealthLie.FAILED)
    model.set_faults(false_reports, 3.0)
    assert model.load(3.0).running == 3
    assert model.health(3.0).state is TargetState.FAILED
