"""Order the frames that wait for a slow peer.

Statuses show that a daemon is alive, so they must not wait behind the bodies
of calls and answers. Large frames are split, so that a status waits for one
part of a body at most, and the transfer of each part shows that the link still
carries data.
"""

from collections import deque

from attrs import define, field

from catkinhollow.codec import encode_without_none
from catkinhollow.generated.relay import Fragment, Frame

# A link of 5 Mbit/s transfers one part in 50 ms.
MAX_PART_BYTES = 32 * 1024

# Bounds the memory for one frame; bodies are limited to 8 MB.
MAX_PARTS = 2048


def split_frame(frame: Frame) -> list[bytes]:
    """Encode a frame as one or more messages of limited size."""
    data = encode_without_none(frame)
    if len(data) <= MAX_PART_BYTES:
        return [data]
    starts = range(0, len(data), MAX_PART_BYTES)
    return [
        encode_without_none(
            Frame(
                sender=frame.sender,
                incarnation=frame.incarnation,
                fragment=Fragment(
                    index=index,
                    last=index == len(starts) - 1,
                    data=data[start : start + MAX_PART_BYTES],
                ),
            )
        )
        for index, start in enumerate(starts)
    ]


@define(eq=False)
class FrameQueue:
    """Queue the encoded messages to one peer, statuses first."""

    _statuses: deque[bytes] = field(factory=deque)
    _others: deque[bytes] = field(factory=deque)
    _size_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of all queued messages."""
        return self._size_bytes

    def __len__(self) -> int:
        return len(self._statuses) + len(self._others)

    def append(self, messages: list[bytes], *, is_status: bool) -> None:
        """Queue the messages of one frame."""
        queue = self._statuses if is_status else self._others
        queue.extend(messages)
        self._size_bytes += sum(map(len, messages))

    def peek(self) -> bytes:
        """Return the message to send next."""
        return self._statuses[0] if self._statuses else self._others[0]

    def pop(self) -> None:
        """Remove the message that `peek` returns."""
        queue = self._statuses or self._others
        self._size_bytes -= len(queue.popleft())

    def clear(self) -> None:
        """Drop all messages."""
        self._statuses.clear()
        self._others.clear()
        self._size_bytes = 0


class FrameAssembler:
    """Join the parts of each sender's frames."""

    def __init__(self) -> None:
        self._parts: dict[str, list[bytes]] = {}

    def add(self, sender: str, fragment: Fragment) -> bytes | None:
        """Return the encoded frame if this part completes it.

        Parts of a frame whose beginning was lost with an earlier link are
        dropped.
        """
        if fragment.index == 0:
            self._parts[sender] = []
        parts = self._parts.get(sender)
        too_large = fragment.index >= MAX_PARTS
        if parts is None or len(parts) != fragment.index or too_large:
            self._parts.pop(sender, None)
            return None
        parts.append(fragment.data)
        if not fragment.last:
            return None
        del self._parts[sender]
        return b"".join(parts)

    def remove(self, sender: str) -> None:
        """Drop the parts of a peer whose link is closed."""
        self._parts.pop(sender, None)
