"""Stand-ins for the cases 11 to 15: store, upstreams, clients and platform.

They use the standard library only and follow the users' protocol page with the
names of `deploy/wire.toml`. All of them run in the process of a case; the
daemons are separate processes, started as the deploy file says.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
RUN = (sys.executable, "-m", "catkinhollow.platform.sidecar")
BROKEN, HELD, NOT_RUN = 1, 0, 2
BEAT_S = 1.5
WATCH_LIMIT_S = 30.0
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
REASONS = {
    200: "OK",
    201: "Created",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


# Each case begins at another port, as several may run at the same time.
_PORTS = count(12_000 + os.getpid() * 61 % 18_000)


class CannotRunError(Exception):
    """Signal that a case could not be set up."""


class Record:
    """Write what was sent, answered and run to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._started_s = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def add(self, text: str) -> None:
        """Write one line with the time since the start of the case."""
        now_s = time.monotonic() - self._started_s
        self._file.write(f"{now_s:8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.add(text)
        print(text, flush=True)


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody uses.

    They lie below those that the kernel gives to outgoing connections, so that
    a daemon that starts again finds its own ones free.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_PORTS)
        with socket.socket() as one:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                one.bind((HOST, port))
            except OSError:
                continue
        ports.append(port)
    return ports


@dataclass
class Message:
    """Hold one HTTP message; header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers in the lines of a head."""
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


