"""Tests of calls whose links are replaced.

Two daemons exchange frames through a network that loses what a closed link
has carried.
"""

from collections import Counter

import pytest
import trio
from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from relay_builders import make_answer, make_call

from catkinhollow.clock import TrioClock
from catkinhollow.generated.relay import CallOutcome, Status
from catkinhollow.relay.admission.gate_service import Submission
from catkinhollow.relay.links.answer_buffer import (
    EXPIRY_MARGIN_S,
    MAX_BUFFERED_BYTES,
    AnswerBuffer,
)
from catkinhollow.relay.links.remote_calls import (
    ANSWER_TRANSFER_S,
    LINK_LOSS_GRACE_S,
    RemoteCalls,
)
from catkinhollow.timer import Timer

CALL_BUDGET_S = 1.0


class StoppedClock:
    """Return the same time always."""

    def monotonic(self):
        return 0.0

    def boottime(self):
        return 0.0

    def unix_ms(self):
        return 0


class VirtualClock(TrioClock):
    """Return the virtual time as the time since the start, too."""

    def boottime(self):
        return self.monotonic()


class Gate:
    """Hold each call until the test ends its run; count the runs."""

    def __init__(self):
        self.open = {}
        self.runs = Counter()
        self.cancelled = []

    def submit(self, call, on_answer):
        self.runs[call.request_id] += 1
        submission = Submission(job=None, on_answer=on_answer)
        self.open[call.request_id] = (call, submission)
        return submission

    def finish(self, request_id, body=b"done"):
        call, submission = self.open.pop(request_id)
        submission.answered = True
        submission.on_answer(make_answer(call_id=call.call_id, body=body))

    def cancel(self, submission):
        self.cancelled.append(submission)


class Link:
    """Deliver messages to the other daemon, or lose them."""

    def __init__(self, address):
        self.address = address
        self.other = None
        self.up = True
        self.lossy = False

    def send_call(self, address, call, expires_s):
        return self._send("handle_call", call)

    def send_answer(self, address, answer, expires_s):
        return self._send("handle_answer", answer)

    def send_cancel(self, address, cancel):
        return self._send("handle_cancel", cancel)

    def is_up(self, address):
        return self.up

    def _send(self, handler, message):
        if self.up and not self.lossy:
            getattr(self.other, handler)(self.address, message)
        return self.up


class Pair:
    """Connect an ingress daemon with a gate."""

    def __init__(self, timer):
        self.gate = Gate()
        self.to_gate, self.to_caller = Link("caller:1"), Link("gate:1")
        self.caller = RemoteCalls(self.to_gate, Gate(), timer, 1)
        self.server = RemoteCalls(self.to_caller, self.gate, timer, 7)
        self.to_gate.other, self.to_caller.other = self.server, self.caller
        self.answers = []

    def call(self, request_id):
        call = make_call(self.caller.next_call_id(), request_id=request_id)
        return self.caller.call("gate:1", call, self.answers.append)

    def status(self, *, resumed=False, receiver=7):
        return Status(
            digest=0,
            resumed=resumed,
            receiver=receiver,
            open_calls=self.caller.open_calls("gate:1"),
        )

    def cut_request_link(self):
        self.to_gate.up = self.to_gate.lossy = False
        self.caller.link_down("gate:1")

    def restore_request_link(self, **changes):
        self.to_gate.up = True
        self.caller.link_up("gate:1")
        status = self.status(resumed=True, **changes)
        self.server.handle_status("caller:1", status)


@pytest.fixture
async def timer(nursery, autojump_clock):
    timer = Timer(VirtualClock())
    nursery.start_soon(timer.run)
    return timer


async def test_running_call_survives_the_replacement_of_its_link(timer):
    """Guards against callers who lose an order to a reset connection."""
    pair = Pair(timer)
    pair.call("a")
    pair.cut_request_link()
    pair.restore_request_link()
    await trio.sleep(2 * LINK_LOSS_GRACE_S)
    assert pair.answers == []
    pair.gate.finish("a")
    assert [answer.body for answer in pair.answers] == [b"done"]
    assert pair.gate.runs == {"a": 1}


