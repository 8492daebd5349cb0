"""Match the answers of gates to the calls that wait for them."""

from collections.abc import Callable

from attrs import define, evolve

from catkinhollow.generated.relay import Answer, CallOutcome

AnswerCallback = Callable[[Answer], None]


@define(eq=False)
class OpenCall:
    """Represent a call that a peer has not answered yet."""

    call_id: int
    address: str
    on_answer: AnswerCallback
    sent_s: float
    not_run_until_s: float
    """Until when "not run" is believed, by a clock that counts suspensions."""


class ExchangeTable:
    """Track the open calls of this daemon to its peers."""

    def __init__(self) -> None:
        self._open: dict[int, OpenCall] = {}

    @property
    def addresses(self) -> set[str]:
        """Return the addresses of peers with open calls."""
        return {call.address for call in self._open.values()}

    def open_ids(self, address: str) -> list[int]:
        """Return the ids of the open calls to a peer."""
        return [call.call_id for call in self._open.values() if call.address == address]

    def __len__(self) -> int:
        return len(self._open)

    def open(
        self,
        call_id: int,
        address: str,
        on_answer: AnswerCallback,
        sent_s: float,
        not_run_until_s: float,
    ) -> OpenCall:
        """Add an open call to a peer."""
        call = OpenCall(call_id, address, on_answer, sent_s, not_run_until_s)
        self._open[call.call_id] = call
        return call

    def remove(self, call: OpenCall) -> bool:
        """Remove a call; return False if it has been answered."""
        return self._open.pop(call.call_id, None) is not None

    def complete(self, address: str, answer: Answer, now_s: float) -> OpenCall | None:
        """Deliver an answer; return its call, None if none waits for it.

        A gate forgets an answer some time after the deadline of its call. If
        this process was paused for so long, "not run" may be wrong.
        """
        call = self._open.get(answer.call_id)
        if call is None or call.address != address:
            return None
        del self._open[answer.call_id]
        if answer.outcome is CallOutcome.NOT_RUN and now_s > call.not_run_until_s:
            answer = evolve(answer, outcome=CallOutcome.UNKNOWN, reached_target=True)
        call.on_answer(answer)
        return call

    def fail_calls(self, address: str) -> int:
        """End calls to a peer with unknown outcome; return their number."""
        lost = [call for call in self._open.values() if call.address == address]
        count = 0
        for call in lost:
            # The callback of an earlier call may have ended it.
            if not self.remove(call):
                continue
            count += 1
            call.on_answer(
                Answer(
                    call_id=call.call_id,
                    outcome=CallOutcome.UNKNOWN,
                    body=b"",
                    reason="link to the gate lost",
                    reached_target=True,
                )
            )
        return count
