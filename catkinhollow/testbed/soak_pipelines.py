"""Call the daemons of a soak test with pipelined requests and slow reads."""

from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from socket import SO_RCVBUF, SOL_SOCKET

import trio
from attrs import define, field, frozen

from catkinhollow.calls.socket_stream import NETWORK_ERRORS
from catkinhollow.logs import get_logger
from catkinhollow.platform.headers import PLATFORM_HEADERS as NAMES
from catkinhollow.testbed.soak_fleet import HOST, SoakFleet
from catkinhollow.testbed.soak_ledger import SoakLedger
from catkinhollow.timer import Clock

logger = get_logger(__name__)

DOWNLOAD_PATH = "/p/x"
SMALL_PATH = "/s/x"
# Requests that a caller sends on one connection, the first one a download.
MAX_REQUESTS = 12
MEAN_SEND_GAP_S = 0.06
# A caller reads 0.25 to 1 MB a second.
PART_BYTES = 4096
MIN_READ_PAUSE_S = 0.004
MAX_READ_PAUSE_S = 0.016
# What the kernel of a caller receives in advance. The rest of a response waits
# with the daemon.
RECEIVE_BUFFER_BYTES = 8192
MEAN_PAUSE_S = 0.3
# Limit of one connection; responses that have not come by then are lost.
CONNECTION_LIMIT_S = 12.0


@frozen(kw_only=True)
class PipelinedResponse:
    """Represent one response of a connection."""

    status: int
    request_id: str
    closes: bool


@define
class ResponseReader:
    """Split the bytes of a connection into responses that have a length."""

    announced_close: bool = False
    """Whether a head that has arrived closes the connection."""
    _data: bytes = b""
    _head: PipelinedResponse | None = None
    _length: int = 0

    def feed(self, data: bytes) -> Iterator[PipelinedResponse]:
        """Return the responses that are whole with these bytes."""
        self._data += data
        while self._read_head() and len(self._data) >= self._length:
            self._data = self._data[self._length :]
            response, self._head = self._head, None
            if response is not None:
                yield response

    def _read_head(self) -> bool:
        """Return whether the head of the next response has arrived."""
        if self._head is not None:
            return True
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end:
            return False
        self._data = rest
        start, *lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines)
        self._length = int(fields["content-length"])
        self._head = PipelinedResponse(
            status=int(start.split(" ")[1]),
            request_id=fields.get(NAMES.request_id.decode(), ""),
            closes=fields.get("connection") == "close",
        )
        self.announced_close = self.announced_close or self._head.closes
        return True


@define(eq=False)
class _Connection:
    """Represent one connection with its unanswered requests."""

    stream: trio.SocketStream
    reader: ResponseReader = field(factory=ResponseReader)
    open: deque[str] = field(factory=deque)
    sent: int = 0
    takes_more: bool = True


class PipeliningCaller:
    """Call one daemon on connections of their own, one after the other."""

    def __init__(
        self,
        name: str,
        *,
        fleet: SoakFleet,
        ledger: SoakLedger,
        clock: Clock,
        random: Random,
        next_id: Callable[[], str],
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._ledger = ledger
        self._clock = clock
        self._random = random
        self._next_id = next_id

    async def run(self, is_calling: Callable[[], bool]) -> None:
        """Open connections until told to stop."""
        while is_calling():
            await trio.sleep(self._random.expovariate(1.0 / MEAN_PAUSE_S))
            stream = await self._connect()
            if stream is not None:
                await self._use(_Connection(stream))

    async def _connect(self) -> trio.SocketStream | None:
        address = self._fleet.members[self._name].settings.requests
        host, _, port = address.rpartition(":")
        sock = trio.socket.socket()
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        try:
            await sock.connect((host, int(port)))
        except OSError as error:
            logger.debug("not connected", instance=self._name, reason=str(error))
            sock.close()
            return None
        return trio.SocketStream(sock)

    async def _use(self, connection: _Connection) -> None:
        """Send and read until the connection ends, and record the rest."""
        pause_s = self._random.uniform(MIN_READ_PAUSE_S, MAX_READ_PAUSE_S)
        with trio.move_on_after(CONNECTION_LIMIT_S) as limit:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_requests, connection)
                await self._read_responses(connection, pause_s)
                nursery.cancel_scope.cancel()
        now_s = self._clock.monotonic()
        for request_id in connection.open:
            self._ledger.record_unread(
                request_id,
                now_s,
                announced=connection.reader.announced_close,
                given_up=limit.cancelled_caught,
            )
        await trio.aclose_forcefully(connection.stream)

    async def _send_requests(self, connection: _Connection) -> None:
        """Send until a response closes the connection, as far as is read."""
        while connection.takes_more and connection.sent < MAX_REQUESTS:
            path = SMALL_PATH if connection.sent else DOWNLOAD_PATH
            request_id = self._next_id()
            self._ledger.record_request(
                request_id,
                self._name,
                unsafe=False,
                now_s=self._clock.monotonic(),
                reads_slowly=True,
            )
            connection.open.append(request_id)
            connection.sent += 1
            try:
                await connection.stream.send_all(_encode(path, request_id))
            except NETWORK_ERRORS as error:
                # What has arrived before can still be read.
                logger.debug("takes no more", reason=repr(error))
                return
            gap_s = self._random.expovariate(1.0 / MEAN_SEND_GAP_S)
            await trio.sleep(gap_s)

    async def _read_responses(self, connection: _Connection, pause_s: float) -> None:
        reader = connection.reader
        while connection.open or connection.sent < MAX_REQUESTS:
            await trio.sleep(pause_s)
            try:
                data = await connection.stream.receive_some(PART_BYTES)
            except NETWORK_ERRORS as error:
                logger.info("connection reset", instance=self._name, reason=repr(error))
                return
            if not data:
                return
            for response in reader.feed(data):
                self._record(connection, response)
            connection.takes_more = not reader.announced_close

    def _record(self, connection: _Connection, response: PipelinedResponse) -> None:
        request_id = connection.open.popleft()
        now_s = self._clock.monotonic()
        self._ledger.record_response(request_id, response.status, now_s)
        if response.request_id and response.request_id != request_id:
            self._ledger.record_mixed(request_id, response.request_id)


def _encode(path: str, request_id: str) -> bytes:
    lines = [
        f"GET {path} HTTP/1.1",
        f"host: {HOST.decode()}",
        f"{NAMES.request_id.decode()}: {request_id}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()