async def test_call_that_was_lost_with_its_link_has_not_run(timer):
    """Guards against a caller who is not told that nothing has run."""
    pair = Pair(timer)
    pair.to_gate.lossy = True
    lost = pair.call("a")
    pair.cut_request_link()
    pair.restore_request_link()
    assert [answer.outcome for answer in pair.answers] == [CallOutcome.NOT_RUN]
    # The frame was still in the old connection.
    pair.server.handle_call("caller:1", make_call(lost.call_id, request_id="a"))
    assert pair.gate.runs == {}


async def test_fate_of_a_call_to_an_earlier_process_is_unknown(timer):
    """Guards against "not run" from a gate that has forgotten its runs."""
    pair = Pair(timer)
    pair.to_gate.lossy = True
    pair.call("a")
    pair.cut_request_link()
    pair.restore_request_link(receiver=6)
    assert [answer.outcome for answer in pair.answers] == [CallOutcome.UNKNOWN]


async def test_calls_to_a_peer_that_stays_away_are_lost_soon(timer):
    """Guards against callers who wait for an instance that is gone."""
    pair = Pair(timer)
    pair.call("a")
    pair.cut_request_link()
    await trio.sleep(LINK_LOSS_GRACE_S + 0.01)
    assert [answer.outcome for answer in pair.answers] == [CallOutcome.UNKNOWN]


async def test_answer_lost_with_its_link_is_delivered_once(timer):
    """Guards against an answer that nobody gets, and one that comes twice."""
    pair = Pair(timer)
    pair.call("a")
    pair.to_caller.lossy = True
    pair.gate.finish("a")
    assert pair.answers == []
    assert pair.server.handle_status("caller:1", pair.status())
    await trio.sleep(ANSWER_TRANSFER_S + 0.1)
    assert not pair.server.handle_status("caller:1", pair.status())
    pair.to_caller.lossy = False
    pair.server.link_up("caller:1")
    pair.server.link_up("caller:1")
    assert [answer.body for answer in pair.answers] == [b"done"]
    # A caller that waits for nothing has all answers.
    assert pair.server.handle_status("caller:1", pair.status())


async def test_late_not_run_about_a_forgotten_answer_is_not_believed(timer):
    """Guards against a false refusal by a daemon that had been paused.

    The gate keeps an answer for a second after the deadline of its call.
    """
    pair = Pair(timer)
    pair.call("ran")
    pair.to_caller.lossy = True
    pair.gate.finish("ran")
    await trio.sleep(CALL_BUDGET_S + EXPIRY_MARGIN_S + 0.1)
    pair.call("later")
    pair.gate.finish("later")
    pair.to_caller.lossy = False
    pair.cut_request_link()
    pair.restore_request_link()
    outcomes = {answer.outcome for answer in pair.answers}
    assert CallOutcome.NOT_RUN not in outcomes


async def test_answer_to_an_earlier_process_matches_no_later_call(timer):
    """Guards against a caller who gets the answer to another request."""
    pair = Pair(timer)
    pair.call("old")
    restarted = RemoteCalls(pair.to_gate, Gate(), timer, 2)
    pair.to_caller.other = pair.caller = restarted
    pair.call("new")
    pair.gate.finish("old", b"old")
    assert pair.answers == []
    pair.gate.finish("new", b"new")
    assert [answer.body for answer in pair.answers] == [b"new"]


async def test_runs_for_a_restarted_caller_are_cancelled(timer):
    """Guards against targets that work for callers who have gone."""
    pair = Pair(timer)
    pair.call("a")
    pair.server.peer_restarted("caller:1")
    assert len(pair.gate.cancelled) == 1


def refuse_others(gate):
    """Make the gate refuse all other calls when one is cancelled."""
    cancelled = []

    def cancel(submission):
        cancelled.append(submission)
        for request_id, (_, other) in list(gate.open.items()):
            if other is not submission:
                gate.finish(request_id)

    gate.cancel = cancel
    return cancelled


async def test_restart_of_a_caller_cancels_calls_that_end_each_other(timer):
    """Guards against a daemon that ends because another one was restarted.

    The gate refuses calls that wait too long while it cancels another one.
    """
    pair = Pair(timer)
    pair.call("a")
    pair.call("b")
    cancelled = refuse_others(pair.gate)
    pair.server.peer_restarted("caller:1")
    assert len(cancelled) == 1


