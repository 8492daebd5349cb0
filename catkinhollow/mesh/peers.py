"""Exchange messages with other daemons over nng."""

from collections.abc import Callable
from itertools import count
from typing import Any, Protocol, TypeAlias

import pynng
import trio

from catkinhollow.codec import decode_message, encode_without_none
from catkinhollow.generated.messages import Envelope
from catkinhollow.generated.settings import Address
from catkinhollow.logs import get_logger
from catkinhollow.mesh.links import (
    LinkCounters,
    LinkDown,
    LinkUp,
    limit_nng_threads,
)

logger = get_logger(__name__)

# pynng carries no type annotations.
_nng: Any = pynng
_lib: Any = _nng._nng.lib

# Messages that nng queues; a full queue drops messages instead of blocking.
_SEND_QUEUE_MESSAGES = 256
_RECEIVE_QUEUE_MESSAGES = 512
# A snapshot takes at most 1 MB, a table of 1,400 members about 0.6 MB.
_MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 2000


class _Pipe(Protocol):
    """Represent one connection of an nng socket."""

    id: int
    pipe: Any

    def close(self) -> None:
        """Close the connection."""


class _Dialer(Protocol):
    """Connect to one address repeatedly until closed."""

    id: int

    def close(self) -> None:
        """Stop connecting and close the connection."""


class _Message(Protocol):
    """Represent a received message."""

    bytes: bytes
    pipe: _Pipe | None


PeerEvent: TypeAlias = LinkUp | LinkDown | Envelope


