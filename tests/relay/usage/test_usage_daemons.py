"""Tests of usage reports with complete daemons on loopback."""

import pytest
import trio
from relay_builders import make_route
from relay_fleet import RelayFleet

from catkinhollow.generated.relay import Organisation
from catkinhollow.relay.usage.report_plan import ReportOutcome

pytestmark = pytest.mark.processes


class RecordingApi:
    """Record the reports of all daemons."""

    def __init__(self):
        self.reports = []

    async def report(self, report, may_send):
        assert may_send()
        self.reports.append(report)
        return ReportOutcome.ACCEPTED

    @property
    def totals(self):
        totals = {}
        for report in self.reports:
            for organisation, runs in report.counts.items():
                totals[organisation] = totals.get(organisation, 0) + runs
        return totals


async def test_runs_of_all_gates_are_reported_by_one_daemon(nursery):
    """Guards against counts that do not reach the API."""
    fleet = RelayFleet(nursery)
    api = RecordingApi()
    organisations = [
        Organisation(name="acme", keys=["k1"]),
        Organisation(name="bolt", keys=["k2"]),
    ]
    fleet.configure(
        routes=[make_route(kind="safe", allow_anonymous=True)],
        organisations=organisations,
    )
    options = {
        "usage_api": api,
        "lease_ms": 600.0,
        "thaw_slack_ms": 60.0,
        "usage_window_s": 0.5,
        "usage_late_s": 2.0,
    }
    await fleet.start("one", service="shop", **options)
    for name in ("two", "three", "four"):
        await fleet.start(name, service="stock", **options)
    await fleet.wait_linked()
    for number in range(24):
        key = (b"Token k1", b"Token k2", None)[number % 3]
        headers = [(b"authorization", key)] if key else []
        response = await fleet.call("one", f"c{number}", more_headers=headers)
        assert response.status == 200
        await trio.sleep(0.02)
    await fleet.wait_until(lambda: api.totals == {"acme": 8, "bolt": 8}, 15.0)
    assert len({report.holder for report in api.reports}) == 1
    assert len({report.epoch for report in api.reports}) == 1
    windows = [report.window for report in api.reports]
    assert windows == sorted(set(windows))
    holder = api.reports[0].holder
    assert "catkinhollow_usage_holder 1\n" in await fleet.metrics(holder)
    nursery.cancel_scope.cancel()
