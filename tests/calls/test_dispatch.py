"""Tests of the dispatcher, which executes the decisions about calls."""

from random import Random

import pytest
import trio

from catkinhollow.calls.dispatch import Dispatcher
from catkinhollow.calls.egress import SendResult
from catkinhollow.calls.exchange import NOT_RUN_HEADER, Request, Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.clock import TrioClock
from catkinhollow.daemon.metrics import Metrics
from catkinhollow.daemon.tracers import make_tracer
from catkinhollow.generated.settings import TracingSettings
from catkinhollow.timer import Timer
from tests.builders import make_member, make_router

WORK_S = 0.2


class SlowClient:
    """Answers each request after WORK_S."""

    def __init__(self):
        self.sent = []

    async def send(self, address, request, timeout_s):
        self.sent.append(request)
        await trio.sleep(WORK_S)
        response = Response(status=200, headers=[], body=b"done")
        return SendResult(kind=AttemptKind.ANSWERED, response=response)


@pytest.fixture
def dispatcher(nursery):
    timer = Timer(TrioClock())
    nursery.start_soon(timer.run)
    settings = TracingSettings()
    return Dispatcher(
        router=make_router([make_member(0, slots=1)]),
        client=SlowClient(),
        tracer=make_tracer(settings, "test", Random(1)),
        timer=timer,
        metrics=Metrics(),
    )


def order(**headers):
    named = [(key.replace("_", "-").encode(), value) for key, value in headers.items()]
    return Request(method="POST", path="/o", query=b"", headers=named, body=b"")


async def test_call_waits_for_the_slot_and_is_refused_as_not_run_after_it(
    dispatcher, nursery, autojump_clock
):
    """Guards against refusals before a slot is released and endless waits."""
    for _ in range(4):
        nursery.start_soon(dispatcher.dispatch, order(), trio.sleep_forever)
    await trio.sleep(0.01)
    response = await dispatcher.dispatch(order(), trio.sleep_forever)
    assert response.header(NOT_RUN_HEADER) == b"1"
    assert len(dispatcher._client.sent) == 3
    nursery.cancel_scope.cancel()


async def test_waiting_call_ends_when_its_caller_disconnects(
    dispatcher, nursery, autojump_clock
):
    """Guards against an order that runs after its caller disconnected."""
    nursery.start_soon(dispatcher.dispatch, order(), trio.sleep_forever)
    await trio.sleep(0.01)
    await dispatcher.dispatch(order(), lambda: trio.sleep(0.05))
    await trio.sleep(1.0)
    assert len(dispatcher._client.sent) == 1
    nursery.cancel_scope.cancel()


async def test_same_key_of_two_backers_names_two_requests(
    dispatcher, nursery, autojump_clock
):
    """Guards against replaying the response of one backer to another."""
    for backer in (b"a", b"b", b"a"):
        request = order(idempotency_key=b"1", x_backer=backer)
        response = await dispatcher.dispatch(request, trio.sleep_forever)
        assert response.status == 200
    assert len(dispatcher._client.sent) == 2
    nursery.cancel_scope.cancel()
