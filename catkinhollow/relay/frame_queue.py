"""Order the frames that wait for a slow peer or for the link.

Statuses show that a daemon is alive, so they must not wait behind the bodies
of calls and answers; neither must documents, whose versions have to be in
force everywhere within seconds. Large frames are split, so that a status waits
for one part of a body at most, and the transfer of each part shows that the
link still carries data.
"""

from collections import deque
from enum import IntEnum

from attrs import define, field

from catkinhollow.codec import encode_without_none
from catkinhollow.generated.relay import Fragment, Frame

# A link of 5 Mbit/s transfers one part in 50 ms.
MAX_PART_BYTES = 32 * 1024

# Calls and answers above this size are bulk data. Smaller ones are few
# milliseconds of a slow link.
MIN_BULK_BYTES = 4096

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


class Lane(IntEnum):
    """Classify frames by urgency; lower values go first."""

    STATUS = 0
    CONTROL = 1
    """Documents and all small frames."""
    BULK = 2
    """Calls and answers with large bodies, which wait for the link."""


def choose_lane(frame: Frame, size_bytes: int) -> Lane:
    """Return the lane of a frame by its message and its encoded size."""
    if frame.status is not None:
        return Lane.STATUS
    has_body = frame.call is not None or frame.answer is not None
    return Lane.BULK if has_body and size_bytes > MIN_BULK_BYTES else Lane.CONTROL


@define(eq=False)
class FrameQueue:
    """Queue the encoded messages to one peer by lane."""

    _lanes: tuple[deque[bytes], ...] = field(
        factory=lambda: tuple(deque() for _ in Lane)
    )
    _size_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of all queued messages."""
        return self._size_bytes

    def __len__(self) -> int:
        return sum(map(len, self._lanes))

    @property
    def lane(self) -> Lane:
        """Return the lane of the message to send next."""
        return next(lane for lane in Lane if self._lanes[lane])

    def has_before(self, lane: Lane) -> bool:
        """Return whether a new message of a lane would have to wait."""
        return any(self._lanes[: lane + 1])

    def append(self, messages: list[bytes], lane: Lane) -> None:
        """Queue the messages of one frame."""
        self._lanes[lane].extend(messages)
        self._size_bytes += sum(map(len, messages))

    def peek(self) -> bytes:
        """Return the message to send next."""
        return self._lanes[self.lane][0]

    def pop(self) -> None:
        """Remove the message that `peek` returns."""
        self._size_bytes -= len(self._lanes[self.lane].popleft())

    def clear(self) -> None:
        """Drop all messages."""
        for messages in self._lanes:
            messages.clear()
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
