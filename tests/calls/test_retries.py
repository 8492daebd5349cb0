"""Tests of outcomes, the retry budget and attempt timeouts."""

import pytest

from catkinhollow.calls.call import GiveUp
from catkinhollow.calls.exchange import Outcome
from catkinhollow.calls.retries import RetryBudget, classify_result, retry_cost
from tests import builders
from tests.builders import (
    OK,
    REFUSED,
    TIMEOUT,
    begin_call,
    make_member,
    make_router,
    send_call,
)


def three_targets():
    return make_router([make_member(index, f"fd{index}") for index in range(3)])


@pytest.mark.parametrize(
    ("result", "outcome", "get_again", "post_again"),
    [
        (OK, Outcome.ANSWERED, False, False),
        (builders.ERROR, Outcome.ANSWERED, True, False),
        (REFUSED, Outcome.NOT_RUN, True, True),
        (builders.UNREACHABLE, Outcome.NOT_RUN, True, True),
        (builders.BROKEN, Outcome.UNKNOWN, True, False),
        (TIMEOUT, Outcome.UNKNOWN, True, False),
    ],
)
def test_only_safe_requests_are_sent_again(result, outcome, get_again, post_again):
    """Guards against orders that run twice and a false "not run"."""
    assert classify_result(result) is outcome
    for method, again in (("GET", get_again), ("POST", post_again)):
        call, first = send_call(three_targets(), 1000.0, method)
        call.finish_attempt(result, 1000.01)
        assert call.done != again
        if again:
            assert call.next_step(1000.01).entry is not first


def test_budget_bounds_retries_of_a_failing_service():
    """Guards against retries that multiply the load on a failing service."""
    router = make_router([make_member(index) for index in range(20)])
    for number in range(1000):
        call = begin_call(router, 1000.0 + number).ok
        while not isinstance(call.next_step(1000.0 + number), GiveUp):
            call.finish_attempt(builders.ERROR, 1000.0 + number)
    assert 200 <= router.status(2000.0).retries <= 210


def test_refusals_of_half_the_targets_stay_within_the_budget():
    """Guards against failed calls while a failure domain drains."""
    budget = RetryBudget(percent=20.0, tokens=0.0)
    for _ in range(100):
        budget.earn()
        assert budget.spend(retry_cost(REFUSED))
    assert not RetryBudget(percent=0.0).spend(0.2)


def test_deadline_is_reduced_per_attempt():
    """Guards against attempts that outlive the caller's deadline."""
    call = begin_call(three_targets(), 1000.0, deadline_ms=500).ok
    assert call.next_step(1000.0).timeout_s == pytest.approx(0.5)
    call.finish_attempt(REFUSED, 1000.2)
    assert call.next_step(1000.2).timeout_s == pytest.approx(0.3)
    call.finish_attempt(REFUSED, 1000.499)
    step = call.next_step(1000.499)
    assert step == GiveUp(outcome=Outcome.NOT_RUN, reason="the deadline has passed")


def test_hung_attempt_leaves_time_for_another():
    """Guards against one hung target that uses up a lookup's deadline."""
    router = three_targets()
    call, _ = send_call(router, 1000.0)
    call.finish_attempt(OK, 1000.01)
    call = begin_call(router, 1100.0).ok
    assert call.next_step(1100.0).timeout_s == pytest.approx(1.0)
    call.finish_attempt(TIMEOUT, 1101.0)
    assert call.next_step(1101.0).timeout_s == pytest.approx(0.5)
