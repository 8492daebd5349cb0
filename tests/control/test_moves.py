"""Tests of the steps of a move; test_move_trials covers complete moves."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.control.moves import STEPS, Capacity, MoveDriver, replace_split
from catkinhollow.generated.fleet import MoveState
from tests.control.test_move_trials import Fault, Trial, make_move, write_all

PERCENTS = [step.percent for step in STEPS]


@settings(derandomize=True, deadline=None, max_examples=12)
@given(
    ready=st.lists(st.integers(0, 8), min_size=12, max_size=12), seed=st.integers(0, 99)
)
def test_share_stays_within_capacity(ready, seed):
    """Guards against a step whose load the new targets cannot serve."""
    driver, revision, trial = MoveDriver(make_move(240), 1), 1, Trial(seed, Fault())
    driver.start_term(1)
    for now_s in range(242):
        capacity = Capacity(ready_slots=ready[min(11, now_s // 20)])
        before = driver.move.percent
        revision = write_all(driver, now_s * 1000, revision, capacity)
        # 150 requests per second of 20 ms each occupy 3 slots.
        supported = 100.0 * capacity.ready_slots / 3.0
        if driver.move.percent > before and now_s > 1:
            assert driver.move.percent <= max(1.0, 0.74 * supported)
        if driver.move.state == MoveState.RUNNING:
            assert driver.move.percent <= max(1.0, 1.1 * supported)
        driver.observe(trial.window(now_s, driver.move.percent))
    done = driver.move.percent == 100.0
    assert driver.move.state == (MoveState.DONE if done else MoveState.WITHDRAWN)


@settings(derandomize=True, deadline=None, max_examples=12)
@given(takeovers=st.sets(st.integers(0, 11)), duration_s=st.sampled_from([60, 240]))
def test_takeovers_do_not_delay_a_good_version(takeovers, duration_s):
    """Guards against a schedule that restarts after a takeover."""
    driver, revision, trial = MoveDriver(make_move(duration_s), 1), 1, Trial(1, Fault())
    driver.start_term(1)
    for now_s in range(duration_s):
        if now_s * 12 % duration_s == 0 and now_s * 12 // duration_s in takeovers:
            driver = MoveDriver(driver.move, revision)
            driver.start_term(driver.move.epoch + 1)
        revision = write_all(driver, now_s * 1000, revision, Capacity(ready_slots=99))
        driver.observe(trial.window(now_s, driver.move.percent))
    assert driver.move.state == MoveState.DONE


def test_deadline_without_capacity_withdraws():
    """Guards against a move that never ends."""
    driver = MoveDriver(make_move(60), 1)
    driver.start_term(1)
    revision = write_all(driver, 0, 1, Capacity(ready_slots=0))
    assert driver.move.percent == 0.0
    write_all(driver, 60_000, revision, Capacity(ready_slots=0))
    assert driver.move.state == MoveState.WITHDRAWN
    assert driver.move.reason == "the deadline passed at 0 %"


def test_new_holder_resumes_at_every_step():
    """Guards against a new holder that repeats or skips a step."""
    for number, step in enumerate(STEPS[1:-1], start=1):
        move = evolve(make_move(), step=number, percent=step.percent)
        driver = MoveDriver(move, 5)
        driver.start_term(2)
        write_all(driver, 1000, 5)
        assert driver.move == evolve(move, epoch=2)


def test_only_one_split_changes():
    """Guards against a write that discards another operator's change."""
    fleet = {"services": [{"name": "a", "x": 1}, {"name": "b"}], "defaults": {"y": 2}}
    changed = replace_split(fleet, "b", ["new"])
    assert changed["services"] == [
        {"name": "a", "x": 1},
        {"name": "b", "split": ["new"]},
    ]
    assert changed["defaults"] == fleet["defaults"]
    assert replace_split(fleet, "c", []) is None