class PeerLink(Protocol):
    """Maintain connections to peers; never block on a slow or dead one."""

    def connect(self, address: str) -> None:
        """Keep a connection to a peer until disconnected."""

    def disconnect(self, address: str) -> None:
        """Close this end's connection to a peer."""

    def reconnect(self, address: str) -> None:
        """Replace every open connection to a peer by a new one."""

    def send(self, address: str, envelope: Envelope) -> bool:
        """Send a message, or return False if it is dropped here."""

    async def run(self, receiver: Callable[[PeerEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""


def format_address(address: Address) -> str:
    """Return the address as host:port text."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"


class NngPeerLink:
    """Address each peer by its pipe on one polyamorous socket."""

    def __init__(self, own_address: str) -> None:
        limit_nng_threads()
        self._own_address = own_address
        self._counters = LinkCounters()
        self._socket = _nng.Pair1(
            polyamorous=True,
            send_buffer_size=_SEND_QUEUE_MESSAGES,
            recv_buffer_size=_RECEIVE_QUEUE_MESSAGES,
            recv_max_size=_MAX_MESSAGE_BYTES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self._receiver: Callable[[PeerEvent], None] | None = None
        self._wanted: set[str] = set()
        self._dialers: dict[str, _Dialer] = {}
        self._dialed_addresses: dict[int, str] = {}
        self._pipes: dict[str, dict[int, _Pipe]] = {}
        self._pipe_addresses: dict[int, str] = {}
        # Numbers of the open pipes in the order in which they opened.
        self._open_pipes: dict[int, int] = {}
        self._pipe_numbers = count()

    @property
    def counters(self) -> LinkCounters:
        """Return the counts since the start."""
        return self._counters

    def connect(self, address: str) -> None:
        """Keep a connection to a peer until disconnected."""
        self._wanted.add(address)
        self._dial_if_needed(address)

    def disconnect(self, address: str) -> None:
        """Close this end's connection to a peer."""
        self._wanted.discard(address)
        self._close_dialer(address)

    def reconnect(self, address: str) -> None:
        """Replace every open connection to a peer by a new one."""
        # A dialer connects again by itself once its pipe has closed.
        for pipe in self._pipes.get(address, {}).values():
            pipe.close()

    def send(self, address: str, envelope: Envelope) -> bool:
        """Send a message, or return False if it is dropped here."""
        pipes = self._pipes.get(address)
        if not pipes:
            return False
        # Use the newest pipe, as an older one may lead to a former process.
        pipe = next(reversed(pipes.values()))
        try:
            data = encode_without_none(envelope)
            self._socket.send_msg(_nng.Message(data, pipe), block=False)
        except _nng.NNGException:
            return False
        self._counters.count_sent(len(data))
        return True

    async def run(self, receiver: Callable[[PeerEvent], None]) -> None:
        """Call the receiver for each event until cancelled."""
        self._receiver = receiver
        self._register_pipe_callbacks(trio.lowlevel.current_trio_token())
        self._socket.listen(f"tcp://{self._own_address}")
        try:
            for address in self._wanted:
                self._dial_if_needed(address)
            while True:
                message = await self._socket.arecv_msg()
                self._on_message(message)
        finally:
            self._receiver = None
            self._socket.close()

    def _register_pipe_callbacks(self, token: trio.lowlevel.TrioToken) -> None:
        # nng calls these functions on its own threads, but all state is only
        # accessed from the event loop.
        def on_opening(pipe: _Pipe) -> None:
            self._run_on_loop(token, self._pipe_opening, pipe.id)

        def on_added(pipe: _Pipe) -> None:
            self._run_on_loop(token, self._pipe_added, pipe, _dialer_id(pipe))

        def on_removed(pipe: _Pipe) -> None:
            self._run_on_loop(token, self._pipe_removed, pipe.id)

        self._socket.add_pre_pipe_connect_cb(on_opening)
        self._socket.add_post_pipe_connect_cb(on_added)
        self._socket.add_post_pipe_remove_cb(on_removed)

    def _run_on_loop(
        self,
        token: trio.lowlevel.TrioToken,
        callback: Callable[..., None],
        *arguments: object,
    ) -> None:
        try:
            token.run_sync_soon(callback, *arguments)
        except trio.RunFinishedError:
            logger.debug("pipe event after loop shutdown")

    def _pipe_opening(self, pipe_id: int) -> None:
        self._open_pipes[pipe_id] = next(self._pipe_numbers)

    def _pipe_added(self, pipe: _Pipe, dialer_id: int) -> None:
        address = self._dialed_addresses.get(dialer_id)
        if address is not None:
            self._assign_pipe(address, pipe)

    def _pipe_removed(self, pipe_id: int) -> None:
        self._open_pipes.pop(pipe_id, None)
        self._release_pipe(pipe_id)

    def _release_pipe(self, pipe_id: int) -> None:
        address = self._pipe_addresses.pop(pipe_id, None)
        if address is None:
            return
        pipes = self._pipes[address]
        del pipes[pipe_id]
        if not pipes:
            del self._pipes[address]
            self._emit(LinkDown(address=address))
            self._dial_if_needed(address)

    def _on_message(self, message: _Message) -> None:
        data = message.bytes
        self._counters.count_received(len(data))
        decoded = decode_message(data, Envelope)
        if decoded.is_error():
            logger.warning("peer message dropped", reason=decoded.error.reason)
            return
        envelope = decoded.ok
        if message.pipe is not None:
            self._assign_pipe(envelope.sender, message.pipe)
        self._emit(envelope)

    def _assign_pipe(self, address: str, pipe: _Pipe) -> None:
        # A message can be read after its pipe has closed. nng would drop all
        # messages sent to such a pipe without an error.
        if (
            pipe.id not in self._open_pipes
            or self._pipe_addresses.get(pipe.id) == address
        ):
            return
        self._release_pipe(pipe.id)
        self._pipe_addresses[pipe.id] = address
        is_linked = address in self._pipes
        self._pipes.setdefault(address, {})[pipe.id] = pipe
        if not is_linked:
            self._emit(LinkUp(address=address))
        # If both ends have dialed, only the pipe that the end with the lower
        # address dialed is kept.
        if self._is_accepted(pipe):
            self._close_former_pipes(address, pipe)
            if address < self._own_address:
                self._close_dialer(address)

    def _is_accepted(self, pipe: _Pipe) -> bool:
        return _dialer_id(pipe) not in self._dialed_addresses

    def _close_former_pipes(self, address: str, accepted: _Pipe) -> None:
        """Close the accepted pipes that an accepted one has replaced.

        A peer dials one pipe at a time, but the end of a silent one does not
        arrive here.
        """
        number = self._open_pipes[accepted.id]
        for pipe in self._pipes[address].values():
            is_former = self._open_pipes.get(pipe.id, number) < number
            if is_former and self._is_accepted(pipe):
                pipe.close()

    def _dial_if_needed(self, address: str) -> None:
        is_running = self._receiver is not None
        is_needed = address in self._wanted and address not in self._pipes
        if not is_running or not is_needed or address in self._dialers:
            return
        try:
            dialer: _Dialer = self._socket.dial(f"tcp://{address}", block=False)
        except _nng.NNGException as error:
            # The address may come from a faulty record of another member.
            logger.warning("dial failed", address=address, reason=str(error))
            return
        self._dialers[address] = dialer
        self._dialed_addresses[dialer.id] = address

    def _close_dialer(self, address: str) -> None:
        dialer = self._dialers.pop(address, None)
        if dialer is not None:
            del self._dialed_addresses[dialer.id]
            dialer.close()

    def _emit(self, event: PeerEvent) -> None:
        if self._receiver is not None:
            self._receiver(event)


def _dialer_id(pipe: _Pipe) -> int:
    return int(_lib.nng_dialer_id(_lib.nng_pipe_dialer(pipe.pipe)))
