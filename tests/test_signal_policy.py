"""Tests of what a daemon does about signals."""

import signal

from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.signal_policy import SignalAction, SignalPolicy
from catkinhollow.startup.held_signals import HANDLED_SIGNALS, STOP_SIGNALS


@given(st.lists(st.sampled_from(HANDLED_SIGNALS), max_size=12))
@settings(derandomize=True, deadline=None)
def test_only_the_first_request_to_stop_counts(numbers):
    """Guards against a shutdown that another signal restarts or cuts short."""
    policy = SignalPolicy()
    actions = [policy.on_signal(number) for number in numbers]
    stops = [index for index, number in enumerate(numbers) if number in STOP_SIGNALS]
    first = stops[0] if stops else len(numbers)
    assert actions[:first] == [SignalAction.RELOAD] * first
    if stops:
        assert actions[first] is SignalAction.STOP
    assert set(actions[first + 1 :]) <= {SignalAction.IGNORE}


def test_reload_is_asked_for_by_sighup_only():
    """Guards against a daemon that takes another signal for a reload."""
    assert SignalPolicy().on_signal(signal.SIGHUP) is SignalAction.RELOAD
