"""Tests of the decisions about windows and reports, in virtual time."""

from math import inf

import pytest

from catkinhollow.generated.relay import DecidedWindow, DecidedWindows
from catkinhollow.relay.usage.report_plan import (
    MAX_TRIES,
    ReportOutcome,
    ReportPlan,
    ReportTimes,
)

TIMES = ReportTimes(window_s=5.0, late_s=10.0, calls_per_s=50.0)


def make_plan(stored=None, floor=-1):
    plan = ReportPlan(TIMES)
    plan.load(stored or DecidedWindows(), floor)
    return plan


def decide(plan, windows, epoch=1, runs=3):
    proposal = plan.propose({window: {"a": runs} for window in windows}, epoch)
    plan.written(proposal)
    return proposal


def send_all(plan, answer, until_s, now_s=0.0, window=lambda now_s: 10):
    """Send what is due every 50 ms; return time, window and outcome."""
    calls = []
    while now_s < until_s:
        report = plan.next_report(now_s, window(now_s))
        if report is not None:
            plan.begin_call(now_s)
            outcome = answer(now_s, report.window)
            calls.append((now_s, report.window, outcome))
            plan.record(report.window, outcome, now_s)
        now_s += 0.05
    return calls


def test_window_is_decided_when_its_parts_should_have_arrived():
    """Guards against reports that lack the last parts, or are late."""
    plan = make_plan()
    assert plan.choose_due(10, 11, -5.0) == []
    assert plan.choose_due(10, 11, -1.6) == []
    assert plan.choose_due(10, 11, -1.4) == [10]
    decide(plan, [10])
    assert plan.choose_due(10, 11, -1.4) == []


def test_window_is_decided_once_across_holders():
    """Guards against two reports of one window with different counts."""
    first = make_plan()
    stored = decide(first, [10], epoch=1, runs=3)
    second = make_plan(stored)
    assert second.choose_due(10, 11, 4.0) == [11]
    proposal = decide(second, [11], epoch=2, runs=9)
    assert [each.counts for each in proposal.windows] == [{"a": 3}, {"a": 9}]
    assert second.next_report(0.0, 11) == stored.windows[0]


def test_proposal_is_sent_only_when_it_is_written():
    """Guards against a report that a later holder does not know."""
    plan = make_plan()
    plan.propose({10: {"a": 3}}, 1)
    assert plan.next_report(0.0, 11) is None
    plan.unload()
    theirs = DecidedWindow(window=10, epoch=2, counts={"a": 8})
    plan.load(DecidedWindows(windows=[theirs]), -1)
    assert plan.next_report(0.0, 11) == theirs


def test_window_whose_decision_the_store_lost_is_not_decided_again():
    """Guards against other counts for a window that was reported."""
    assert make_plan(floor=12).choose_due(10, 14, 0.0) == [13]


def test_holder_writes_lost_decisions_again():
    """Guards against a store that lacks what has been reported."""
    plan = make_plan()
    decide(plan, [10])
    plan.unload()
    plan.load(DecidedWindows(), -1)
    proposal = plan.propose({11: {}}, 1)
    assert [each.window for each in proposal.windows] == [10, 11]


def test_reported_windows_are_not_sent_by_the_next_holder():
    """Guards against a holder that repeats every report of its predecessor."""
    plan = make_plan()
    decide(plan, [10, 11])
    plan.record(10, ReportOutcome.ACCEPTED, 0.0)
    following = make_plan(plan.propose({12: {}}, 1))
    assert following.next_report(0.0, 12).window == 11


def test_order_is_kept_and_rate_bounded_after_an_outage():
    """Guards against a flood when the API answers again."""
    plan = make_plan()
    decide(plan, range(10, 18))

    def answer(now_s, window):
        return ReportOutcome.ACCEPTED if now_s >= 20.0 else ReportOutcome.UNREACHABLE

    calls = send_all(plan, answer, 40.0)
    before = [call for call in calls if call[0] < 20.0]
    after = [call for call in calls if call[0] >= 20.0]
    assert len(before) <= 13
    assert {window for _, window, _ in before} == {10}
    assert [window for _, window, _ in after] == list(range(10, 18))
    gaps = [
        later[0] - earlier[0] for earlier, later in zip(after, after[1:], strict=False)
    ]
    assert min(gaps) >= TIMES.spacing_s - 1e-9


@pytest.mark.parametrize(
    "outcome", [ReportOutcome.BUSY, ReportOutcome.FAILED, ReportOutcome.UNREACHABLE]
)
def test_repeats_are_bounded(outcome):
    """Guards against a report that is repeated for ever."""
    plan = make_plan()
    decide(plan, [10])
    calls = send_all(plan, lambda *_: outcome, 300.0)
    assert len(calls) == MAX_TRIES
    assert plan.missed == 1
    assert plan.waiting == 0


def test_refused_report_does_not_block_later_ones():
    """Guards against one window that holds up all others."""
    plan = make_plan()
    decide(plan, [10, 11])

    def answer(now_s, window):
        return ReportOutcome.REFUSED if window == 10 else ReportOutcome.ACCEPTED

    assert [call[1] for call in send_all(plan, answer, 5.0)] == [10, 11]
    assert (plan.sent, plan.missed) == (1, 1)


def test_one_call_is_open_at_a_time():
    """Guards against reports that overtake each other."""
    plan = make_plan()
    decide(plan, [10, 11])
    plan.begin_call(0.0)
    assert plan.next_report(1000.0, 11) is None


def test_unreachable_api_is_left_to_another_daemon():
    """Guards against a holder that is cut off from the API alone."""
    plan = make_plan()
    decide(plan, [10])
    plan.begin_call(0.0)
    plan.record(10, ReportOutcome.UNREACHABLE, 1.0)
    assert not plan.is_unreachable(2.0)
    assert plan.is_unreachable(2.5)
    plan.record(10, ReportOutcome.FAILED, 3.0)
    assert not plan.is_unreachable(inf)


def test_old_windows_are_given_up_after_an_outage_of_the_store():
    """Guards against an object in the store that grows without bound."""
    plan = make_plan()
    decide(plan, [10])
    due = plan.choose_due(10, 100, 0.0)
    assert due == list(range(99 - TIMES.kept_windows + 1, 100))
    assert plan.missed == due[0] - 11
    assert len(decide(plan, due).windows) == TIMES.kept_windows
