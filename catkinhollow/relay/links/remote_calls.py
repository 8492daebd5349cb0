"""Exchange calls and answers with the gates of other daemons.

The connection to a peer may be replaced while both daemons continue. Calls
stay open for a moment after their link has gone down. The first status on the
new link lists them: the peer sends its answers again, and tells which calls it
has never received, so that these can be sent elsewhere.
"""

from collections.abc import Callable
from math import inf
from typing import Protocol, TypeAlias

from catkinhollow.generated.relay import Answer, Call, CallOutcome, Cancel, Status
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate_service import GateService, Submission
from catkinhollow.relay.links.answer_buffer import EXPIRY_MARGIN_S, AnswerBuffer
from catkinhollow.relay.links.exchange_table import ExchangeTable, OpenCall
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Time for a lost link to be replaced before its calls count as lost. A peer
# that still runs accepts a new connection within a few round trips; one that
# has ended refuses it.
LINK_LOSS_GRACE_S = 0.3
# An answer that its caller still waits for after this time was lost with the
# link that carried it.
ANSWER_TRANSFER_S = 1.5
# Time for which calls that were reported as never received are refused if they
# arrive after all. Only the frames of earlier releases, which don't number
# their links, depend on it.
REFUSE_LOST_CALLS_S = 30.0
# A gate that says "not run" is believed for this long after the deadline of
# the call. It keeps an answer for twice as long.
NOT_RUN_MARGIN_S = EXPIRY_MARGIN_S / 2
# Ids of calls start at the incarnation of their daemon times this number, so
# that an answer to a call of an earlier process never matches a later call.
CALL_IDS_PER_MS = 2**20


class CallLink(Protocol):
    """Send the messages that calls need."""

    def send_call(self, address: str, call: Call, expires_s: float) -> bool:
        """Send a call; return False if no byte of it will be sent.

        A call that still waits at the given time is dropped.
        """

    def send_answer(self, address: str, answer: Answer, expires_s: float) -> bool:
        """Send an answer; return False if no byte of it will be sent.

        An answer that still waits at the given time is dropped.
        """

    def send_cancel(self, address: str, cancel: Cancel) -> bool:
        """Send a cancellation; return False if no byte of it will be sent."""

    def is_up(self, address: str) -> bool:
        """Return whether the link to a peer is up."""


SentCall: TypeAlias = OpenCall | Submission


