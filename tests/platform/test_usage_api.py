"""Tests of the client of the usage API against scripted responses."""

import json
import subprocess
import sys

import pytest
import trio

from catkinhollow.calls.exchange import plain_response
from catkinhollow.calls.http_server import read_request, send_response
from catkinhollow.codec import to_plain
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import (
    DecidedWindow,
    DecidedWindows,
    RelaySettings,
    UsageLease,
)
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.objects import decode_object
from catkinhollow.platform.process import _make_usage_api
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.platform.usage_api import PlatformUsageApi
from catkinhollow.relay.usage.interfaces import UsageReport
from catkinhollow.relay.usage.report_plan import ReportOutcome
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports

REPORT = UsageReport(holder="n1", epoch=7, window=341, counts={"acme": 12})


class ScriptedApi:
    """Answer each request with the next status; None never answers."""

    def __init__(self, statuses):
        self.statuses = statuses
        self.requests = []

    async def __call__(self, scope, receive, send):
        request = (await read_request(scope, receive, 100_000)).ok
        self.requests.append(request)
        status = self.statuses.pop(0)
        if status is None:
            await trio.sleep_forever()
        await send_response(send, plain_response(status, "done"))


async def start_api(nursery, *statuses):
    (port,) = free_ports(1)
    api = ScriptedApi(list(statuses))
    await nursery.start(serve_on_loopback, api, port)
    return api, PlatformUsageApi(f"127.0.0.1:{port}")


async def test_report_names_holder_token_window_and_counts(nursery):
    """Guards against a report that the API can't read."""
    api, client = await start_api(nursery, 200)
    assert await client.report(REPORT, lambda: True) is ReportOutcome.ACCEPTED
    (request,) = api.requests
    assert (request.method, request.path) == ("POST", "/usage")
    assert request.header(b"x-duty-holder") == b"n1"
    assert request.header(b"x-fence-token") == b"7"
    expected = {"window": 341, "counts": {"acme": 12}}
    assert json.loads(request.body) == expected
    nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (204, ReportOutcome.ACCEPTED),
        (400, ReportOutcome.REFUSED),
        (429, ReportOutcome.BUSY),
        (503, ReportOutcome.FAILED),
    ],
)
async def test_statuses_are_told_apart(nursery, status, outcome):
    """Guards against reports that are repeated in vain, or not at all."""
    _, client = await start_api(nursery, status)
    assert await client.report(REPORT, lambda: True) is outcome
    nursery.cancel_scope.cancel()


async def test_nothing_is_written_after_the_term(nursery):
    """Guards against a report of a holder that was paused while connecting."""
    api, client = await start_api(nursery, 200)
    outcome = await client.report(REPORT, lambda: False)
    assert outcome is ReportOutcome.UNREACHABLE
    checks = iter([True, False])
    outcome = await client.report(REPORT, lambda: next(checks))
    assert outcome is ReportOutcome.UNREACHABLE
    assert api.requests == []
    assert await client.report(REPORT, lambda: True) is ReportOutcome.ACCEPTED
    nursery.cancel_scope.cancel()


async def test_cancelled_call_does_not_block_the_next_one(nursery):
    """Guards against a pool whose one connection stays in use."""
    _, client = await start_api(nursery, None, 200)
    with trio.move_on_after(0.2):
        await client.report(REPORT, lambda: True)
    assert await client.report(REPORT, lambda: True) is ReportOutcome.ACCEPTED
    nursery.cancel_scope.cancel()


async def test_api_that_is_down_is_unreachable():
    """Guards against an exception that ends the daemon."""
    (port,) = free_ports(1)
    client = PlatformUsageApi(f"127.0.0.1:{port}")
    outcome = await client.report(REPORT, lambda: True)
    assert outcome is ReportOutcome.UNREACHABLE
    await client.aclose()


@pytest.mark.parametrize(
    ("changes", "reports"),
    [
        ({}, False),
        ({"usage_api": "127.0.0.1:9"}, False),
        ({"usage_api": "127.0.0.1:9", "duties": ["other"]}, False),
        ({"duties": ["usage_report"]}, False),
        ({"usage_api": "127.0.0.1:9", "duties": ["usage_report"]}, True),
    ],
)
def test_reports_need_the_address_and_the_duty(changes, reports):
    """Guards against reports on deployments that did not ask for them."""
    names = ("target", "requests", "ready", "announcements", "peer", "metrics")
    settings = RelaySettings(
        instance="n1",
        failure_domain="a",
        region="r",
        service="stock",
        store="127.0.0.1:8",
        **dict.fromkeys(names, "127.0.0.1:1"),
        **changes,
    )
    assert (_make_usage_api(settings) is not None) is reports


async def test_lease_and_decisions_are_kept_in_the_store(nursery):
    """Guards against objects that a later holder can't read."""
    (port,) = free_ports(1)
    await nursery.start(serve_on_loopback, StandInStore(), port)
    store = PlatformStore(f"127.0.0.1:{port}")
    lease = UsageLease(holder="n1", address="n1:1", epoch=3, renewal=1)
    decided = DecidedWindow(window=7, epoch=3, counts={"acme": 12})
    values = {"usage": lease, "usage-windows": DecidedWindows(windows=[decided])}
    for name, value in values.items():
        missing = await store.get("leases", name)
        assert missing.error.kind is StoreErrorKind.NOT_FOUND
        written = await store.put("leases", name, to_plain(value), if_revision=0)
        again = await store.put("leases", name, to_plain(value), if_revision=0)
        assert again.error.kind is StoreErrorKind.CONFLICT
        revision = written.ok.revision
        written = await store.put("leases", name, to_plain(value), if_revision=revision)
        late = await store.put("leases", name, to_plain(value), if_revision=revision)
        assert late.error.kind is StoreErrorKind.CONFLICT
        read = await store.get("leases", name)
        assert read.ok.revision == written.ok.revision
        assert decode_object(read.ok).ok == value
    nursery.cancel_scope.cancel()


def test_daemons_without_reports_do_not_load_them():
    """Guards against starts that pay for a part that is switched off."""
    program = (
        "import sys, catkinhollow.platform.process; "
        "print([name for name in sys.modules if 'usage_' in name])"
    )
    process = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        timeout=60.0,
        check=True,
    )
    assert process.stdout.strip() == "[]"
