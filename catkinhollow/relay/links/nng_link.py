"""Transport frames between daemons over nng.

Each daemon has one pull socket for all incoming frames and one push socket per
peer. A push socket keeps the order of frames and drops none: if its queue is
full, a send blocks, or raises TryAgain with `block=False`. The polyamorous
pair socket of `catkinhollow.mesh.peers` has a queue of two messages per peer
and drops frames in a burst of calls.
"""

import select
from collections.abc import Callable
from itertools import count
from math import inf
from typing import Any, Protocol, TypeAlias

import pynng
import trio
from attrs import define, field, fields

from catkinhollow.codec import decode_or_error
from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import Frame
from catkinhollow.logs import get_logger
from catkinhollow.mesh.links import LinkCounters, LinkDown, LinkUp, limit_nng_threads
from catkinhollow.relay.links.dial_schedule import DialSchedule
from catkinhollow.relay.links.frame_queue import (
    FrameAssembler,
    FrameQueue,
    Lane,
    choose_lane,
    split_frame,
)
from catkinhollow.relay.links.link_pacer import LinkPacer
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# pynng has no type annotations.
_nng: Any = pynng

# Messages that nng queues for a slow peer. Further ones wait in the link's own
# queue, where statuses go first and progress can be observed.
_SEND_QUEUE_MESSAGES = 4
_RECEIVE_QUEUE_FRAMES = 256
_MAX_FRAME_BYTES = 72 * 1024 * 1024
# Interval of the checks for attempts to connect that have failed.
_DIAL_CHECK_INTERVAL_S = 0.5
_FLUSH_INTERVAL_S = 0.01
# Queue of one slow peer above which its link is reset.
_MAX_QUEUE_BYTES = 32 * 1024 * 1024
# Frames received before other tasks run again.
_RECEIVE_BATCH_FRAMES = 64

_MESSAGE_FIELDS = tuple(
    item.name
    for item in fields(Frame)
    if item.name not in ("sender", "incarnation", "link")
)

LinkEvent: TypeAlias = LinkUp | LinkDown | Frame

CountSent: TypeAlias = Callable[[str, Frame, int], None]
"""Count the bytes of a frame that is sent to an address."""


