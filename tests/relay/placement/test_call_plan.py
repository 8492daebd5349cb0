"""Tests of the steps of a call at its ingress daemon."""

import pytest
from relay_builders import make_answer, make_peer, make_route

from catkinhollow.calls.retries import RetryBudget
from catkinhollow.generated.relay import CallOutcome
from catkinhollow.relay.application import RETRY_BUDGET_SHARE
from catkinhollow.relay.placement.call_plan import (
    NO_GATE_RETRY_S,
    REFUSED_RETRY_COST,
    RUN_RETRY_COST,
    CallPlan,
    Deliver,
    GiveUp,
    SendTo,
)


def make_plan(kind="safe", *, peers=3, tokens=10.0, **changes):
    offered = [make_peer(f"p{number}") for number in range(peers)]

    def choose_peer(tried):
        return next((p for p in offered if p.record.address not in tried), None)

    return CallPlan(
        route=make_route(kind=kind, **changes),
        service="stock",
        deadline_s=1.0,
        choose_peer=choose_peer,
        budget=RetryBudget(percent=10.0, tokens=tokens),
    )


def test_answer_is_delivered():
    """Guards against another run of a request that has been answered."""
    plan = make_plan()
    assert isinstance(plan.next_step(0.0), SendTo)
    assert plan.on_answer(make_answer()) == Deliver(make_answer())


def test_unsafe_call_of_unknown_outcome_is_never_sent_again():
    """Guards against a request with side effects that runs twice."""
    plan = make_plan("unsafe")
    plan.next_step(0.0)
    plan.on_answer(make_answer(CallOutcome.UNKNOWN))
    step = plan.next_step(0.1)
    assert isinstance(step, GiveUp)
    assert step.outcome is CallOutcome.UNKNOWN


@pytest.mark.parametrize("kind", ["safe", "unsafe", "download"])
def test_refused_call_goes_to_another_gate_without_budget(kind):
    """Guards against refusals while another target has free capacity."""
    plan = make_plan(kind, tokens=0.0)
    first = plan.next_step(0.0)
    plan.on_answer(make_answer(CallOutcome.NOT_RUN, retry_after_ms=200))
    second = plan.next_step(0.0)
    assert isinstance(second, SendTo)
    assert second.peer is not first.peer


def test_unknown_kind_counts_as_not_idempotent():
    """Guards against a second run on routes of a kind from a newer release."""
    plan = make_plan("novel")
    plan.next_step(0.0)
    plan.on_answer(make_answer(CallOutcome.UNKNOWN))
    assert isinstance(plan.next_step(0.1), GiveUp)


def test_retry_at_a_target_needs_the_budget():
    """Guards against retries that overload a failing service."""
    plan = make_plan(tokens=0.0)
    plan.next_step(0.0)
    plan.on_answer(make_answer(CallOutcome.UNKNOWN))
    assert isinstance(plan.next_step(0.1), GiveUp)


def test_retries_of_two_services_stay_within_the_budget_of_the_second():
    """Guards against retries that multiply along a chain of calls.

    Every run of the first service makes 1.4 calls to the second. Half of the
    runs fail at the first, and half of the second's targets refuse.
    """
    ratio, calls_per_run, requests = 0.2, 1.4, 10_000
    first = RetryBudget(percent=ratio * RETRY_BUDGET_SHARE * 100, tokens=0.0, burst=3.0)
    second = RetryBudget(
        percent=ratio * RETRY_BUDGET_SHARE * 100, tokens=0.0, burst=3.0
    )
    repeated_runs = retries = calls = 0
    for number in range(requests):
        first.earn()
        runs = 1
        if number % 2 and first.spend(RUN_RETRY_COST):
            repeated_runs += 1
            runs = 2
        for _ in range(round(calls_per_run * runs)):
            second.earn()
            calls += 1
            if calls % 2 and second.spend(REFUSED_RETRY_COST):
                retries += 1
    assert retries + repeated_runs * calls_per_run <= ratio * calls


def test_attempts_at_targets_are_bounded_by_the_route():
    """Guards against more runs than the operator allows."""
    plan = make_plan(max_attempts=2, peers=5)
    for _ in range(2):
        assert isinstance(plan.next_step(0.0), SendTo)
        plan.on_answer(make_answer(CallOutcome.UNKNOWN))
    assert isinstance(plan.next_step(0.0), GiveUp)


def test_server_error_is_delivered_when_no_repeat_is_possible():
    """Guards against a target's error replaced by one of the daemon."""
    plan = make_plan(peers=1)
    plan.next_step(0.0)
    failure = make_answer(status=500)
    assert plan.on_answer(failure) is None
    assert plan.next_step(0.1) == Deliver(failure)


def test_unsafe_server_error_is_final():
    """Guards against a second run after a failed one."""
    plan = make_plan("unsafe")
    plan.next_step(0.0)
    failure = make_answer(status=500)
    assert plan.on_answer(failure) == Deliver(failure)


def test_refusal_everywhere_is_not_run():
    """Guards against a 502 when the caller may safely retry."""
    plan = make_plan("unsafe", peers=2)
    for _ in range(2):
        plan.next_step(0.0)
        plan.on_answer(make_answer(CallOutcome.NOT_RUN, retry_after_ms=150))
    step = plan.next_step(0.0)
    assert step.outcome is CallOutcome.NOT_RUN
    assert step.retry_after_s == pytest.approx(0.15)


def test_caller_retries_when_a_gate_may_be_open_again():
    """Guards against callers told to retry at once while no gate is open.

    During a rolling restart all gates of a service were closed for 2 s; its
    callers retried after 50 ms, were refused again and gave up.
    """
    plan = make_plan(peers=0)
    step = plan.next_step(0.0)
    assert isinstance(step, GiveUp)
    assert step.outcome is CallOutcome.NOT_RUN
    assert step.retry_after_s == NO_GATE_RETRY_S
