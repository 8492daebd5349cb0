"""Tests of the reporting of usage by several daemons, in virtual time."""

from inspect import Signature, signature

import pytest
import trio
from trio.testing import MockClock
from usage_fleet import START_UNIX_S, UsageFleet

from catkinhollow.generated.relay import UsageMessage
from catkinhollow.relay.usage.report_plan import ReportOutcome

WINDOW_S = 5.0
LATE_S = 10.0
SIZE = 24


def in_virtual_time(test):
    """Run a test with a fleet, which ends with the test."""

    def run(**arguments):
        async def main():
            async with trio.open_nursery() as nursery:
                await test(UsageFleet(nursery, SIZE), **arguments)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    parameters = list(signature(test).parameters.values())
    run.__signature__ = Signature(parameters[1:])
    run.__doc__ = test.__doc__
    return run


def window_at(now_s):
    return int((START_UNIX_S + now_s) // WINDOW_S)


async def run_until(fleet, until_s, **options):
    """Apply load until a time, then let its last windows be reported."""
    await fleet.load(until_s, **options)
    await trio.sleep(LATE_S + WINDOW_S)


def check_reports(fleet, until_s, *, least=0.999, skipped=()):
    """Check that all windows until a time were reported, once and in time."""
    first, last = window_at(0.0), window_at(until_s)
    for window in range(first, last):
        if window in skipped:
            continue
        low, high = fleet.share_reported(window)
        assert low >= least, window
        assert high <= 1.0, window
        assert fleet.api.ages_s[window] <= LATE_S, window
    windows = [report.window for _, report in fleet.api.calls]
    assert sorted(windows) == windows


@in_virtual_time
async def test_every_window_is_reported_once_and_in_time(fleet):
    """Guards against windows that are missing, late or wrong."""
    await run_until(fleet, 41.0)
    check_reports(fleet, 41.0)
    windows = [report.window for _, report in fleet.api.calls]
    assert len(set(windows)) == len(windows)
    assert len(fleet.holders) == 1
    assert {report.epoch for _, report in fleet.api.calls} == {1}
    assert not any(member.resets for member in fleet.members.values())


@in_virtual_time
async def test_link_without_receipts_is_replaced(fleet):
    """Guards against counts that wait for a dead link."""
    await fleet.load(12.0)
    (holder,) = fleet.holders
    name = next(name for name in fleet.members if name != holder)
    fleet.cut_off.add(name)
    await fleet.load(22.0)
    resets = fleet.members[name].resets
    assert set(resets) == {f"{holder}:1"}
    assert len(resets) <= 4


@in_virtual_time
async def test_store_gets_few_calls_and_only_from_few_daemons(fleet):
    """Guards against daemons that poll the store."""
    await run_until(fleet, 41.0)
    seconds = fleet.now_s
    renewals = seconds / 1.5
    decisions = seconds / WINDOW_S
    assert len(fleet.store.calls) <= 1.1 * (renewals + decisions) + 10
    callers = {name for time_s, name, _ in fleet.store.calls if time_s > 7.5}
    assert callers == set(fleet.holders)


@in_virtual_time
async def test_bytes_of_a_daemon_do_not_grow_with_the_fleet(_):
    """Guards against counts that are passed on by every daemon."""
    sent = []
    for size in (12, 96):
        async with trio.open_nursery() as nursery:
            fleet = UsageFleet(nursery, size)
            await fleet.load(21.0, rate_per_s=4.0 * size)
            holder = fleet.holders[0]
            others = [
                member.sent_bytes
                for name, member in fleet.members.items()
                if name != holder
            ]
            sent.append(sum(others) / len(others))
            nursery.cancel_scope.cancel()
    assert sent[1] <= 1.3 * sent[0]


@in_virtual_time
async def test_lost_late_and_repeated_messages_change_no_count(fleet):
    """Guards against counts that depend on every message."""
    fleet.loss = 0.2
    await run_until(fleet, 41.0)
    check_reports(fleet, 41.0, least=0.95)


@pytest.mark.parametrize("killed_s", [14.0, 15.5, 16.9, 18.2])
@in_virtual_time
async def test_killed_holder_is_replaced_before_windows_are_late(fleet, killed_s):
    """Guards against windows that die with the holder."""
    await fleet.load(killed_s)
    (holder,) = fleet.holders
    fleet.kill(holder)
    await run_until(fleet, 41.0)
    check_reports(fleet, 41.0, least=0.85)
    check_reports(fleet, 41.0, skipped={window_at(killed_s), window_at(killed_s) - 1})
    holders = [report.holder for _, report in fleet.api.calls]
    assert len(set(holders)) == 2
    epochs = [report.epoch for _, report in fleet.api.calls]
    assert sorted(epochs) == epochs


@in_virtual_time
async def test_partitioned_holder_is_replaced(fleet):
    """Guards against a holder without the store that goes on."""
    await fleet.load(12.0)
    (holder,) = fleet.holders
    fleet.store.cut_off.add(holder)
    fleet.cut_off.add(holder)
    await fleet.load(30.0)
    fleet.store.cut_off.clear()
    fleet.cut_off.clear()
    await run_until(fleet, 46.0)
    check_reports(fleet, 46.0, least=0.8)
    assert len(fleet.holders) == 1
    assert fleet.holders != [holder]


@in_virtual_time
async def test_holder_without_the_api_lets_another_daemon_report(fleet):
    """Guards against reports that one broken path holds up."""
    await fleet.load(12.0)
    (holder,) = fleet.holders
    fleet.api.cut_off.add(holder)
    await run_until(fleet, 41.0)
    first, last = window_at(0.0), window_at(41.0)
    assert set(range(first, last)) <= fleet.api.reports.keys()
    late = [window for window, age_s in fleet.api.ages_s.items() if age_s > LATE_S]
    assert len(late) <= 1
    assert fleet.holders != [holder]


@in_virtual_time
async def test_no_call_without_the_store_and_no_flood_afterwards(fleet):
    """Guards against calls of a holder whose lease is not renewed."""
    await fleet.load(12.0)
    fleet.store.down = True
    await fleet.load(32.0)
    during = [time_s for time_s, _ in fleet.api.calls if 15.0 < time_s < 32.0]
    assert during == []
    calls = [time_s for time_s, _, _ in fleet.store.calls if time_s > 16.0]
    assert len(calls) <= 16.0 * 8 / 1.5 + 8
    fleet.store.down = False
    await run_until(fleet, 50.0)
    times = [time_s for time_s, _ in fleet.api.calls if time_s >= 32.0]
    gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
    assert min(gaps) >= 0.1
    windows = [report.window for _, report in fleet.api.calls]
    assert sorted(windows) == windows
    assert sorted(set(windows)) == list(range(window_at(0.0), windows[-1] + 1))


@pytest.mark.parametrize("outcome", [ReportOutcome.BUSY, ReportOutcome.FAILED])
@in_virtual_time
async def test_busy_api_gets_few_calls_and_all_windows_later(fleet, outcome):
    """Guards against repeats that keep an API from answering."""
    await fleet.load(10.0)
    fleet.api.outcome = outcome
    await fleet.load(30.0)
    calls = [time_s for time_s, _ in fleet.api.calls if time_s > 10.0]
    assert len(calls) <= 20.0 / 2.0 + 4
    fleet.api.outcome = ReportOutcome.ACCEPTED
    await run_until(fleet, 40.0)
    windows = [report.window for _, report in fleet.api.calls]
    assert sorted(windows) == windows
    assert set(range(window_at(0.0), window_at(40.0))) <= fleet.api.reports.keys()
    assert len({report.holder for _, report in fleet.api.calls}) == 1


@in_virtual_time
async def test_slow_api_does_not_end_the_term(fleet):
    """Guards against renewals that wait for a report."""
    fleet.api.delay_s = 2.4
    await run_until(fleet, 41.0)
    check_reports(fleet, 41.0)
    assert {report.epoch for _, report in fleet.api.calls} == {1}


@in_virtual_time
async def test_restarted_daemon_counts_nothing_twice(fleet):
    """Guards against a restart that adds its earlier counts again."""
    await fleet.load(13.0)
    (holder,) = fleet.holders
    name = next(name for name in fleet.members if name != holder)
    await trio.sleep(2.0)
    fleet.kill(name)
    fleet.start(name, 2)
    await run_until(fleet, 36.0)
    check_reports(fleet, 36.0)


@in_virtual_time
async def test_receipt_for_an_ended_process_does_not_count_for_the_next(fleet):
    """Guards against runs that are never reported after a late message."""
    await fleet.load(13.0)
    (holder,) = fleet.holders
    name = next(name for name in fleet.members if name != holder)
    await trio.sleep(window_at(13.0) * WINDOW_S + 5.1 - START_UNIX_S - fleet.now_s)
    ended = fleet.members[name]
    fleet.cut_off.add(name)
    for _ in range(60):
        fleet.count(name, "acme")
    late = UsageMessage(
        beacon=ended.service.beacon,
        parts=ended.service._own.unreceived(),
        asks=True,
    )
    fleet.kill(name)
    fleet.start(name, 2)
    fleet.cut_off.discard(name)
    await trio.sleep(1.1)
    fleet.deliver(ended, f"{holder}:1", late)
    await trio.sleep(0.0)
    for _ in range(20):
        fleet.count(name, "acme")
    await run_until(fleet, 36.0)
    check_reports(fleet, 36.0)


@in_virtual_time
async def test_wrong_wall_clock_of_one_daemon_does_little(fleet):
    """Guards against windows that one wrong clock spoils."""
    await fleet.load(12.0)
    (holder,) = fleet.holders
    name = next(name for name in fleet.members if name != holder)
    fleet.members[name].clock.skew_s = 40.0
    await fleet.load(30.0)
    fleet.members[name].clock.skew_s = 0.0
    await run_until(fleet, 46.0)
    check_reports_roughly(fleet, 46.0)


def check_reports_roughly(fleet, until_s):
    for window in range(window_at(0.0), window_at(until_s)):
        reported = sum(fleet.api.reports[window].values())
        true_count = sum(fleet.true_counts[window].values())
        assert 0.85 <= reported / true_count <= 1.15


@in_virtual_time
async def test_leases_of_an_earlier_fleet_are_continued(fleet):
    """Guards against epochs that begin again after all daemons restarted."""
    await fleet.load(20.0)
    reported = len(fleet.api.calls)
    for name in list(fleet.members):
        fleet.kill(name)
    for name in fleet.names:
        fleet.start(name, 2)
    await run_until(fleet, 46.0)
    assert fleet.api.calls[-1][1].epoch == 2
    assert len(fleet.api.calls) > reported
    windows = [report.window for _, report in fleet.api.calls]
    assert set(range(window_at(0.0), window_at(46.0))) <= set(windows)
