"""Measure the processor time of a call through two daemons over loopback.

Two daemons of this checkout, two of another one, and two processes that only
read, parse and write are called in turns, in short blocks, so that all see the
same machine. The processor time of a process counts all of its threads. What
the daemons use without calls is measured in blocks of its own and subtracted.
"""

import os
import subprocess
import sys
from argparse import ArgumentParser
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from itertools import count
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import perf_counter

import trio
import yaml
from attrs import Factory, define
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from catkinhollow.codec import encode_json, to_plain  # noqa: E402
from catkinhollow.generated.relay import (  # noqa: E402
    RelayConfiguration,
    RelayRoute,
    RelayService,
    RelaySettings,
)
from catkinhollow.platform.headers import PLATFORM_HEADERS as NAMES  # noqa: E402
from catkinhollow.platform.process import SETTINGS_VARIABLE  # noqa: E402
from catkinhollow.platform.standin_store import StandInStore  # noqa: E402
from catkinhollow.relay.documents.kinds import (  # noqa: E402
    CONFIGURATION,
    CONFIGURATION_NAME,
)
from catkinhollow.testbed.loopback_server import serve_on_loopback  # noqa: E402
from catkinhollow.testbed.processes import free_ports  # noqa: E402

MODULE = "catkinhollow.platform.sidecar"
# The ingress daemon is beside a target of another service, so that each call
# passes both daemons.
SERVICES = {"a": "front", "b": "stock"}
HOST = b"shop.example"
SLOTS = 64
ANNOUNCE_INTERVAL_S = 0.5
START_LIMIT_S = 30.0
WARMUP_CALLS = 400
BODY = b"x" * 400
IDLE_BLOCK_S = 2.0
# The daemons close connections that are idle for 15 s.
MAX_IDLE_S = 10.0
CALL = (
    b"GET /s/item?id=7 HTTP/1.1\r\nHost: %s\r\nAccept: */*\r\n"
    b"User-Agent: measure/1\r\nAccept-Encoding: identity\r\n"
    b"X-Deadline-Ms: 5000\r\nX-Attempt-Id: %%d\r\n\r\n" % HOST
)


@define(kw_only=True)
class Pair:
    """Represent two processes that calls pass through."""

    name: str
    entry_port: int
    processes: list[subprocess.Popen[bytes]]
    used_ms: list[float] = Factory(list)
    """Processor time of a call in each block."""
    idle_ms: list[float] = Factory(list)
    """Processor time of a second without calls in each block."""

    def processor_s(self) -> float:
        """Return the processor time of both processes until now."""
        return sum(_processor_s(process.pid) for process in self.processes)


def _processor_s(pid: int) -> float:
    total_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        total_ns += int((task / "schedstat").read_text().split()[0])
    return total_ns / 1e9


async def answer_calls(stream: trio.SocketStream) -> None:
    """Answer each request at once, as a target of the platform does."""
    while True:
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            part = await stream.receive_some(65536)
            if not part:
                return
            data += part
        headers = [b"HTTP/1.1 200 OK", b"Content-Type: text/plain"]
        headers.append(b"X-Instance-Id: b-1")
        for line in data.split(b"\r\n"):
            if line.lower().startswith(NAMES.request_id):
                headers += [line, b"X-Response-Seal: sealed"]
        headers += [b"Content-Length: %d" % len(BODY), b"", BODY]
        await stream.send_all(b"\r\n".join(headers))


async def announce(settings: RelaySettings, pool: AsyncConnectionPool) -> None:
    """Announce the target of a daemon until cancelled."""
    url = f"http://{settings.announcements}/instances/{settings.instance}-1"
    for sequence in count(1):
        announcement = {
            "service": settings.service,
            "address": settings.target,
            "failure_domain": settings.failure_domain,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": sequence,
            "born": 1,
        }
        try:
            with trio.move_on_after(ANNOUNCE_INTERVAL_S):
                await pool.request("PUT", url, content=encode_json(announcement))
        except (NetworkError, ProtocolError, TimeoutException):
            await trio.sleep(0.1)
        await trio.sleep(ANNOUNCE_INTERVAL_S)


