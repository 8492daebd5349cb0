"""Order the frames that wait for a slow peer or for the link.

Statuses show that a daemon is alive, so they must not wait behind the bodies
of calls and answers; neither must documents, whose versions have to be in
force everywhere within seconds. Large frames are split, so that a status waits
for one part of a body at most, and the transfer of each part shows that the
link still carries data.
"""

from collections import deque
from enum import IntEnum
from math import inf
from typing import TypeAlias

from attrs import define, field

from catkinhollow.codec import encode_without_defaults, encode_without_none
from catkinhollow.generated.relay import Fragment, Frame
from catkinhollow.relay.links.link_pacer import MIN_BULK_BYTES

# A link of 5 Mbit/s transfers one part in 50 ms.
MAX_PART_BYTES = 32 * 1024

# Bounds the memory for one frame; bodies are limited to 8 MB.
MAX_PARTS = 2048
# Frames of one sender that may be incomplete at the same time. A connection
# carries the parts of one large frame at a time, and an old connection may
# still be read beside the new one.
MAX_PARTIAL_FRAMES = 4
# Bounds the memory for the incomplete frames of all senders.
MAX_PARTIAL_BYTES = 24 * 1024 * 1024


def split_frame(frame: Frame, number: int) -> list[bytes]:
    """Encode a frame as one or more messages of limited size.

    The number tells its parts from those of other frames of this process.
    """
    # Statuses are more than half of what idle daemons send, and most of their
    # fields have defaults. Checking the fields of calls would cost more than
    # it saves.
    small = frame.status is not None
    data = encode_without_defaults(frame) if small else encode_without_none(frame)
    if len(data) <= MAX_PART_BYTES:
        return [data]
    starts = range(0, len(data), MAX_PART_BYTES)
    return [
        encode_without_none(
            Frame(
                sender=frame.sender,
                incarnation=frame.incarnation,
                link=frame.link,
                fragment=Fragment(
                    frame=number,
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
    if frame.status is not None or frame.knowledge is not None:
        return Lane.STATUS
    has_body = frame.call is not None or frame.answer is not None
    return Lane.BULK if has_body and size_bytes > MIN_BULK_BYTES else Lane.CONTROL


@define(eq=False)
class _QueuedFrame:
    """Hold the messages of one frame that were not sent yet."""

    messages: deque[bytes]
    expires_s: float
    started: bool
    """Whether some of its messages were sent."""

    @property
    def size_bytes(self) -> int:
        return sum(map(len, self.messages))


@define(eq=False)
class FrameQueue:
    """Queue the encoded messages to one peer by lane."""

    _lanes: tuple[deque[_QueuedFrame], ...] = field(
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

    def append(
        self,
        messages: list[bytes],
        lane: Lane,
        *,
        expires_s: float = inf,
        started: bool = False,
    ) -> None:
        """Queue the messages of one frame, some of which may have been sent.

        A frame that has not been started at the given time is not sent.
        """
        frame = _QueuedFrame(deque(messages), expires_s, started)
        self._lanes[lane].append(frame)
        self._size_bytes += frame.size_bytes

    def peek(self) -> bytes:
        """Return the message to send next."""
        return self._lanes[self.lane][0].messages[0]

    def pop(self) -> None:
        """Remove the message that `peek` returns."""
        frames = self._lanes[self.lane]
        frame = frames[0]
        self._size_bytes -= len(frame.messages.popleft())
        frame.started = True
        if not frame.messages:
            frames.popleft()

    def drop_expired(self, now_s: float) -> int:
        """Drop the frames that nobody waits for; return their number."""
        dropped = 0
        for frames in self._lanes:
            for frame in [one for one in frames if one.expires_s <= now_s]:
                if not frame.started:
                    frames.remove(frame)
                    self._size_bytes -= frame.size_bytes
                    dropped += 1
        return dropped

    def clear(self) -> None:
        """Drop all messages."""
        for frames in self._lanes:
            frames.clear()
        self._size_bytes = 0


@define(eq=False)
class _PartialFrame:
    """Collect the parts of one frame."""

    parts: list[bytes] = field(factory=list)
    size_bytes: int = 0


_FrameKey: TypeAlias = tuple[str, int, int]
"""Sender, its incarnation, and the number of the frame."""


class FrameAssembler:
    """Join the parts of large frames.

    Parts of several frames of a sender may come in turns: after a link was
    replaced, the receiver reads its old and its new connection. A frame is
    delivered whole, from its own parts in their order, or not at all.
    """

    def __init__(self) -> None:
        # The frame whose last part came first is the first one.
        self._frames: dict[_FrameKey, _PartialFrame] = {}
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of the parts of incomplete frames."""
        return self._size_bytes

    def add(self, sender: str, incarnation: int, fragment: Fragment) -> bytes | None:
        """Return the encoded frame if this part completes it.

        Parts of a frame whose beginning was lost with an earlier link are
        dropped.
        """
        key = (sender, incarnation, fragment.frame)
        frame = self._frames.pop(key, None)
        if frame is None:
            frame = _PartialFrame()
        if len(frame.parts) != fragment.index or fragment.index >= MAX_PARTS:
            self._size_bytes -= frame.size_bytes
            return None
        frame.parts.append(fragment.data)
        frame.size_bytes += len(fragment.data)
        self._size_bytes += len(fragment.data)
        if fragment.last:
            self._size_bytes -= frame.size_bytes
            return b"".join(frame.parts)
        self._frames[key] = frame
        self._drop_oldest(sender)
        return None

    def _drop_oldest(self, sender: str) -> None:
        """Drop incomplete frames above the limits."""
        own = [key for key in self._frames if key[0] == sender]
        for key in own[:-MAX_PARTIAL_FRAMES]:
            self._drop(key)
        while self._size_bytes > MAX_PARTIAL_BYTES and len(self._frames) > 1:
            self._drop(next(iter(self._frames)))

    def _drop(self, key: _FrameKey) -> None:
        self._size_bytes -= self._frames.pop(key).size_bytes
