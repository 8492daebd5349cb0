"""Tests of the load header and of the speed that a gate learns."""

from random import Random

import pytest
from relay_builders import make_announcement, make_gate, make_job

from catkinhollow.calls.retries import AttemptKind
from catkinhollow.relay.admission.gate_jobs import Admitted, Queued, Refused
from catkinhollow.relay.admission.load_header import parse_load_header
from catkinhollow.relay.admission.target_load import LoadFigures
from catkinhollow.relay.admission.target_speed import TargetSpeed


@pytest.mark.parametrize(
    ("value", "figures"),
    [
        (b"3,0,9", LoadFigures(3, 0, 9)),
        (b"3, 1, 9, 250", LoadFigures(3, 1, 9, 2.5)),
        (b"3,1,9,9", LoadFigures(3, 1, 9)),
        (b"3,1,9,10001", LoadFigures(3, 1, 9)),
    ],
)
def test_load_header_is_read(value, figures):
    """Guards against a load that is ignored because of its fourth figure."""
    assert parse_load_header(value) == figures


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"3",
        b"3,1",
        b"3,1,9,100,7",
        b"3,-1,9",
        b"3,1.5,9",
        b"3,x,9",
        b"3,1,9,nan",
        b"\xb2,1,9",
        b"9" * 5000 + b",1,9",
    ],
)
def test_malformed_load_header_is_ignored(value):
    """Guards against a target that ends its gate with a header."""
    assert parse_load_header(value) is None


def record_runs(speed, route, taken_s, runs, now_s=0.0, slowness=1.0):
    for _ in range(runs):
        speed.record_run(route, taken_s, slowness, now_s)


def test_speed_does_not_depend_on_the_mix_of_calls():
    """Guards against a target that looks slow because it gets long calls."""
    speed = TargetSpeed()
    for _ in range(10):
        record_runs(speed, "short", 0.16, 1)
        record_runs(speed, "long", 1.0, 1)
    record_runs(speed, "long", 1.0, 50)
    assert speed.speed(0.0) == 0.0
    assert speed.route_times_ms() == {"short": 160, "long": 1000}


def test_slow_down_is_seen_in_the_runs_of_other_routes():
    """Guards against a slow-down that each route has to find out."""
    speed = TargetSpeed()
    record_runs(speed, "short", 0.16, 20)
    record_runs(speed, "long", 1.0, 20)
    record_runs(speed, "long", 3.0, 10, now_s=1.0)
    assert speed.in_force
    assert 0.3 < speed.expected_s("short", speed.slowness(1.0)) < 0.6
    assert speed.speed(1.0) < 0.6


def test_slowness_of_runs_is_forgotten_without_runs():
    """Guards against a target that nobody tries again after a slow-down."""
    speed = TargetSpeed()
    record_runs(speed, "r", 0.1, 20)
    record_runs(speed, "r", 0.5, 20, now_s=1.0)
    assert speed.expected_s("r", speed.slowness(1.0)) > 0.4
    assert speed.slowness(11.0) < 1.1


def test_varying_run_times_show_no_slowness():
    """Guards against a speed where targets are equally fast.

    Run times vary between 0.5 and 1.5 of their mean.
    """
    random = Random(1)
    speed = TargetSpeed()
    for step in range(2000):
        speed.record_run("r", random.uniform(0.1, 0.3), 1.0, step * 0.05)
        assert not speed.in_force


def test_reported_figure_scales_the_expected_run_times_at_once():
    """Guards against calls that are late for the first runs of a slow-down."""
    speed = TargetSpeed()
    for step in range(100):
        speed.report_figure(1.0, step * 0.1)
        speed.record_run("r", 0.2, 1.0, step * 0.1)
    speed.report_figure(3.0, 10.0)
    assert speed.expected_s("r", speed.slowness(10.0)) == pytest.approx(0.6, rel=0.01)
    assert speed.speed(10.0) == pytest.approx(0.34, abs=0.01)
    # Without a header for 2 s the usual figure counts.
    assert speed.slowness(12.1) == pytest.approx(1.0, abs=0.05)


def test_figure_that_is_always_the_same_is_the_usual_speed():
    """Guards against a slow machine that always counts as slowed down."""
    speed = TargetSpeed()
    for step in range(100):
        speed.report_figure(1.6, step * 0.1)
        speed.record_run("r", 0.32, 1.6, step * 0.1)
    assert speed.speed(10.0) == 1.0
    assert speed.route_times_ms() == {"r": 320}
    assert speed.expected_s("r", speed.slowness(10.0)) == pytest.approx(0.32)


def test_false_figure_is_corrected_by_the_runs():
    """Guards against a target that always reports that it is fast."""
    speed = TargetSpeed()
    for step in range(60):
        speed.report_figure(1.0, step * 0.1)
        speed.record_run("r", 0.2 if step < 30 else 0.8, 1.0, step * 0.1)
    assert 0.6 < speed.expected_s("r", speed.slowness(6.0)) < 0.9
    assert speed.speed(6.0) < 0.6


def make_slowed_gate(slowness):
    """Return a gate with 2 slots whose runs take 0.1 s at the usual speed."""
    gate = make_gate()
    for number in range(10):
        job = make_job(number * 0.2, call_id=number)
        assert isinstance(gate.offer(job, number * 0.2), Admitted)
        gate.record_load(LoadFigures(1, 0, 2, 1.0), number * 0.2 + 0.1)
        gate.finish(job, AttemptKind.ANSWERED, 200, number * 0.2 + 0.1)
    gate.record_load(LoadFigures(0, 0, 2, slowness), 2.0)
    for number in range(3):
        assert isinstance(gate.offer(make_job(2.0, call_id=20 + number), 2.0), Admitted)
    return gate


def test_slow_down_refuses_calls_that_cannot_start_in_time():
    """Guards against calls that wait at a target that has just slowed down."""
    usual, slowed = make_slowed_gate(1.0), make_slowed_gate(8.0)
    job = make_job(2.0, soft_deadline_s=0.5, deadline_s=0.7)
    assert isinstance(usual.offer(job, 2.0), Queued)
    assert isinstance(slowed.offer(job, 2.0), Refused)


def test_report_tells_speed_and_work():
    """Guards against ingress daemons that count calls, not their time."""
    gate = make_slowed_gate(2.0)
    report = gate.report(2.0, routes=True)
    # The usual figure contains a few weights of the last one.
    assert report.speed == pytest.approx(0.55, abs=0.06)
    assert report.route_ms["r"] == pytest.approx(100, rel=0.12)
    assert report.held_ms == pytest.approx(300, rel=0.12)
    assert gate.report(2.0).route_ms == {}


def test_new_lifetime_has_no_slow_down_of_the_last_one():
    """Guards against a restarted target that looks as slow as before."""
    gate = make_slowed_gate(4.0)
    gate.announce(make_announcement("t2", started_ms=9000), 2.1)
    assert gate.report(2.1).speed == 0.0