class Caller:
    """Send calls on one connection, each after the answer to the last."""

    def __init__(self, port: int, numbers: Iterator[int]) -> None:
        self._port = port
        self._numbers = numbers
        self._stream: trio.SocketStream | None = None
        self._used_s = 0.0

    async def call(self) -> bool:
        """Return whether a call was answered by a target."""
        if trio.current_time() - self._used_s > MAX_IDLE_S:
            self._stream = None
        self._used_s = trio.current_time()
        try:
            if self._stream is None:
                self._stream = await trio.open_tcp_stream("127.0.0.1", self._port)
            await self._stream.send_all(CALL % next(self._numbers))
            data = b""
            while not data.endswith((BODY, b"\n")):
                part = await self._stream.receive_some(65536)
                if not part:
                    raise trio.BrokenResourceError
                data += part
        except (OSError, trio.BrokenResourceError):
            self._stream = None
            return False
        return data.endswith(BODY)


async def run_calls(callers: list[Caller], calls: int, rate_per_s: float) -> None:
    """Start calls at a rate, each by a free caller; all must succeed."""
    free = list(callers)
    started_s = trio.current_time()

    async def call_once(caller: Caller) -> None:
        if not await caller.call():
            raise SystemExit("a call was not answered")
        free.append(caller)

    async with trio.open_nursery() as nursery:
        for number in range(calls):
            await trio.sleep_until(started_s + number / rate_per_s)
            while not free:
                await trio.sleep(0.001)
            nursery.start_soon(call_once, free.pop())


@contextmanager
def _process(
    arguments: list[str], root: Path, **environment: str
) -> Iterator[subprocess.Popen[bytes]]:
    child = subprocess.Popen(
        [sys.executable, *arguments],
        cwd=root,
        env={**os.environ, **environment},
        stdout=subprocess.DEVNULL,
    )
    try:
        yield child
    finally:
        child.kill()
        child.wait()


