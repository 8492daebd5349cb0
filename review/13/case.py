"""Stop a daemon whose callers pipeline requests and read slowly."""

import asyncio
import os
import signal
import socket
import sys
import time
from pathlib import Path

from standins_3 import (
    BROKEN,
    HELD,
    HOST,
    CannotRunError,
    Client,
    Fleet,
    Message,
    Upstream,
    encode_request,
    make_configuration,
    make_route,
    run_case,
    split_messages,
)

# TROUBLE=0 plays the case without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The site file has `insert-pack`s of up to 540,000 bytes.
PACK_BYTES = 200_000
# The callers read 1.25 Mbit/s: this much in one interval.
PART_BYTES = 2048
PART_INTERVAL_S = 0.013
PACK_BUDGET_MS = 5600
CHECK_BUDGET_MS = 2200
CALLERS = 8
SEND_INTERVAL_S = 0.08
# The callers start one after the other.
START_INTERVAL_S = 0.011
MAX_SENT = 24
GRACE_S = 6.0


async def work(request: Message) -> bytes:
    """Work on a large download, or on a small read."""
    if request.target.startswith("/packs/"):
        await asyncio.sleep(0.3)
        return b"p" * PACK_BYTES
    await asyncio.sleep(0.06)
    return b"c" * 1500


class PipeliningCaller:
    """Send safe requests before the earlier ones have been answered."""

    def __init__(self, client: Client, fleet: Fleet, port: int) -> None:
        self._client = client
        self._record = fleet.record
        self._port = port
        self._socket = socket.socket()
        self._sent: list[str] = []
        self._takes_more = True
        self._data = b""
        self._answers: list[Message] = []
        self.lost: list[str] = []
        self.ended_s = 0.0

    @property
    def _told_to_close(self) -> bool:
        head, end, _ = self._data.partition(b"\r\n\r\n")
        heads = [answer.headers.get("connection") for answer in self._answers]
        return "close" in heads or (bool(end) and b"connection: close" in head)

    async def run(self) -> None:
        """Send, and read slowly, until the connection ends."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        await loop.sock_connect(self._socket, (HOST, self._port))
        reason = "closed"
        self._send("/packs/", PACK_BUDGET_MS)
        next_s = time.monotonic() + SEND_INTERVAL_S
        try:
            while len(self._answers) < MAX_SENT:
                if time.monotonic() >= next_s and self._may_send:
                    next_s += SEND_INTERVAL_S
                    self._send("/checks/", CHECK_BUDGET_MS)
                if not await self._read():
                    break
        except OSError as error:
            reason = repr(error)
        self.ended_s = time.monotonic()
        self._socket.close()
        self.lost = self._sent[len(self._answers) :]
        self._record.add(
            f"connection of {self._sent[0]} ends: {reason}; sent {len(self._sent)}, "
            f"answered {len(self._answers)}, {len(self._data)} bytes of the next"
        )

    @property
    def _may_send(self) -> bool:
        if not self._takes_more or len(self._sent) >= MAX_SENT:
            return False
        return not self._told_to_close

    def _send(self, path: str, budget_ms: int) -> None:
        headers = self._client.headers(budget_ms)
        attempt = headers["X-Attempt-Id"]
        self._record.add(f"caller sends GET {path} {attempt}")
        self._sent.append(attempt)
        data = encode_request("GET", f"{path}{attempt}", headers)
        try:
            self._socket.send(data)
        except OSError as error:
            # What has arrived before can still be read.
            self._record.add(f"connection of {self._sent[0]} takes no more: {error!r}")
            self._takes_more = False

    async def _read(self) -> bool:
        """Read one part; return whether the connection is still open."""
        await asyncio.sleep(PART_INTERVAL_S)
        try:
            received = self._socket.recv(PART_BYTES)
        except BlockingIOError:
            return True
        whole, self._data = split_messages(self._data + received)
        self._answers += whole
        return bool(received)


async def play(fleet: Fleet) -> int:
    """Play the case."""
    record = fleet.record
    routes = [
        make_route("/packs/", "download", "stock", PACK_BUDGET_MS, 1400),
        make_route("/checks/", "safe", "stock", CHECK_BUDGET_MS, 600),
    ]
    fleet.store.write("config", "main", make_configuration(7, routes))
    for index, zone in enumerate(("whk-a", "whk-b", "whk-c"), 1):
        upstream = Upstream("stock", zone, record, work, lifetime=f"i-{index}")
        await fleet.add(f"m{index}", zone, upstream)
    await fleet.wait_ready()

    client = Client(record)
    stopped = fleet.daemons[0]
    callers = [
        PipeliningCaller(client, fleet, stopped.requests) for _ in range(CALLERS)
    ]
    tasks = []
    for caller in callers:
        tasks.append(asyncio.ensure_future(caller.run()))
        await asyncio.sleep(START_INTERVAL_S)
    stopped_s = time.monotonic()
    if TROUBLE:
        record.say("SIGTERM to m1")
        stopped.signal(signal.SIGTERM)
    await asyncio.wait(tasks, timeout=GRACE_S + 4.0)
    if not all(task.done() for task in tasks):
        raise CannotRunError("callers are still connected")

    answered = {
        run.attempt
        for daemon in fleet.daemons
        for run in daemon.upstream.runs
        if run.answered
    }
    lost = [
        attempt
        for caller in callers
        if caller.ended_s < stopped_s + GRACE_S + 1.0
        for attempt in caller.lost
        if attempt in answered
    ]
    record.say(f"{len(answered)} requests run and answered by upstreams")
    record.say(f"{len(lost)} of them got no complete answer, first: {lost[:6]}")
    if not answered:
        raise CannotRunError("nothing ran")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
