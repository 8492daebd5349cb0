"""Tests of the schedule of a shutdown."""

import pytest

from catkinhollow.relay.shutdown.shutdown_plan import ShutdownPlan

# A request that is sent this long after the start of a shutdown must not be
# cut off at its end.
LATE_REQUEST_S = 3.0


@pytest.mark.parametrize("grace_s", [3.0, 6.0, 10.0, 30.0])
def test_no_request_is_accepted_that_the_end_would_cut_off(grace_s):
    """Guards against late requests that are passed on and get no answer."""
    plan = ShutdownPlan(grace_s)
    assert plan.refuse_requests_s < LATE_REQUEST_S
    assert plan.refuse_calls_s < plan.refuse_requests_s < plan.abort_s


@pytest.mark.parametrize("grace_s", [3.0, 6.0, 10.0, 30.0])
def test_running_requests_have_most_of_the_grace_period(grace_s):
    """Guards against requests that are aborted before it is necessary."""
    plan = ShutdownPlan(grace_s)
    assert 5.0 / 6.0 * grace_s <= plan.abort_s < grace_s
    assert plan.min_end_s <= plan.abort_s