async def test_abandoned_calls_that_end_each_other_are_cancelled(timer):
    """Guards against a daemon that ends when a link comes back."""
    pair = Pair(timer)
    pair.call("a")
    pair.call("b")
    cancelled = refuse_others(pair.gate)
    status = Status(digest=0, resumed=True, receiver=7, open_calls=[])
    pair.server.handle_status("caller:1", status)
    assert len(cancelled) == 1


async def test_calls_that_are_lost_together_may_end_each_other(timer):
    """Guards against a daemon that ends because a link is lost."""
    pair = Pair(timer)
    opened = []

    def on_answer(answer):
        pair.answers.append(answer)
        pair.caller.cancel(opened[1])

    for request_id in ("a", "b"):
        call = make_call(pair.caller.next_call_id(), request_id=request_id)
        opened.append(pair.caller.call("gate:1", call, on_answer))
    pair.caller.peer_restarted("gate:1")
    assert [answer.outcome for answer in pair.answers] == [CallOutcome.UNKNOWN]


async def test_call_that_its_caller_gave_up_is_cancelled(timer):
    """Guards against targets that work for a caller whose link was lost.

    An instance that was suspended would otherwise run all calls that waited
    at its gate, although their callers have got another answer.
    """
    pair = Pair(timer)
    pair.call("given up")
    pair.cut_request_link()
    await trio.sleep(2 * LINK_LOSS_GRACE_S)
    assert [answer.outcome for answer in pair.answers] == [CallOutcome.UNKNOWN]
    pair.to_gate.up = True
    pair.call("open")
    pair.restore_request_link()
    assert len(pair.gate.cancelled) == 1
    pair.gate.finish("open")
    assert pair.answers[-1].body == b"done"


def test_answers_are_kept_within_the_limit_of_memory():
    """Guards against answers to unreachable callers that fill the memory."""
    answers = AnswerBuffer()
    body = bytes(MAX_BUFFERED_BYTES // 4)
    for call_id in range(6):
        answer = make_answer(call_id=call_id, body=body)
        answers.add("c:1", answer, 0.0, 1.0)
    kept = answers.take_unconfirmed("c:1", 0.0)
    assert sum(len(answer.body) for answer in kept) <= MAX_BUFFERED_BYTES
    # The others are not told that their call has not run.
    outcomes = [answer.outcome for answer in kept if not answer.body]
    assert outcomes == [CallOutcome.UNKNOWN] * 2
    answers.add("c:1", evolve(kept[-1], call_id=9), 60.0, 61.0)
    assert len(answers) == 1


class CallMachine(RuleBasedStateMachine):
    """Lose, cut and restore the links of calls in any order."""

    def __init__(self):
        super().__init__()
        # No callback of the timer is run: calls outlive their links.
        self.pair = Pair(Timer(StoppedClock()))
        self.fates = {}

    @rule()
    def call(self):
        name = f"r{len(self.fates)}"
        fate = self.fates[name] = []
        call = make_call(self.pair.caller.next_call_id(), request_id=name)
        self.pair.caller.call("gate:1", call, fate.append)

    @rule()
    def finish(self):
        for name in list(self.pair.gate.open)[:1]:
            self.pair.gate.finish(name)

    @rule(requests=st.booleans(), answers=st.booleans())
    def lose(self, requests, answers):
        self.pair.to_gate.lossy = requests
        self.pair.to_caller.lossy = answers

    @rule()
    def cut(self):
        self.pair.cut_request_link()

    @rule()
    def restore(self):
        self.pair.to_caller.lossy = False
        self.pair.restore_request_link()
        self.pair.server.link_up("caller:1")

    @rule()
    def send_status(self):
        self.pair.server.handle_status("caller:1", self.pair.status())

    @invariant()
    def every_answer_is_true(self):
        for name, fate in self.fates.items():
            assert len(fate) <= 1
            outcomes = [answer.outcome for answer in fate]
            if CallOutcome.NOT_RUN in outcomes:
                assert self.pair.gate.runs[name] == 0
            if CallOutcome.ANSWERED in outcomes:
                assert self.pair.gate.runs[name] == 1


CallMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=100, stateful_step_count=40
)
TestCalls = CallMachine.TestCase
