"""Tests of what an entry makes of a request."""

from random import Random

import pytest
from relay_builders import (
    make_answer,
    make_configuration,
    make_peer,
    make_report,
    make_route,
)

from catkinhollow.exchange import Request
from catkinhollow.generated.relay import CallOutcome
from catkinhollow.relay.entry import Entry
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.peers import PeerDirectory
from catkinhollow.relay.placement import Distances, LeastWaitPlacer
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.relay.versions import VersionPolicy

NAMES = HeaderNames()


class Clock:
    """Tell a time that does not pass."""

    def monotonic(self):
        return 100.0

    def unix_ms(self):
        return 0


class Network:
    """Answer every call as told, and keep it."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = []
        self.directory = PeerDirectory(make_peer("own").record)
        self.directory.own.take_report(make_report(), 100.0)

    def refresh_own_report(self):
        pass

    def new_call_id(self):
        return len(self.calls) + 1

    def call(self, peer, call, on_answer):
        self.calls.append(call)
        on_answer(self.answer)


def make_entry(answer, **route):
    network = Network(answer)
    clock, random = Clock(), Random(1)
    entry = Entry(
        service="shop",
        target_host="10.0.0.9",
        network=network,
        placer=LeastWaitPlacer(network.directory.own, Distances(), clock, random),
        versions=VersionPolicy(random),
        names=NAMES,
        retry_percent=10.0,
        retry_burst=2.0,
        clock=clock,
        random=random,
        metrics=RelayMetrics(),
        log=RequestLog(clock),
    )
    entry.configure(make_configuration(routes=[make_route(**route)]))
    return entry, network


def make_request(*headers, caller_host="10.0.0.200", **changes):
    fixed = [(b"host", b"shop.example"), (NAMES.request_id, b"c1")]
    values = {"method": "GET", "path": "/a/b", "query": b"x=1", "body": b"", **changes}
    return Request(headers=[*fixed, *headers], caller_host=caller_host, **values)


async def never():
    raise AssertionError("the answer is there")


async def test_calls_of_the_target_go_before_those_of_callers():
    """Guards against lookups that wait behind new work and waste a run."""
    entry, network = make_entry(make_answer(), priority=0)
    await entry.serve(make_request(caller_host="10.0.0.9"), never)
    await entry.serve(make_request(), never)
    assert [call.rank for call in network.calls] == [0, 1]


async def test_headers_of_the_system_come_from_the_system():
    """Guards against callers that name their own service or target."""
    forged = [
        (NAMES.caller_service, b"forged"),
        (NAMES.expected_lifetime, b"forged"),
        (b"x-other", b"kept"),
    ]
    entry, network = make_entry(make_answer())
    await entry.serve(make_request(*forged), never)
    call = network.calls[0]
    assert [b"x-other", b"kept"] in call.headers
    assert b"forged" not in {value for _, value in call.headers}
    assert (call.caller_service, call.target) == ("shop", b"/a/b?x=1")


async def test_time_is_the_shorter_of_the_callers_and_the_routes():
    """Guards against targets that are handed more time than is left."""
    entry, network = make_entry(make_answer(), timeout_ms=800.0)
    await entry.serve(make_request((NAMES.deadline, b"300")), never)
    await entry.serve(make_request((NAMES.deadline, b"5000")), never)
    await entry.serve(make_request(), never)
    budgets = [call.budget_ms for call in network.calls]
    assert budgets == pytest.approx([290, 790, 790], abs=1)


@pytest.mark.parametrize(
    ("outcome", "status"), [(CallOutcome.NOT_RUN, 503), (CallOutcome.UNKNOWN, 502)]
)
async def test_given_up_request_is_answered_at_once(outcome, status):
    """Guards against callers held back, and refusals that are not true."""
    entry, _ = make_entry(make_answer(outcome, retry_after_ms=100), kind="unsafe")
    response = await entry.serve(make_request(), never)
    assert response.status == status
    assert (response.header(b"retry-after") is not None) == (status == 503)


async def test_request_without_route_or_configuration():
    """Guards against a 404 from a daemon that knows no routes yet."""
    entry, _ = make_entry(make_answer())
    assert (await entry.serve(make_request(path="/none"), never)).status == 404
    fresh, _ = make_entry(make_answer())
    fresh._routes = None
    assert (await fresh.serve(make_request(path="/none"), never)).status == 503
