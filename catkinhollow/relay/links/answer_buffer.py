"""Keep the answers that their callers may not have received.

A link may be replaced while answers wait in it. A daemon therefore keeps each
answer until the caller's next status shows that it no longer waits for it.
"""

from collections.abc import Collection
from math import inf

from attrs import define

from catkinhollow.generated.relay import Answer, CallOutcome

# Bodies that are kept for all callers together.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
# Time for which an answer is kept after the deadline of its call, because the
# clocks of two daemons run at slightly different speeds.
EXPIRY_MARGIN_S = 1.0


@define(eq=False)
class _SentAnswer:
    """Represent an answer that has been sent."""

    answer: Answer
    sent_s: float
    expires_s: float


class AnswerBuffer:
    """Keep the sent answers of each caller until they are confirmed."""

    def __init__(self) -> None:
        self._sent: dict[tuple[str, int], _SentAnswer] = {}
        self._size_bytes = 0
        # No answer expires before this time.
        self._next_expiry_s = inf

    def __len__(self) -> int:
        return len(self._sent)

    def __contains__(self, key: tuple[str, int]) -> bool:
        return key in self._sent

    def add(
        self, address: str, answer: Answer, now_s: float, deadline_s: float
    ) -> None:
        """Keep an answer that is sent now."""
        self._remove((address, answer.call_id))
        expires_s = max(now_s, deadline_s) + EXPIRY_MARGIN_S
        entry = _SentAnswer(answer, now_s, expires_s)
        self._sent[address, answer.call_id] = entry
        self._size_bytes += len(answer.body)
        self._next_expiry_s = min(self._next_expiry_s, expires_s)
        self._expire(now_s)
        self._drop_bodies()

    def confirm(self, address: str, open_calls: Collection[int]) -> None:
        """Drop the answers that a caller does not wait for any more."""
        for key in [key for key in self._sent if key[0] == address]:
            if key[1] not in open_calls:
                self._remove(key)

    def take_unconfirmed(self, address: str, now_s: float) -> list[Answer]:
        """Return the answers to send to a caller once more."""
        answers = []
        for key, sent in self._sent.items():
            if key[0] == address:
                sent.sent_s = now_s
                answers.append(sent.answer)
        return answers

    def oldest_s(self, address: str) -> float | None:
        """Return when the oldest unconfirmed answer to a caller was sent."""
        times = [sent.sent_s for key, sent in self._sent.items() if key[0] == address]
        return min(times, default=None)

    def remove_caller(self, address: str) -> None:
        """Drop all answers to a caller, which has restarted."""
        self.confirm(address, ())

    def _expire(self, now_s: float) -> None:
        if now_s <= self._next_expiry_s:
            return
        for key in [key for key, sent in self._sent.items() if sent.expires_s < now_s]:
            self._remove(key)
        times = (sent.expires_s for sent in self._sent.values())
        self._next_expiry_s = min(times, default=inf)

    def _drop_bodies(self) -> None:
        """Reduce the oldest answers to outcomes if there are too many."""
        for sent in self._sent.values():
            if self._size_bytes <= MAX_BUFFERED_BYTES:
                return
            self._size_bytes -= len(sent.answer.body)
            sent.answer = Answer(
                call_id=sent.answer.call_id,
                outcome=CallOutcome.UNKNOWN,
                body=b"",
                reason="answer lost with its link",
                reached_target=True,
            )

    def _remove(self, key: tuple[str, int]) -> None:
        sent = self._sent.pop(key, None)
        if sent is not None:
            self._size_bytes -= len(sent.answer.body)
