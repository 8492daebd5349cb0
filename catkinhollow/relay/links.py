"""Carry frames between daemons over nng.

Each daemon has one pull socket for all that is sent to it, and a push socket
for each peer it sends to. A push socket keeps order and blocks instead of
dropping, unlike the polyamorous pair of `catkinhollow.mesh.peers`, whose queue
of two messages a peer drops frames in a burst of calls.
"""

from collections import deque
from collections.abc import Callable
from typing import Any, Protocol, TypeAlias

import pynng
import trio
from attrs import define, field

from catkinhollow.codec import decode_message, encode_without_none
from catkinhollow.generated.relay import Frame
from catkinhollow.logs import get_logger
from catkinhollow.mesh.links import LinkCounters, LinkDown, LinkUp, limit_nng_threads
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# pynng carries no type annotations.
_nng: Any = pynng

# Frames that wait in nng for a slow peer; the rest waits here.
_SEND_QUEUE_FRAMES = 32
_RECEIVE_QUEUE_FRAMES = 256
_MAX_FRAME_BYTES = 72 * 1024 * 1024
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 400
# A connect to an instance without power hangs for minutes in the kernel; a
# new one succeeds as soon as the instance is back.
_REDIAL_S = 1.0
_FLUSH_INTERVAL_S = 0.01
# Bytes that wait for one slow peer before its link is reset.
_MAX_BACKLOG_BYTES = 32 * 1024 * 1024
# Frames taken before other tasks run again.
_RECEIVE_BATCH = 64

LinkEvent: TypeAlias = LinkUp | LinkDown | Frame


