"""Tests of a gate whose connections to its target go silent."""

from functools import partial

import pytest
import trio
from relay_builders import make_announcement, make_call
from silent_sockets import drop_input

from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.silence import LOCAL_LIMITS
from catkinhollow.clock import TrioClock
from catkinhollow.generated.relay import CallOutcome, GateState
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.relay.admission.gate import MAX_CONSECUTIVE_BROKEN, Gate
from catkinhollow.relay.admission.gate_service import GateService
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.timer import Timer

RUN_S = 0.2
ANSWER = b"HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n"


class Target:
    def __init__(self):
        self.streams = []

    async def serve(self, stream):
        self.streams.append(stream)
        async with stream:
            while await stream.receive_some(65536):
                await trio.sleep(RUN_S)
                await stream.send_all(ANSWER)


@pytest.fixture
async def target():
    return Target()


@pytest.fixture
async def service(nursery, target):
    listeners = await nursery.start(
        partial(trio.serve_tcp, target.serve, 0, host="127.0.0.1")
    )
    clock = TrioClock()
    timer = Timer(clock)
    service = GateService(
        gate=Gate(),
        address=f"127.0.0.1:{listeners[0].socket.getsockname()[1]}",
        service="stock",
        client=HttpTargetClient(HttpSettings(), silence=LOCAL_LIMITS),
        header_names=HeaderNames(),
        timer=timer,
        log=RequestLog(clock),
        on_state_change=lambda: None,
        on_run_failure=lambda: None,
    )
    nursery.start_soon(timer.run)
    nursery.start_soon(service.run)
    await trio.sleep(0.05)
    service.announce(make_announcement(slots=MAX_CONSECUTIVE_BROKEN))
    return service


def submit(service, answers):
    call = make_call(budget_ms=8000, target_ms=8000, headers=[[b"host", b"x"]])
    service.submit(call, answers.append)


async def test_gate_serves_on_when_its_connections_go_silent(service, target):
    """Guards against a target that is down for its silent connections."""
    answers = []
    for _ in range(MAX_CONSECUTIVE_BROKEN):
        submit(service, answers)
    await trio.sleep(RUN_S / 2)
    for stream in target.streams:
        drop_input(stream.socket)
    # The answers arrive, but the connections that carried them are silent.
    await trio.sleep(RUN_S)
    assert {answer.outcome for answer in answers} == {CallOutcome.ANSWERED}
    answers.clear()
    for _ in range(MAX_CONSECUTIVE_BROKEN):
        submit(service, answers)
    await trio.sleep(2.0)
    outcomes = [answer.outcome for answer in answers]
    assert outcomes == [CallOutcome.UNKNOWN] * MAX_CONSECUTIVE_BROKEN
    assert service.gate.state(trio.current_time()) is GateState.SERVING
    submit(service, answers)
    await trio.sleep(2 * RUN_S)
    assert answers[-1].outcome is CallOutcome.ANSWERED
