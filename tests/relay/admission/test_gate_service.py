"""Tests of the execution of a gate's decisions."""

import pytest
import trio
from relay_builders import make_announcement, make_call

from catkinhollow.calls.egress import SendResult
from catkinhollow.calls.exchange import Response
from catkinhollow.calls.retries import AttemptKind
from catkinhollow.clock import TrioClock
from catkinhollow.generated.relay import CallOutcome
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_service import GateService
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.timer import Timer


class Client:
    """Answer each request at once and record its timeout."""

    def __init__(self):
        self.timeouts_s = []
        self.headers = []
        self.kind = AttemptKind.ANSWERED
        self.rest_s = 0.0

    async def send(self, address, request, timeout_s, on_early=None):
        self.timeouts_s.append(timeout_s)
        await trio.lowlevel.checkpoint()
        if self.kind is not AttemptKind.ANSWERED:
            return SendResult(kind=self.kind)
        response = Response(status=200, headers=self.headers, body=b"")
        result = SendResult(kind=AttemptKind.ANSWERED, response=response)
        if self.rest_s:
            on_early(result)
            await trio.sleep(self.rest_s)
        return result


@pytest.fixture
async def service(nursery):
    clock = TrioClock()
    timer = Timer(clock)
    service = GateService(
        gate=Gate(),
        address="target:1",
        service="stock",
        client=Client(),
        header_names=HeaderNames(),
        timer=timer,
        log=RequestLog(clock),
        on_state_change=lambda: None,
        on_run_failure=lambda: None,
    )
    nursery.start_soon(timer.run)
    nursery.start_soon(service.run)
    await trio.testing.wait_all_tasks_blocked()
    service.announce(make_announcement())
    return service


async def test_call_is_not_sent_after_its_deadline(service, autojump_clock):
    """Guards against orders that run after a pause of their gate's process."""
    answers = []
    service.submit(make_call(budget_ms=300, idempotent=False), answers.append)
    # The process stands still between the decision and the run.
    autojump_clock.jump(2.0)
    await trio.sleep(0.1)
    assert [answer.outcome for answer in answers] == [CallOutcome.NOT_RUN]
    assert not answers[0].reached_target
    assert service._client.timeouts_s == []
    assert not service.busy
    assert service.gate.running == 0


async def test_early_response_is_answered_once_and_at_once(service, autojump_clock):
    """Guards against an answer that waits for the rest of its request."""
    service._client.rest_s = 5.0
    answers = []
    service.submit(make_call(), answers.append)
    await trio.sleep(0.1)
    assert [answer.outcome for answer in answers] == [CallOutcome.ANSWERED]
    assert service.gate.running == 0
    await trio.sleep(10.0)
    assert len(answers) == 1
    assert service.gate.running == 0


async def test_key_is_checked_again_when_the_run_starts(service, autojump_clock):
    """Guards against runs for a key that was revoked during the wait."""
    answers = []
    service._find_run_refusal = lambda call: "stale knowledge"
    service.submit(make_call(), answers.append)
    await trio.sleep(0.1)
    assert answers[0].outcome is CallOutcome.NOT_RUN
    assert answers[0].reason == "stale knowledge"
    assert answers[0].retry_after_ms > 0
    assert not answers[0].reached_target
    assert service._client.timeouts_s == []
    assert service.gate.running == 0


async def test_call_is_sent_with_the_time_that_is_left(service, autojump_clock):
    """Guards against a run that outlives its caller."""
    answers = []
    service.submit(make_call(budget_ms=300), answers.append)
    await trio.sleep(0.1)
    assert [answer.outcome for answer in answers] == [CallOutcome.ANSWERED]
    assert service._client.timeouts_s[0] <= 0.4


async def test_load_header_of_an_answer_reaches_the_gate(service, autojump_clock):
    """Guards against a load that is read, but not used."""
    service._client.headers = [(b"x-target-load", b"0,0,2,400")]
    service.submit(make_call(), lambda answer: None)
    await trio.sleep(0.1)
    assert service.gate.speed(trio.current_time()) == 1.0
    service._client.headers = [(b"x-target-load", b"0,0,2,100")]
    service.submit(make_call(2), lambda answer: None)
    await trio.sleep(0.1)
    assert service.gate.speed(trio.current_time()) > 2.0


async def test_malformed_load_header_is_logged_once(service, autojump_clock, caplog):
    """Guards against a log line per call, and against a lost answer."""
    service._client.headers = [(b"x-target-load", b"many")]
    answers = []
    for number in range(5):
        service.submit(make_call(number), answers.append)
        await trio.sleep(0.1)
    assert [answer.outcome for answer in answers] == [CallOutcome.ANSWERED] * 5
    assert service.gate.speed(trio.current_time()) == 0.0
    lines = [line for line in caplog.messages if "load header ignored" in line]
    assert len(lines) == 1


async def test_run_without_an_answer_has_an_unknown_outcome(service, autojump_clock):
    """Guards against the promise that an order has not run."""
    service._client.kind = AttemptKind.TIMEOUT
    answers = []
    service.submit(make_call(idempotent=False), answers.append)
    await trio.sleep(0.1)
    assert [answer.outcome for answer in answers] == [CallOutcome.UNKNOWN]
    assert answers[0].reached_target


async def test_load_header_of_an_earlier_lifetime_is_ignored(service, autojump_clock):
    """Guards against a late answer that fills the slots of a new target."""
    service._client.headers = [(b"x-target-load", b"2,9,2")]
    service.submit(make_call(), lambda answer: None)
    service.announce(make_announcement("t2", started_ms=9000))
    await trio.sleep(0.1)
    assert service.gate.occupied(trio.current_time()) == 0
