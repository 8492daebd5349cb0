"""Tests of how long a connection stays open after its last response."""

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.calls.closing_plan import (
    DELIVERED_WAIT_S,
    MAX_WAIT_S,
    ClosingPlan,
)

STALL_S = 15.0


def make_plan(**changes):
    settings = {"begun_s": 0.0, "stall_s": STALL_S, "max_input_bytes": 1000}
    return ClosingPlan(**{**settings, **changes})


def play(plan, sizes, end_s=MAX_WAIT_S * 2):
    """Return when a connection is closed whose unread bytes go this way."""
    now_s, sizes = 0.0, iter(sizes)
    size = None
    while now_s < end_s:
        size = next(sizes, size)
        plan.on_check(now_s, size)
        wait_s = plan.wait_s(now_s)
        if not wait_s:
            return now_s
        now_s += wait_s
    return now_s


def test_slow_caller_is_waited_for_while_it_reads():
    """Guards against a response that a slow caller loses."""
    plan = make_plan()
    sizes = list(range(200_000, -1, -5000))
    closed_s = play(plan, sizes)
    assert plan.delivered
    assert STALL_S < closed_s < MAX_WAIT_S


def test_caller_that_stops_to_read_is_given_up():
    """Guards against connections that stay open for ever."""
    plan = make_plan()
    assert STALL_S <= play(plan, [200_000, 100_000]) <= STALL_S + 2.0
    assert not plan.delivered


def test_caller_that_has_everything_is_given_the_time_to_close():
    """Guards against a reset before the caller has read what it received."""
    assert play(make_plan(), [0]) == DELIVERED_WAIT_S
    assert play(make_plan(awaits_caller=False), [0]) == 0.0


def test_idle_connection_is_closed_when_everything_is_delivered():
    """Guards against a shutdown that waits for callers that don't close."""
    plan = make_plan(awaits_caller=False)
    assert 0.0 < play(plan, [5000, 3000, 0]) < 1.0


def test_unknown_progress_is_waited_for_only_if_the_caller_has_to_close():
    """Guards against idle connections of which nothing is known."""
    assert play(make_plan(), [None]) == STALL_S
    assert play(make_plan(awaits_caller=False), [None]) == 0.0


def test_caller_that_goes_on_sending_is_given_up():
    """Guards against an upload without end that is read and dropped."""
    plan = make_plan()
    plan.on_check(0.0, 100)
    plan.on_input(1000)
    assert plan.wait_s(0.0) > 0
    plan.on_input(1)
    assert plan.wait_s(0.0) == 0.0


@given(
    st.lists(st.one_of(st.none(), st.integers(0, 10**6)), max_size=40), st.booleans()
)
@settings(derandomize=True, deadline=None)
def test_each_connection_is_closed_in_the_end(sizes, awaits_caller):
    """Guards against a caller who holds a connection by odd progress."""
    assert play(make_plan(awaits_caller=awaits_caller), sizes) <= MAX_WAIT_S + 1.0