class RemoteCalls:
    """Track the calls to other gates and those of other daemons."""

    def __init__(
        self, link: CallLink, gate: GateService, timer: Timer, incarnation: int
    ) -> None:
        self._link = link
        self._gate = gate
        self._timer = timer
        self._clock = timer.clock
        self._incarnation = incarnation
        self._last_call_id = incarnation * CALL_IDS_PER_MS
        self._exchanges = ExchangeTable()
        self._incoming: dict[tuple[str, int], Submission] = {}
        self._answers = AnswerBuffer()
        # When each call was reported as never received.
        self._refused_s: dict[tuple[str, int], float] = {}

    @property
    def busy_addresses(self) -> set[str]:
        """Return the addresses of peers with open calls of this daemon."""
        return self._exchanges.addresses

    def is_busy(self, address: str) -> bool:
        """Return whether a call to or from a peer is open."""
        return address in self.busy_addresses or any(
            caller == address for caller, _ in self._incoming
        )

    def next_call_id(self) -> int:
        """Return an id that no other call of any process has."""
        self._last_call_id += 1
        return self._last_call_id

    def open_calls(self, address: str) -> list[int]:
        """Return the ids of the open calls to a peer."""
        return self._exchanges.open_ids(address)

    def call(
        self, address: str, call: Call, on_answer: Callable[[Answer], None]
    ) -> OpenCall:
        """Send a call to a gate.

        The callback gets one answer, possibly before this method returns, and
        none after `cancel`.
        """
        now_s = self._clock.monotonic()
        budget_s = call.budget_ms / 1000.0
        not_run_until_s = self._clock.boottime() + budget_s + NOT_RUN_MARGIN_S
        opened = self._exchanges.open(
            call.call_id, address, on_answer, now_s, not_run_until_s
        )
        expires_s = now_s + budget_s
        if not self._link.send_call(address, call, expires_s):
            self._exchanges.remove(opened)
            on_answer(_not_run(call.call_id, "no link to the gate"))
        return opened

    def cancel(self, sent: OpenCall) -> None:
        """Cancel a call whose answer is no longer needed."""
        if self._exchanges.remove(sent):
            self._link.send_cancel(sent.address, Cancel(call_id=sent.call_id))

    def handle_call(self, sender: str, call: Call) -> None:
        """Submit the call of another daemon to the gate."""
        key = (sender, call.call_id)
        if key in self._refused_s:
            logger.info("lost call arrived late", peer=sender, id=call.request_id)
            return
        deadline_s = self._clock.monotonic() + call.budget_ms / 1000.0

        def send_answer(answer: Answer) -> None:
            self._incoming.pop(key, None)
            self._answers.add(sender, answer, self._clock.monotonic(), deadline_s)
            self._link.send_answer(sender, answer, deadline_s)

        submission = self._gate.submit(call, send_answer)
        if not submission.answered:
            self._incoming[key] = submission

    def refuse_late(self, sender: str, call: Call, reason: str) -> None:
        """Refuse a call from an earlier link or from a process that has ended.

        Its caller may have been told that it has not run.
        """
        logger.info("late call refused", peer=sender, id=call.request_id, reason=reason)
        answer = _not_run(call.call_id, "arrived late at the gate")
        self._link.send_answer(sender, answer, inf)

    def handle_answer(self, sender: str, answer: Answer) -> float | None:
        """Deliver an answer to the call that waits for it, once.

        Returns when the call was sent, None if no call waits for the answer.
        """
        call = self._exchanges.complete(sender, answer, self._clock.boottime())
        return call.sent_s if call is not None else None

    def handle_cancel(self, sender: str, cancel: Cancel) -> None:
        """Cancel a call of another daemon."""
        submission = self._incoming.pop((sender, cancel.call_id), None)
        if submission is not None:
            self._gate.cancel(submission)

    def handle_status(self, sender: str, status: Status) -> bool:
        """Compare the calls that a peer waits for with those known here.

        Returns False if the link to the peer has lost an answer.
        """
        self._answers.confirm(sender, status.open_calls)
        if status.resumed:
            self._cancel_abandoned_calls(sender, status)
            self._answer_unknown_calls(sender, status)
        sent_s = self._answers.oldest_s(sender)
        return sent_s is None or self._clock.monotonic() - sent_s < ANSWER_TRANSFER_S

    def link_up(self, address: str) -> None:
        """Send the answers again that may have been lost with the old link."""
        now_s = self._clock.monotonic()
        for answer in self._answers.take_unconfirmed(address, now_s):
            self._link.send_answer(address, answer, inf)

    def link_down(self, address: str) -> None:
        """Give the peer a moment to come back before its calls are lost."""
        if self._exchanges.open_ids(address):
            self._timer.call_after(
                LINK_LOSS_GRACE_S, lambda: self._fail_if_down(address)
            )

    def peer_restarted(self, address: str) -> None:
        """Fail the calls to a peer that has restarted, and forget its own."""
        self._fail_calls(address)
        self._answers.remove_caller(address)
        calls = [key for key in self._incoming if key[0] == address]
        self._cancel_incoming(calls, "peer restarted")

    def _fail_if_down(self, address: str) -> None:
        if not self._link.is_up(address):
            self._fail_calls(address)

    def _fail_calls(self, address: str) -> None:
        count = self._exchanges.fail_calls(address)
        if count:
            logger.warning("calls lost with their link", peer=address, calls=count)

    def _cancel_abandoned_calls(self, sender: str, status: Status) -> None:
        """Cancel the calls that a peer gave up while its link was down."""
        calls = [
            key
            for key in self._incoming
            if key[0] == sender and key[1] not in status.open_calls
        ]
        self._cancel_incoming(calls, "given up while the link was down")

    def _cancel_incoming(self, keys: list[tuple[str, int]], reason: str) -> None:
        if keys:
            logger.info(
                "calls of a peer forgotten",
                peer=keys[0][0],
                calls=len(keys),
                reason=reason,
            )
        for key in keys:
            # The gate may have answered it when an earlier one was cancelled.
            submission = self._incoming.pop(key, None)
            if submission is not None:
                self._gate.cancel(submission)

    def _answer_unknown_calls(self, sender: str, status: Status) -> None:
        now_s = self._clock.monotonic()
        self._expire_refused(now_s)
        for call_id in status.open_calls:
            key = (sender, call_id)
            if key in self._incoming or key in self._answers:
                continue
            if status.receiver != self._incarnation:
                # An earlier process of this daemon may have run it.
                answer = _unknown(call_id, "the daemon of the gate has restarted")
            else:
                self._refused_s[key] = now_s
                answer = _not_run(call_id, "lost with its link")
            logger.info(
                "call unknown to the gate",
                peer=sender,
                call_id=call_id,
                outcome=answer.outcome.value,
                reason=answer.reason,
            )
            # The own link may be down, or may have gone silent as well.
            self._answers.add(sender, answer, now_s, now_s + REFUSE_LOST_CALLS_S)
            self._link.send_answer(sender, answer, inf)

    def _expire_refused(self, now_s: float) -> None:
        self._refused_s = {
            key: refused_s
            for key, refused_s in self._refused_s.items()
            if now_s - refused_s < REFUSE_LOST_CALLS_S
        }


def _not_run(call_id: int, reason: str) -> Answer:
    return Answer(call_id=call_id, outcome=CallOutcome.NOT_RUN, body=b"", reason=reason)


def _unknown(call_id: int, reason: str) -> Answer:
    return Answer(
        call_id=call_id,
        outcome=CallOutcome.UNKNOWN,
        body=b"",
        reason=reason,
        reached_target=True,
    )