def split_messages(data: bytes) -> tuple[list[Message], bytes]:
    """Return the whole messages in some bytes, and what follows them."""
    messages = []
    while True:
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            return messages, data
        start, *lines = head.decode("latin-1").split("\r\n")
        headers = parse_headers(lines)
        length = int(headers.get("content-length", "0"))
        if len(rest) < length:
            return messages, data
        messages.append(Message(start, headers, rest[:length]))
        data = rest[length:]


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message whose body has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    headers = parse_headers(lines)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def encode_response(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    port: int,
    method: str,
    target: str,
    value: Any = None,
    limit_s: float = 1.0,
) -> Message | None:
    """Make one call on a new connection, None if it has no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            body = b"" if value is None else json.dumps(value).encode()
            headers = {"Host": f"{HOST}:{port}", "Content-Type": "application/json"}
            writer.write(encode_request(method, target, headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError, EOFError):
        return None
    finally:
        if writer is not None:
            writer.close()


@dataclass
class StoreCopy:
    """Hold all that the store held at one time."""

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any]]]


class Store:
    """Serve objects, conditional writes and watches."""

    def __init__(self) -> None:
        (self.port,) = free_ports(1)
        self._revision = 10
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._era = 0
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=256
        )

    def take_copy(self) -> StoreCopy:
        """Return a copy of all that the store holds."""
        return StoreCopy(self._revision, dict(self._objects), list(self._events))

    async def restore(self, copy: StoreCopy, away_s: float) -> None:
        """Be away for a moment and come back from a copy, in the next era."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self._era += 1
        self._revision = copy.revision
        self._objects = dict(copy.objects)
        self._events = list(copy.events)
        await self.start()

    def find(self, kind: str, name: str) -> Any:
        """Return the spec of an object, None if there is none."""
        return self._objects.get((kind, name), {}).get("spec")

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator does."""
        self._store(kind, name, {"spec": spec})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as the operator does."""
        self._delete(kind, name)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                status, value = await self._handle(request)
                body = json.dumps(value).encode()
                headers = {"Content-Type": "application/json"}
                headers["Store-Era"] = str(self._era)
                writer.write(encode_response(status, body, headers))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            writer.close()
        finally:
            self._connections.discard(writer)

    async def _handle(self, request: Message) -> tuple[int, Any]:
        path, _, query = request.target.partition("?")
        options = {name: found[0] for name, found in parse_qs(query).items()}
        parts = [unquote(part) for part in path.split("/")[2:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method == "GET" and "watch" in options:
            return await self._watch(kind, options)
        if request.method == "GET":
            return self._read(kind, name)
        body = json.loads(request.body) if request.body else {}
        part = "status" if parts[2:] == ["status"] else "spec"
        return self._change(request.method, kind, name, body, options, part)

    def _read(self, kind: str, name: str) -> tuple[int, Any]:
        if name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        items = [item for key, item in self._objects.items() if key[0] == kind]
        return 200, {"items": items, "has_more": False, "at_rev": self._revision}

    async def _watch(self, kind: str, options: dict[str, str]) -> tuple[int, Any]:
        after = int(options["watch"])
        if after > self._revision:
            return 410, {}
        wait_s = min(WATCH_LIMIT_S, int(options.get("wait_ms", "0")) / 1000.0)
        end_s = time.monotonic() + wait_s
        while not (events := self._since(kind, after)):
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"events": events, "at_rev": self._revision}

    def _since(self, kind: str, after: int) -> list[dict[str, Any]]:
        return [
            event
            for revision, event_kind, event in self._events
            if event_kind == kind and revision > after
        ]

    def _change(
        self,
        method: str,
        kind: str,
        name: str,
        body: dict[str, Any],
        options: dict[str, str],
        part: str,
    ) -> tuple[int, Any]:
        metadata = body.get("metadata", {})
        name = name or metadata["name"]
        known = self._objects.get((kind, name))
        if method == "POST":
            if known is not None:
                return 409, known
            return 201, self._store(kind, name, {"spec": body.get("spec")})
        if known is None:
            return 404, {}
        expected = metadata.get("revision") or options.get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            return 200, self._delete(kind, name)
        if known.get(part) == body.get(part):
            return 200, known
        return 200, self._store(kind, name, {part: body.get(part)})

    def _store(self, kind: str, name: str, parts: dict[str, Any]) -> dict[str, Any]:
        self._revision += 1
        known = self._objects.get((kind, name), {})
        created = known.get("metadata", {}).get("created_rev", self._revision)
        stored = {"spec": None, "status": None, **known, **parts}
        stored["metadata"] = {
            "name": name,
            "revision": self._revision,
            "created_rev": created,
            "finalizers": [],
            "deletion_requested": False,
        }
        self._objects[kind, name] = stored
        self._announce(kind, {"deleted": False, "object": stored})
        return stored

    def _delete(self, kind: str, name: str) -> dict[str, Any]:
        self._revision += 1
        stored = dict(self._objects.pop((kind, name)))
        stored["metadata"] = {**stored["metadata"], "revision": self._revision}
        self._announce(kind, {"deleted": True, "object": stored})
        return stored

    def _announce(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()


Work = Callable[[Message], Awaitable[bytes]]
"""Work on a request and return the body of its answer."""


@dataclass
class Run:
    """Hold what an upstream has done for one request."""

    attempt: str
    started_s: float
    ended_s: float = 0.0
    answered: bool = False


@dataclass
class Upstream:
    """Serve the requests of one machine's application."""

    service: str
    zone: str
    record: Record
    work: Work
    port: int = 0
    control: int = 0
    slots: int = 9
    lifetime: str = "i-1"
    version: str = "v1"
    born_ms: int = 0
    state: str = "ready"
    cold_ms: float = 0.0
    seq: int = 0
    runs: list[Run] = field(default_factory=list)
    running: int = 0

    beats: bool = True
    """Whether the upstream reports its status at intervals."""
    server: asyncio.Server | None = None
    connections: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, clock_ms: int = 0) -> None:
        """Start a lifetime, on a machine whose clock is off by some time."""
        self.born_ms = int(time.time() * 1000) + clock_ms
        self.seq = 0
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=256
        )

    def stop(self) -> None:
        """End at once, as in a crash."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def leave(self) -> int:
        """Tell that the upstream is gone; return the answer's status."""
        path = f"/instances/{self.lifetime}"
        answer = await call(self.control, "DELETE", path, {"born": self.born_ms})
        return answer.status if answer is not None else 0

    async def beat(self) -> None:
        """Report the status until cancelled."""
        while True:
            if self.server is not None and self.beats:
                await self.report()
            await asyncio.sleep(BEAT_S)

    async def report(self) -> int:
        """Report the status once; return the answer's status, 0 for none."""
        return await self.send_report(self.make_report())

    async def send_report(self, value: dict[str, Any]) -> int:
        """Send a report, perhaps late; return the answer's status."""
        answer = await call(self.control, "PUT", f"/instances/{self.lifetime}", value)
        return answer.status if answer is not None else 0

    def make_report(self) -> dict[str, Any]:
        """Return the next report of the status."""
        self.seq += 1
        return {
            "service": self.service,
            "address": f"{HOST}:{self.port}",
            "failure_domain": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_ms,
            "seq": self.seq,
            "born": self.born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections.add(writer)
        try:
            while True:
                request = await read_message(reader)
                writer.write(await self._answer(request, reader, writer))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            writer.close()
        finally:
            self.connections.discard(writer)

    async def _answer(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        own = {"X-Instance-Id": self.lifetime, "Keep-Alive": "timeout=10"}
        own["X-Server-Load"] = f"{self.running},0,{self.slots}"
        attempt = request.headers.get("x-attempt-id")
        if attempt is None:
            return encode_response(200, b"", own)
        own["X-Attempt-Id"] = attempt
        expected = request.headers.get("x-expect-instance", self.lifetime)
        if expected != self.lifetime:
            return encode_response(421, b"", own)
        if self.running >= self.slots:
            return encode_response(503, b"", {**own, "X-Not-Executed": "1"})
        return await self._run(request, attempt, own, reader, writer)

    async def _run(
        self,
        request: Message,
        attempt: str,
        own: dict[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        run = Run(attempt, time.monotonic())
        self.runs.append(run)
        self.running += 1
        self.record.add(f"{self.lifetime} of {self.service} runs {attempt}")
        try:
            work = asyncio.ensure_future(self.work(request))
            while not work.done():
                await asyncio.wait([work], timeout=0.02)
                if reader.at_eof() or writer.transport.is_closing():
                    work.cancel()
                    self.record.add(f"{self.lifetime} drops {attempt}, closed")
                    raise ConnectionResetError
            body = work.result()
        finally:
            self.running -= 1
            run.ended_s = time.monotonic()
        run.answered = True
        self.record.add(f"{self.lifetime} answers {attempt}, {len(body)} bytes")
        return encode_response(200, body, {**own, "X-Response-Seal": SEAL})


class Daemon:
    """Start and end one daemon as the platform does."""

    def __init__(
        self, name: str, zone: str, upstream: Upstream, store: Store, folder: Path
    ) -> None:
        self.name = name
        ports = free_ports(6)
        self.requests, self.ready, self.control, self.peer, metrics, target = ports
        upstream.port, upstream.control = target, self.control
        self.upstream = upstream
        self._settings = folder / f"{name}.yaml"
        self._log = folder / f"{name}.log"
        settings = {
            "instance": name,
            "failure_domain": zone,
            "region": "windhoek",
            "service": upstream.service,
            "target": f"{HOST}:{target}",
            "requests": f"{HOST}:{self.requests}",
            "ready": f"{HOST}:{self.ready}",
            "announcements": f"{HOST}:{self.control}",
            "peer": f"{HOST}:{self.peer}",
            "metrics": f"{HOST}:{metrics}",
            "store": f"{HOST}:{store.port}",
            "grace_s": 6,
            "retry_ratio": 0.2,
            "retry_slack": 60,
        }
        self._values = settings
        self.change_settings()
        self.process: asyncio.subprocess.Process | None = None
        # Where the process writes its log lines, a file unless set.
        self.stdout: int | None = None

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        if self.process is None:
            raise CannotRunError("no process")
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def change_settings(self, **changes: Any) -> None:
        """Put the settings at their place, some of them changed."""
        self._values.update(changes)
        new = self._settings.with_suffix(".new")
        new.write_text(json.dumps(self._values, indent=2))
        new.replace(self._settings)

    async def wait_end(self) -> int:
        """Wait until the process has ended; return its exit status."""
        if self.process is None:
            raise CannotRunError("no process")
        return await self.process.wait()

    async def start(self) -> None:
        """Start the process."""
        keep = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in keep if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["CATKINHOLLOW_SETTINGS"] = str(self._settings)
        environment["CATKINHOLLOW_LINK_MBPS"] = "1000.0"
        with self._log.open("a") as log:
            self.process = await asyncio.create_subprocess_exec(
                *RUN,
                cwd=ROOT,
                env=environment,
                stdout=log if self.stdout is None else self.stdout,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it still runs."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask once whether the daemon is ready, as the platform does."""
        answer = await call(self.ready, "GET", "/ready")
        return answer is not None and answer.status == 200

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the daemon is ready."""
        end_s = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > end_s:
                raise CannotRunError(f"{self.name} is not ready: {self.log_tail()}")
            await asyncio.sleep(0.1)

    def log_tail(self) -> str:
        """Return the end of what the process has written."""
        return self._log.read_text()[-2000:] if self._log.exists() else ""

    async def end(self) -> None:
        """Kill the process if it still runs."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


@dataclass
class Sent:
    """Hold what a client has sent and got."""

    attempt: str
    sent_s: float
    status: int = 0
    ended_s: float = 0.0
    body: bytes = b""
    reason: str = ""


class Client:
    """Send requests on new connections, and record the answers."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0
        self.sent: list[Sent] = []

    def headers(self, deadline_ms: int) -> dict[str, str]:
        """Return the headers of the next request, with an id of its own."""
        self._count += 1
        return {
            "Host": "jepu9.example",
            "X-Attempt-Id": f"{self._count:016x}",
            "X-Deadline-Ms": str(deadline_ms),
        }

    async def send(
        self, port: int, method: str, path: str, deadline_ms: int, body: bytes = b""
    ) -> Sent:
        """Send one request and wait for its answer up to the time budget."""
        headers = self.headers(deadline_ms)
        sent = Sent(headers["X-Attempt-Id"], time.monotonic())
        self.sent.append(sent)
        self._record.add(f"client sends {method} {path} {sent.attempt}")
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 0.5):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.write(encode_request(method, path, headers, body))
                answer = await read_message(reader)
                sent.status, sent.body = answer.status, answer.body
        except (OSError, TimeoutError, EOFError) as error:
            sent.reason = type(error).__name__
        finally:
            if writer is not None:
                writer.close()
        sent.ended_s = time.monotonic()
        self._record.add(f"client gets {sent.status} {sent.reason} {sent.attempt}")
        return sent

    async def send_steadily(
        self, port: int, method: str, path: str, deadline_ms: int, per_s: float
    ) -> None:
        """Send requests at a rate until cancelled."""
        tasks = set()
        while True:
            task = asyncio.ensure_future(
                self.send(port, method, path, deadline_ms, b"order")
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(1.0 / per_s)


def make_route(
    prefix: str, kind: str, service: str, timeout_ms: int, target_ms: int
) -> dict[str, Any]:
    """Return one route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": "jepu9.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def make_configuration(
    version: int, routes: list[dict[str, Any]], cold_per_s: float = 13.0
) -> dict[str, Any]:
    """Return a configuration with these routes."""
    services = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 120,
                "protocol": "h1",
                "tls": False,
                "cold_start_s": 3.0,
                "cold_requests_per_s": cold_per_s,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


@dataclass
class Fleet:
    """Hold a small deployment."""

    record: Record
    folder: Path
    store: Store
    daemons: list[Daemon] = field(default_factory=list)
    beats: list[asyncio.Task[None]] = field(default_factory=list)

    async def add(
        self,
        name: str,
        zone: str,
        upstream: Upstream,
        *,
        starts: bool = True,
        stdout: int | None = None,
    ) -> Daemon:
        """Start a machine: its daemon, and its upstream unless told not to."""
        daemon = Daemon(name, zone, upstream, self.store, self.folder)
        daemon.stdout = stdout
        self.daemons.append(daemon)
        await daemon.start()
        if starts:
            await upstream.start()
        self.beats.append(asyncio.ensure_future(upstream.beat()))
        return daemon

    async def wait_ready(self) -> None:
        """Wait until all daemons serve and know each other."""
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(3.0)

    async def end(self) -> None:
        """End all processes."""
        for beat in self.beats:
            beat.cancel()
        for daemon in self.daemons:
            await daemon.end()


Play = Callable[[Fleet], Awaitable[int]]
"""Play a case and return its exit code."""


def run_case(folder: Path, play: Play, limit_s: float = 110.0) -> int:
    """Play a case with a store, and end all processes; return its code."""
    record = Record(folder)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            store = Store()
            await store.start()
            fleet = Fleet(record, Path(temporary), store)
            try:
                async with asyncio.timeout(limit_s):
                    return await play(fleet)
            finally:
                await fleet.end()

    try:
        code = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return NOT_RUN
    record.say(f"exit code {code}")
    return code
