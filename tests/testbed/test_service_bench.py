"""Tests of the figures of the domain and the move experiments."""

import pytest
from attrs import evolve

from catkinhollow.generated.bench import DomainPlan
from catkinhollow.generated.fleet import Move, MoveState
from catkinhollow.generated.testbed import Execution
from catkinhollow.testbed.callers import CallKind, CallRecord, CallResult
from catkinhollow.testbed.domain_bench import (
    DomainTimes,
    compute_call_rates,
    compute_reached_figures,
    load_example,
    make_call_kinds,
    served_percent,
)
from catkinhollow.testbed.move_bench import MoveTrace


def make_executions(*starts_ms, status=200, taken_ms=10):
    return [
        Execution(
            request_id=f"r{start_ms}",
            method="GET",
            path="/readings",
            start_ms=start_ms,
            end_ms=start_ms + taken_ms,
            status=status,
        )
        for start_ms in starts_ms
    ]


def make_record(worth, result):
    kind = CallKind(name="k", method="GET", path="/", weight=1, worth=worth)
    return CallRecord(
        request_id="r", kind=kind, result=result, status=0, started_s=0, taken_s=0
    )


def test_served_share_is_weighted_by_worth():
    """Guards against a served share that counts calls without weight."""
    records = [make_record(9, CallResult.OK), make_record(1, CallResult.NOT_RUN)]
    assert served_percent([*records, make_record(0, CallResult.FAILED)]) == 90.0


def test_call_rates_exclude_the_slots_of_the_domain_out_of_service():
    """Guards against rates that leave no spare capacity with a domain out."""
    plan = DomainPlan(deployments=[], service_ms=500, use_percent=50)
    assert compute_call_rates(plan, {"a": 3, "b": 5}) == {"a": 20.0, "b": 30.0}


@pytest.mark.parametrize("example", ["board", "consortium"])
def test_kinds_share_the_rate_of_their_service(example):
    """Guards against routes that exceed the rate of their service."""
    fleet = load_example(example)
    service = fleet.services[0].name
    kinds = make_call_kinds(fleet, {service: 20.0})
    assert sum(kind.weight for kind in kinds) == pytest.approx(100 * 20.0)
    assert {kind.name for kind in kinds} == {
        route.name for route in fleet.routes if route.service == service
    }


def test_new_calls_in_a_domain_that_is_out_are_late_after_2_s():
    """Guards against late calls that are not counted."""
    times = DomainTimes(began_ms=0, out_ms=1000, in_ms=9000, ended_ms=9900)
    removed = make_executions(900, 1500, 3000, 3001, 9000)
    assert compute_reached_figures(removed, times) == {
        "reached_later_than_2_s": 1,
        "last_new_call_ms": 2001,
        "reached_after_return": 1,
    }


def make_trace(**changes):
    move = Move(
        service="readings",
        version="v2",
        old_version="v1",
        operator="o",
        started_ms=1000,
        deadline_ms=31_000,
        state=MoveState.WITHDRAWN,
        ended_ms=9000,
    )
    trace = MoveTrace(
        move=move,
        old=make_executions(*range(1000, 4000, 100)),
        new=[
            *make_executions(900, 2000),
            *make_executions(2500, 4000, 6001, status=500),
        ],
        quarantined_ms=[4000, 4200],
        slow_ms=float("inf"),
    )
    return evolve(trace, **changes)


def test_figures_of_a_withdrawn_move():
    """Guards against late calls after the first fault that are not counted."""
    figures = make_trace().figures()
    assert figures["withdrawn"] and not figures["done"]
    assert figures["took_s"] == 8.0
    assert figures["before_deadline_s"] == 22.0
    assert figures["reached_percent"] == pytest.approx(100 * 3 / 33)
    assert figures["calls_before_the_move"] == 1
    assert figures["evidence_to_withdrawal_s"] == pytest.approx(1.49)
    assert figures["later_than_2_s_after_quarantine"] == 1
    assert figures["later_than_2_s_after_evidence"] == 1


def test_slow_calls_count_as_faulty():
    """Guards against a slow version that does not count as faulty."""
    slow = make_executions(2000, taken_ms=300)
    figures = make_trace(new=slow, slow_ms=200).figures()
    assert figures["evidence_to_withdrawal_s"] == pytest.approx(1.7)
    assert "evidence_to_withdrawal_s" not in make_trace(new=slow).figures()


def test_figures_are_numbers():
    """Guards against boolean figures, with which a result is not readable."""
    figures = make_trace().figures()
    assert not [name for name, value in figures.items() if isinstance(value, bool)]