class Bench:
    """Start the pairs and call them in turns."""

    def __init__(self, directory: Path, stack: ExitStack, nursery: trio.Nursery):
        self._directory = directory
        self._stack = stack
        self._nursery = nursery
        self._pool = AsyncConnectionPool()
        self._numbers = count(1)

    async def start_daemons(self, name: str, root: Path) -> Pair:
        """Start two daemons of a checkout, their targets and their store."""
        store = StandInStore()
        store.write(CONFIGURATION, CONFIGURATION_NAME, _configuration())
        store_port = free_ports(1)[0]
        await self._nursery.start(serve_on_loopback, store, store_port)
        processes, entry = [], 0
        for instance, service in SERVICES.items():
            ports = free_ports(6)
            addresses = [f"127.0.0.1:{port}" for port in ports]
            settings = RelaySettings(
                instance=instance,
                failure_domain="d",
                region="r",
                service=service,
                target=addresses[0],
                requests=addresses[1],
                ready=addresses[2],
                announcements=addresses[3],
                peer=addresses[4],
                metrics=addresses[5],
                store=f"127.0.0.1:{store_port}",
            )
            entry = entry or ports[1]
            path = self._directory / f"{name}-{instance}.yaml"
            path.write_text(yaml.safe_dump(to_plain(settings)))
            await self._serve_target(ports[0])
            self._nursery.start_soon(announce, settings, self._pool)
            environment = {SETTINGS_VARIABLE: str(path)}
            arguments = ["-m", MODULE]
            processes.append(
                self._stack.enter_context(_process(arguments, root, **environment))
            )
        return Pair(name=name, entry_port=entry, processes=processes)

    async def start_floor(self) -> Pair:
        """Start two processes that only read, parse and write."""
        target, entry, ingress, gate = free_ports(4)
        await self._serve_target(target)
        script = str(ROOT / "tools" / "floor_relay.py")
        sides = {"ingress": (ingress, gate, entry), "gate": (gate, ingress, target)}
        processes = []
        for side, (listen, peer, http) in sides.items():
            arguments = [script, side, f"--listen={listen}", f"--peer={peer}"]
            arguments.append(f"--http={http}")
            processes.append(self._stack.enter_context(_process(arguments, ROOT)))
        return Pair(name="floor", entry_port=entry, processes=processes)

    async def measure(
        self, pairs: list[Pair], blocks: int, calls: int, rate_per_s: float
    ) -> None:
        """Call the pairs in turns and note their processor times."""
        callers = {}
        for pair in pairs:
            callers[pair.name] = [
                Caller(pair.entry_port, self._numbers) for _ in range(SLOTS // 2)
            ]
            await self._wait_until_served(callers[pair.name][0])
            await run_calls(callers[pair.name], WARMUP_CALLS, rate_per_s)
        for number in range(blocks):
            for pair in pairs[number % len(pairs) :] + pairs[: number % len(pairs)]:
                before_s, started_s = pair.processor_s(), perf_counter()
                await trio.sleep(IDLE_BLOCK_S)
                idle_s = pair.processor_s() - before_s
                idle_rate = idle_s / (perf_counter() - started_s)
                before_s, started_s = pair.processor_s(), perf_counter()
                await run_calls(callers[pair.name], calls, rate_per_s)
                used_s = pair.processor_s() - before_s
                used_s -= idle_rate * (perf_counter() - started_s)
                pair.idle_ms.append(1000 * idle_rate)
                pair.used_ms.append(1000 * used_s / calls)

    async def _serve_target(self, port: int) -> None:
        async def serve(task_status: trio.TaskStatus[object]) -> None:
            await trio.serve_tcp(
                answer_calls, port, host="127.0.0.1", task_status=task_status
            )

        await self._nursery.start(serve)

    async def _wait_until_served(self, caller: Caller) -> None:
        with trio.fail_after(START_LIMIT_S):
            while not await caller.call():
                await trio.sleep(0.1)


def _configuration() -> RelayConfiguration:
    route = RelayRoute(
        name="items",
        host=HOST.decode(),
        path_prefix="/s/",
        kind="safe",
        service="stock",
        timeout_ms=5000.0,
        max_attempts=2,
    )
    services = [RelayService(name=name) for name in SERVICES.values()]
    return RelayConfiguration(version=1, routes=[route], services=services)


def _report(pairs: list[Pair], base: Pair) -> None:
    for pair in pairs:
        ratios = [a / b for a, b in zip(pair.used_ms, base.used_ms, strict=True)]
        print(
            f"{pair.name:6} a call: median {median(pair.used_ms):.3f} ms"
            f" ({min(pair.used_ms):.3f} to {max(pair.used_ms):.3f});"
            f" ratio to {base.name}: median {median(ratios):.3f}"
            f" ({min(ratios):.3f} to {max(ratios):.3f});"
            f" idle of both: {median(pair.idle_ms):.1f} ms/s"
        )


async def run(base: Path | None, blocks: int, calls: int, rate_per_s: float) -> None:
    """Start all pairs, measure them and print the report."""
    with TemporaryDirectory() as directory, ExitStack() as stack:
        async with trio.open_nursery() as nursery:
            bench = Bench(Path(directory), stack, nursery)
            pairs = [await bench.start_daemons("this", ROOT)]
            if base is not None:
                pairs.append(await bench.start_daemons("base", base))
            pairs.append(await bench.start_floor())
            await bench.measure(pairs, blocks, calls, rate_per_s)
            _report(pairs, pairs[-2])
            nursery.cancel_scope.cancel()


def main() -> None:
    """Run the measurement that the arguments select."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--base", type=Path, help="Root of another checkout.")
    parser.add_argument("--blocks", type=int, default=6)
    parser.add_argument("--calls", type=int, default=1000, help="Calls of a block.")
    parser.add_argument("--rate", type=float, default=150.0, help="Calls per second.")
    arguments = parser.parse_args()
    trio.run(run, arguments.base, arguments.blocks, arguments.calls, arguments.rate)


if __name__ == "__main__":
    main()