class FrameLink(Protocol):
    """Maintain connections to peers; never block on a slow or dead one."""

    def connect(self, address: str) -> None:
        """Maintain a connection to a peer until `disconnect` is called."""

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""

    def reset(self, address: str) -> None:
        """Replace the connection to a peer and drop its queued frames."""

    def contacted(self, address: str) -> None:
        """Connect to a peer again soon, because it has sent a frame."""

    def send(self, address: str, frame: Frame, expires_s: float = inf) -> bool:
        """Send a frame; return False if no byte of it will be sent.

        A frame that still waits at the given time is dropped.
        """

    @property
    def progress(self) -> dict[str, float]:
        """Return when each link with queued frames last transferred data."""

    async def run(self, receiver: Callable[[LinkEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""


@define(eq=False)
class _PushLink:
    """Represent the sending end of the link to one peer."""

    address: str
    socket: Any = None
    up: bool = False
    schedule: DialSchedule = field(factory=DialSchedule)
    queue: FrameQueue = field(factory=FrameQueue)
    """Messages that nng has not accepted yet."""
    progress_s: float = -inf
    """When nng last accepted a message that had waited in the queue."""


class NngFrameLink:
    """Push frames to each peer and pull the frames of all peers."""

    def __init__(
        self,
        listen_address: str,
        timer: Timer,
        pacer: LinkPacer,
        count_sent: CountSent,
    ) -> None:
        limit_nng_threads()
        self._listen_address = listen_address
        self._timer = timer
        self._pacer = pacer
        self._count_sent = count_sent
        self._clock = timer.clock
        self._counters = LinkCounters()
        self._pull = _nng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE_FRAMES, recv_max_size=_MAX_FRAME_BYTES
        )
        self._pushes: dict[str, _PushLink] = {}
        self._receiver: Callable[[LinkEvent], None] | None = None
        self._token: trio.lowlevel.TrioToken | None = None
        self._assembler = FrameAssembler()
        self._frame_numbers = count()
        # Addresses of the peers with queued messages, in the order of their
        # turns.
        self._queued: dict[str, None] = {}
        self._flushing = False

    @property
    def counters(self) -> LinkCounters:
        """Return the counts since the start."""
        return self._counters

    @property
    def progress(self) -> dict[str, float]:
        """Return when each link with queued frames last transferred data."""
        pushes = (self._pushes[address] for address in self._queued)
        return {push.address: push.progress_s for push in pushes}

    @property
    def busy(self) -> bool:
        """Return whether frames wait to be sent."""
        return bool(self._queued)

    @property
    def backlog_s(self) -> float:
        """Return how long a further body waits for the link, in seconds."""
        size_bytes = sum(
            self._pushes[address].queue.size_bytes for address in self._queued
        )
        return self._pacer.transfer_s(size_bytes, self._clock.monotonic())

    def connect(self, address: str) -> None:
        """Maintain a connection to a peer until `disconnect` is called."""
        if address not in self._pushes:
            push = _PushLink(address)
            self._pushes[address] = push
            self._dial(push)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""
        push = self._pushes.pop(address, None)
        if push is not None:
            self._close(push)

    def reset(self, address: str) -> None:
        """Replace the connection to a peer and drop its queued frames."""
        push = self._pushes.get(address)
        if push is not None:
            self._close(push)
            self._dial(push)

    def contacted(self, address: str) -> None:
        """Connect to a peer again soon, because it has sent a frame."""
        push = self._pushes.get(address)
        if push is None or push.up:
            return
        if push.schedule.contacted(self._clock.monotonic()):
            self._close(push)
            self._dial(push)

    def send(self, address: str, frame: Frame, expires_s: float = inf) -> bool:
        """Send a frame; return False if no byte of it will be sent.

        A frame that still waits at the given time is dropped.
        """
        push = self._pushes.get(address)
        if push is None or not push.up:
            return False
        messages = split_frame(frame, next(self._frame_numbers))
        size_bytes = sum(map(len, messages))
        self._count_sent(address, frame, size_bytes)
        lane = choose_lane(frame, size_bytes)
        if frame.cancel is not None and push.queue.has_before(Lane.BULK):
            # It must not arrive before its call.
            lane = Lane.BULK
        count_sent = 0
        while count_sent < len(messages) and not push.queue.has_before(lane):
            if not self._may_send(lane):
                break
            if not self._try_send(push, messages[count_sent]):
                break
            count_sent += 1
        if count_sent < len(messages) and self._make_room(push):
            rest = messages[count_sent:]
            push.queue.append(rest, lane, expires_s=expires_s, started=count_sent > 0)
            self._queued[push.address] = None
            self._schedule_flush()
        return push.up

    async def run(self, receiver: Callable[[LinkEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""
        self._receiver = receiver
        self._token = trio.lowlevel.current_trio_token()
        self._pull.listen(f"tcp://{self._listen_address}")
        redial = self._timer.subscribe(_DIAL_CHECK_INTERVAL_S, self._redial_failed)
        try:
            for push in self._pushes.values():
                self._dial(push)
            await self._receive_all()
        finally:
            redial.cancel()
            self._receiver = None
            for push in self._pushes.values():
                self._close(push)
            self._pull.close()

    async def _receive_all(self) -> None:
        readable = self._pull.recv_fd
        poll = select.poll()
        poll.register(readable, select.POLLIN)
        while True:
            await trio.lowlevel.wait_readable(readable)
            for _ in range(_RECEIVE_BATCH_FRAMES):
                try:
                    data = self._pull.recv(block=False)
                except _nng.TryAgain:
                    break
                self._decode_frame(data)
                # Mostly one frame has arrived. This costs a tenth of the
                # exception that tells it.
                if not poll.poll(0):
                    break

    def _decode_frame(self, data: bytes) -> None:
        self._counters.count_received(len(data))
        frame = decode_or_error(data, Frame)
        if isinstance(frame, DecodeError):
            logger.warning("frame dropped", reason=frame.reason)
            return
        # The receiver gets the parts too, which show that the sender is alive.
        self._emit(frame)
        if frame.fragment is not None:
            whole = self._assembler.add(frame.sender, frame.incarnation, frame.fragment)
            if whole is not None:
                self._decode_frame(whole)

    def _may_send(self, lane: Lane) -> bool:
        """Return whether the link takes a message of a lane now."""
        return lane < Lane.BULK or self._pacer.wait_s(self._clock.monotonic()) <= 0

    def _try_send(self, push: _PushLink, data: bytes) -> bool:
        try:
            push.socket.send(data, block=False)
        except _nng.TryAgain:
            return False
        except _nng.NNGException as error:
            logger.warning("send failed", peer=push.address, reason=str(error))
            return False
        self._counters.count_sent(len(data))
        self._pacer.sent(len(data), self._clock.monotonic())
        return True

    def _make_room(self, push: _PushLink) -> bool:
        """Reset the link if its queue is full; return whether it is not."""
        if push.queue.size_bytes <= _MAX_QUEUE_BYTES:
            return True
        logger.warning("link reset, peer reads too slowly", peer=push.address)
        self.reset(push.address)
        return False

    def _schedule_flush(self) -> None:
        if self._flushing:
            return
        self._flushing = True
        delay_s = _FLUSH_INTERVAL_S
        if all(
            self._pushes[address].queue.lane is Lane.BULK for address in self._queued
        ):
            delay_s = max(delay_s, self._pacer.wait_s(self._clock.monotonic()))
        self._timer.call_after(delay_s, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        self._drop_expired()
        waiting = list(self._queued)
        while waiting:
            # One message each, so that all peers get a share of the link.
            waiting = [address for address in waiting if self._flush_one(address)]
        if self._queued:
            self._schedule_flush()

    def _drop_expired(self) -> None:
        now_s = self._clock.monotonic()
        for address in list(self._queued):
            queue = self._pushes[address].queue
            queue.drop_expired(now_s)
            if not queue:
                del self._queued[address]

    def _flush_one(self, address: str) -> bool:
        """Send one queued message; return whether another one may follow."""
        push = self._pushes[address]
        if not self._may_send(push.queue.lane):
            return False
        if not self._try_send(push, push.queue.peek()):
            return False
        push.queue.pop()
        push.progress_s = self._clock.monotonic()
        # The others have their turns first.
        del self._queued[address]
        if push.queue:
            self._queued[address] = None
        return bool(push.queue)

    def _dial(self, push: _PushLink) -> None:
        if self._token is None or push.socket is not None:
            return
        attempt = push.schedule.start(self._clock.monotonic())
        socket = _nng.Push0(
            send_buffer_size=_SEND_QUEUE_MESSAGES,
            reconnect_time_min=int(attempt.min_reconnect_s * 1000),
            reconnect_time_max=int(attempt.max_reconnect_s * 1000),
        )
        push.socket = socket
        self._counters.dials += 1
        self._register_pipe_callbacks(push, socket, self._token)
        try:
            socket.dial(f"tcp://{push.address}", block=False)
        except _nng.NNGException as error:
            logger.warning("dial failed", peer=push.address, reason=str(error))

    def _register_pipe_callbacks(
        self, push: _PushLink, socket: Any, token: trio.lowlevel.TrioToken
    ) -> None:
        # nng calls back on its own threads; state is only changed on the loop.
        def call_on_loop(callback: Callable[..., None]) -> None:
            try:
                token.run_sync_soon(callback, push, socket)
            except trio.RunFinishedError:
                logger.debug("pipe event after loop shutdown")

        socket.add_post_pipe_connect_cb(lambda _: call_on_loop(self._on_connected))
        socket.add_post_pipe_remove_cb(lambda _: call_on_loop(self._on_disconnected))

    def _on_connected(self, push: _PushLink, socket: Any) -> None:
        if push.socket is socket and not push.up:
            push.up = True
            push.schedule.connected()
            self._emit(LinkUp(address=push.address))

    def _on_disconnected(self, push: _PushLink, socket: Any) -> None:
        if push.socket is not socket:
            return
        # Replace the socket, so that frames queued in it are not sent late.
        self._close(push)
        if self._pushes.get(push.address) is push:
            self._dial(push)

    def _redial_failed(self) -> None:
        now_s = self._clock.monotonic()
        for push in self._pushes.values():
            if not push.up and push.schedule.is_over(now_s):
                self._close(push)
                self._dial(push)

    def _close(self, push: _PushLink) -> None:
        socket, push.socket = push.socket, None
        was_up, push.up = push.up, False
        push.queue.clear()
        self._queued.pop(push.address, None)
        if socket is not None:
            socket.close()
        if was_up:
            self._emit(LinkDown(address=push.address))

    def _emit(self, event: LinkEvent) -> None:
        if self._receiver is not None:
            self._receiver(event)


def message_kind(frame: Frame) -> str:
    """Return the name of the message that a frame carries."""
    for name in _MESSAGE_FIELDS:
        if getattr(frame, name) is not None:
            return name
    raise ValueError("the frame is empty")