class FrameLink(Protocol):
    """Keep connections to peers; never block on a slow or dead one."""

    def connect(self, address: str) -> None:
        """Keep a connection to a peer until disconnected."""

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""

    def reset(self, address: str) -> None:
        """Replace the connection to a peer; what waits for it is dropped."""

    def send(self, address: str, frame: Frame) -> bool:
        """Send a frame, or return False if no byte of it will be sent."""

    async def run(self, receiver: Callable[[LinkEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""


@define(eq=False)
class _Push:
    """Hold the sending end of the link to one peer."""

    address: str
    socket: Any = None
    up: bool = False
    dialled_s: float = 0.0
    backlog: deque[bytes] = field(factory=deque)
    """Encoded frames that nng does not take yet."""
    backlog_bytes: int = 0


class NngFrameLink:
    """Push frames to each peer and pull those of all peers."""

    def __init__(self, own_address: str, timer: Timer) -> None:
        limit_nng_threads()
        self._own_address = own_address
        self._timer = timer
        self._clock = timer.clock
        self._counters = LinkCounters()
        self._pull = _nng.Pull0(
            recv_buffer_size=_RECEIVE_QUEUE_FRAMES, recv_max_size=_MAX_FRAME_BYTES
        )
        self._pushes: dict[str, _Push] = {}
        self._receiver: Callable[[LinkEvent], None] | None = None
        self._token: trio.lowlevel.TrioToken | None = None
        self._flushing = False

    @property
    def counters(self) -> LinkCounters:
        """Return the counts since the start."""
        return self._counters

    def connect(self, address: str) -> None:
        """Keep a connection to a peer until disconnected."""
        if address not in self._pushes:
            push = _Push(address)
            self._pushes[address] = push
            self._dial(push)

    def disconnect(self, address: str) -> None:
        """Close the connection to a peer."""
        push = self._pushes.pop(address, None)
        if push is not None:
            self._close(push)

    def reset(self, address: str) -> None:
        """Replace the connection to a peer; what waits for it is dropped."""
        push = self._pushes.get(address)
        if push is not None:
            self._close(push)
            self._dial(push)

    def send(self, address: str, frame: Frame) -> bool:
        """Send a frame, or return False if no byte of it will be sent."""
        push = self._pushes.get(address)
        if push is None or not push.up:
            return False
        data = encode_without_none(frame)
        if push.backlog or not self._try_send(push, data):
            self._queue(push, data)
        return push.up

    async def run(self, receiver: Callable[[LinkEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""
        self._receiver = receiver
        self._token = trio.lowlevel.current_trio_token()
        self._pull.listen(f"tcp://{self._own_address}")
        redial = self._timer.subscribe(_REDIAL_S / 2, self._redial_stuck)
        try:
            for push in self._pushes.values():
                self._dial(push)
            await self._receive()
        finally:
            redial.cancel()
            self._receiver = None
            for push in self._pushes.values():
                self._close(push)
            self._pull.close()

    async def _receive(self) -> None:
        readable = self._pull.recv_fd
        while True:
            await trio.lowlevel.wait_readable(readable)
            for _ in range(_RECEIVE_BATCH):
                try:
                    data = self._pull.recv(block=False)
                except _nng.TryAgain:
                    break
                self._take(data)

    def _take(self, data: bytes) -> None:
        self._counters.count_received(len(data))
        decoded = decode_message(data, Frame)
        if decoded.is_error():
            logger.warning("frame dropped", reason=decoded.error.reason)
            return
        self._emit(decoded.ok)

    def _try_send(self, push: _Push, data: bytes) -> bool:
        try:
            push.socket.send(data, block=False)
        except _nng.TryAgain:
            return False
        except _nng.NNGException as error:
            logger.warning("send failed", peer=push.address, reason=str(error))
            return False
        self._counters.count_sent(len(data))
        return True

    def _queue(self, push: _Push, data: bytes) -> None:
        if push.backlog_bytes + len(data) > _MAX_BACKLOG_BYTES:
            logger.warning("peer reads too slowly", peer=push.address)
            self.reset(push.address)
            return
        push.backlog.append(data)
        push.backlog_bytes += len(data)
        if not self._flushing:
            self._flushing = True
            self._timer.call_after(_FLUSH_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        for push in self._pushes.values():
            while push.backlog and self._try_send(push, push.backlog[0]):
                push.backlog_bytes -= len(push.backlog.popleft())
        if any(push.backlog for push in self._pushes.values()):
            self._flushing = True
            self._timer.call_after(_FLUSH_INTERVAL_S, self._flush)

    def _dial(self, push: _Push) -> None:
        if self._token is None or push.socket is not None:
            return
        socket = _nng.Push0(
            send_buffer_size=_SEND_QUEUE_FRAMES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        push.socket = socket
        push.dialled_s = self._clock.monotonic()
        self._report_pipes(push, socket, self._token)
        try:
            socket.dial(f"tcp://{push.address}", block=False)
        except _nng.NNGException as error:
            logger.warning("dial failed", peer=push.address, reason=str(error))

    def _report_pipes(
        self, push: _Push, socket: Any, token: trio.lowlevel.TrioToken
    ) -> None:
        # nng calls back on its own threads; all state stays on the loop.
        def hand_over(callback: Callable[..., None]) -> None:
            try:
                token.run_sync_soon(callback, push, socket)
            except trio.RunFinishedError:
                logger.debug("pipe event after the end of the loop")

        socket.add_post_pipe_connect_cb(lambda _: hand_over(self._connected))
        socket.add_post_pipe_remove_cb(lambda _: hand_over(self._broken))

    def _connected(self, push: _Push, socket: Any) -> None:
        if push.socket is socket and not push.up:
            push.up = True
            self._emit(LinkUp(address=push.address))

    def _broken(self, push: _Push, socket: Any) -> None:
        if push.socket is not socket:
            return
        # A new socket, so that frames left in the old one are never sent late.
        self._close(push)
        if self._pushes.get(push.address) is push:
            self._dial(push)

    def _redial_stuck(self) -> None:
        now_s = self._clock.monotonic()
        for push in self._pushes.values():
            if not push.up and now_s - push.dialled_s > _REDIAL_S:
                self._close(push)
                self._dial(push)

    def _close(self, push: _Push) -> None:
        socket, push.socket = push.socket, None
        was_up, push.up = push.up, False
        push.backlog.clear()
        push.backlog_bytes = 0
        if socket is not None:
            socket.close()
        if was_up:
            self._emit(LinkDown(address=push.address))

    def _emit(self, event: LinkEvent) -> None:
        if self._receiver is not None:
            self._receiver(event)
