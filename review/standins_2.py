"""Stand-ins for the platform, its store, upstreams and clients.

Used by the scripts of review/6 to review/10. Needs the standard library only.
Every address is a loopback address; each machine has an address of its own,
because the metrics port of the deploy file is fixed.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
MEMORY_MB = 300
# The first frame of a link names its sender within these bytes.
SENDER_BYTES = 160
GRACE_S = 6.0
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3
MAX_BODY_BYTES = 67_108_864
TEMPLATE_WORDS = {"zone": "failure_domain"}


class CannotRunError(Exception):
    """Signal that the case could not run, which is no result."""


class Record:
    """Write what was sent, answered and run, with the time of the run."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write a line with its time."""
        self._file.write(f"{self.now_s:9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line that is also printed."""
        self.write(text)
        print(text, flush=True)


async def read_message(reader: asyncio.StreamReader):
    """Return the first line, headers and body, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = b""
    if length:
        try:
            body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return None
    return first, headers, body


def encode_response(status: int, body: bytes = b"", headers=(), reason="x") -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Store:
    """Serve objects, conditional writes and watches as PROTOCOL.md says."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self.address = ""

    async def start(self, ip: str) -> None:
        """Listen at a free port of the address."""
        server = await asyncio.start_server(self._serve, ip, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"

    def operator_put(self, kind: str, name: str, spec) -> None:
        """Write an object as the operator does; the write is the ack."""
        self._record.write(f"operator writes {kind}/{name}")
        self._put(kind, name, {"spec": spec})

    def get(self, kind: str, name: str):
        """Return an object, None if there is none."""
        return self._objects.get((kind, name))

    def _put(self, kind: str, name: str, parts: dict) -> dict:
        old = self._objects.get((kind, name))
        if old is not None and all(old.get(key) == parts[key] for key in parts):
            return old
        self._revision += 1
        created = old["metadata"]["created_rev"] if old else self._revision
        metadata = {
            "name": name,
            "revision": self._revision,
            "created_rev": created,
            "finalizers": [],
            "deletion_requested": False,
        }
        stored = {"spec": None, "status": None, **(old or {}), **parts}
        stored["metadata"] = metadata
        self._objects[kind, name] = stored
        self._add_event(kind, {"deleted": False, "object": stored})
        return stored

    def _add_event(self, kind: str, event: dict) -> None:
        self._history.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                status, value = await self._handle(*message)
                body = json.dumps(value).encode()
                kind = [("Content-Type", "application/json")]
                writer.write(encode_response(status, body, kind))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, first: str, headers: dict, body: bytes):
        method, target, _ = first.split(" ")
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        _, _, kind, *rest = url.path.split("/")
        name = unquote(rest[0]) if rest else ""
        value = json.loads(body) if body else {}
        if method == "GET":
            return await self._read(kind, name, query)
        name = name or value["metadata"]["name"]
        old = self._objects.get((kind, name))
        if method == "POST":
            if old is not None:
                return 409, old
            return 200, self._put(kind, name, {"spec": value.get("spec")})
        if old is None:
            return 404, {}
        expected = value.get("metadata", {}).get("revision") or query.get("revision")
        if expected and int(expected) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            self._revision += 1
            del self._objects[kind, name]
            gone = {**old, "metadata": {**old["metadata"], "revision": self._revision}}
            self._add_event(kind, {"deleted": True, "object": gone})
            return 200, gone
        if rest[1:] == ["status"]:
            return 200, self._put(kind, name, {"status": value.get("status")})
        return 200, self._put(kind, name, {"spec": value.get("spec")})

    async def _read(self, kind: str, name: str, query: dict):
        if name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {})
        if "watch" not in query:
            items = [
                value for (k, _), value in sorted(self._objects.items()) if k == kind
            ]
            return 200, {"items": items, "has_more": False, "at_rev": self._revision}
        after = int(query["watch"])
        end_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
        while True:
            events = [e for rev, k, e in self._history if k == kind and rev > after]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


class Upstream:
    """Run requests as a sound upstream does, and report its status."""

    def __init__(
        self, machine: "Machine", record: Record, work_s: float = 0.03
    ) -> None:
        self._machine = machine
        self._record = record
        self.work_s = work_s
        self.slots = 9
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born_ms = int(time.time() * 1000)
        self._seq = 0
        self._running = 0
        self.runs: Counter = Counter()
        self.status = 200

    async def start(self) -> None:
        """Listen and begin to report the status."""
        ip, _, port = self._machine.app_addr.rpartition(":")
        await asyncio.start_server(self._serve, ip, int(port), limit=1 << 20)
        asyncio.get_running_loop().create_task(self._report())

    async def _report(self) -> None:
        while True:
            self._seq += 1
            body = json.dumps(
                {
                    "service": self._machine.service,
                    "address": self._machine.app_addr,
                    "failure_domain": self._machine.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "seq": self._seq,
                    "born": self.born_ms,
                }
            ).encode()
            head = f"PUT /instances/{self.id} HTTP/1.1\r\n"
            head += f"Host: {self._machine.control}\r\n"
            head += (
                f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            try:
                await asyncio.wait_for(self._send(head.encode() + body), 1.0)
                delay_s = HEARTBEAT_S
            except (TimeoutError, OSError):
                delay_s = 0.5
            await asyncio.sleep(delay_s)

    async def _send(self, data: bytes) -> None:
        ip, _, port = self._machine.control.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(data)
            if await read_message(reader) is None:
                raise OSError("no answer")
        finally:
            writer.close()

    async def _serve(self, reader, writer) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self._run(*message))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, first: str, headers: dict, body: bytes) -> bytes:
        load = ("X-Server-Load", f"{self._running},0,{self.slots}")
        if first.startswith("GET /health"):
            return encode_response(200, b"", [("X-Instance-Id", self.id), load])
        request_id = headers.get("x-attempt-id", "")
        echo = ("X-Attempt-Id", request_id)
        if headers.get("x-expect-instance", self.id) != self.id:
            return encode_response(421, b"", [echo, ("X-Instance-Id", self.id)])
        if self._running >= 4 * self.slots:
            return encode_response(503, b"", [echo, ("X-Not-Executed", "1")])
        self._running += 1
        self.runs[request_id] += 1
        self._record.write(f"{self._machine.name}: upstream runs {request_id}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self._running -= 1
        seal = ("X-Response-Seal", f"seal.{request_id}")
        return encode_response(self.status, b"done\n", [echo, seal, load])


class Machine:
    """Run one daemon as the deploy file says, on an address of its own."""

    def __init__(
        self, world: "World", name: str, ip: str, zone: str, service: str
    ) -> None:
        self.world, self.name, self.ip = world, name, ip
        self.zone, self.service = zone, service
        ports = world.ports
        self.app_addr = f"{ip}:{ports[0]}"
        self.outbound = f"{ip}:{ports[1]}"
        self.ready_addr = f"{ip}:{ports[2]}"
        self.control = f"{ip}:{ports[3]}"
        self.internal = ports[4]
        self.process: asyncio.subprocess.Process | None = None
        self.started_s = 0.0
        self.ready = False
        self.peak_mb = 0.0
        self.own_ends: list[str] = []
        self.stopping = False
        self.exits: list[int] = []
        self._bounds: dict = {}
        self.own_settings: dict = {}
        """Settings that are added to those of the template."""

    @property
    def peer(self) -> str:
        """Return the address at which other daemons reach this one."""
        return f"{self.ip}:{self.internal}"

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.world.folder / f"{self.name}.yaml"

    def fields(self) -> dict:
        """Return the fields that fill in the template."""
        return {
            "node": self.name,
            "role": "sidecar-daemon",
            "ip": self.ip,
            "failure_domain": self.zone,
            "region": "windhoek",
            "listen": {
                "inbound": f"{self.ip}:{self.world.ports[5]}",
                "outbound": self.outbound,
                "ready": self.ready_addr,
                "control": self.control,
            },
            "internal_port_range": [self.internal, self.internal + 8],
            "limits": {"link_mbps": 1000.0, "memory_mb": MEMORY_MB},
            "bounds": {
                "grace_s": int(GRACE_S),
                "retry_budget_ratio": 0.2,
                "retry_budget_slack": 60,
                **self._bounds,
            },
            "app_addr": self.app_addr,
            "service": self.service,
            "platform": {"address": self.world.store.address},
        }

    def write_settings(self, **bounds) -> None:
        """Write the settings file, with changed bounds if any are given."""
        self._bounds.update(bounds)
        template = (ROOT / self.world.role["template"]).read_text()
        text = render(template, self.fields())
        if self.own_settings:
            text = json.dumps({**json.loads(text), **self.own_settings})
        self.settings_path.write_text(text)

    async def start(self, stdout=None) -> None:
        """Start the daemon with the command of the deploy file."""
        self.write_settings()
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CATKINHOLLOW_SETTINGS"] = str(self.settings_path)
        for name, text in self.world.role.get("env", {}).items():
            env[name] = render(text, self.fields())
        words = [render(word, self.fields()) for word in self.world.role["run"].split()]
        log = stdout
        if log is None:
            log = (self.world.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=env,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=(self.world.folder / f"{self.name}.err").open("ab"),
        )
        if stdout is None:
            log.close()
        self.started_s = time.monotonic()
        self.world.record.write(f"{self.name}: daemon started, pid {self.process.pid}")

    def send(self, number: int) -> None:
        """Send a signal to the daemon."""
        self.world.record.write(f"{self.name}: {signal.Signals(number).name} sent")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    @property
    def running(self) -> bool:
        """Return whether the daemon runs."""
        return self.process is not None and self.process.returncode is None

    def rss_mb(self) -> float:
        """Return the resident memory of the daemon, 0 if it has ended."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError, ValueError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    async def keep_running(self, stdout=None) -> None:
        """Restart the daemon after a short delay whenever it ends."""
        while not self.world.ending:
            code = await self.process.wait()
            if self.world.ending:
                return
            self.exits.append(code)
            if not self.stopping:
                self.own_ends.append(f"exit {code}")
            self.world.record.say(
                f"{self.name}: the daemon has ended by itself, exit code {code}"
            )
            self.ready = False
            await asyncio.sleep(RESTART_DELAY_S)
            await self.start(stdout)

    async def watch_memory(self) -> None:
        """Kill the daemon when it exceeds its memory, as the platform does."""
        while not self.world.ending:
            rss_mb = self.rss_mb()
            self.peak_mb = max(self.peak_mb, rss_mb)
            if rss_mb > MEMORY_MB:
                self.world.record.say(
                    f"{self.name}: {rss_mb:.0f} MB, over {MEMORY_MB} MB: killed"
                )
                self.send(signal.SIGKILL)
                await self.process.wait()
            await asyncio.sleep(0.02)

    async def watch_ready(self) -> None:
        """Ask once a second; two misses take the machine out."""
        misses = 2
        while not self.world.ending:
            status = await self.ask_ready()
            misses = 0 if status == 200 else misses + 1
            self.ready = misses < 2
            await asyncio.sleep(1.0)

    async def ask_ready(self) -> int:
        """Return the status of the readiness check, 0 without one."""
        ip, _, port = self.ready_addr.rpartition(":")
        try:
            return await asyncio.wait_for(_ask(ip, int(port), "/ready"), 1.0)
        except (TimeoutError, OSError, ValueError):
            return 0


async def _ask(ip: str, port: int, path: str) -> int:
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
        )
        message = await read_message(reader)
        return int(message[0].split()[1]) if message else 0
    finally:
        writer.close()


def render(template: str, fields: dict) -> str:
    """Fill a template: values, and sections for values that are present."""

    def find(name: str):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    def section(match: re.Match) -> str:
        return match[2] if find(match[1]) else ""

    def value(match: re.Match) -> str:
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL
    )
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class World:
    """Hold one small deployment and end all that it has started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.role = next(
            iter(
                tomllib.loads((ROOT / "deploy/system.toml").read_text())[
                    "roles"
                ].values()
            )
        )
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError(
                "target/deps is missing: run the build of the deploy file"
            )
        self.ending = False
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.ports = free_ports(f"{self._net}.1", 6)
        self.store = Store(self.record)
        self.machines: list[Machine] = []
        self.upstreams: dict[str, Upstream] = {}
        self._tasks: list[asyncio.Task] = []

    def spawn(self, work) -> asyncio.Task:
        """Run a coroutine until the end of the case."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.append(task)
        return task

    async def start(
        self, plan: list[tuple[str, str, str]], *, start_daemons=True
    ) -> None:
        """Start the store, and for each name, zone and service a machine."""
        await self.store.start(f"{self._net}.250")
        for index, (name, zone, service) in enumerate(plan):
            machine = Machine(self, name, f"{self._net}.{index + 1}", zone, service)
            self.machines.append(machine)
            upstream = self.upstreams[name] = Upstream(machine, self.record)
            await upstream.start()
        if start_daemons:
            for machine in self.machines:
                await self.start_machine(machine)

    async def start_machine(self, machine: Machine, stdout=None) -> None:
        """Start a daemon and keep it running."""
        await machine.start(stdout)
        self.spawn(machine.keep_running(stdout))
        self.spawn(machine.watch_ready())

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until all daemons are ready."""
        end_s = time.monotonic() + limit_s
        while not all(machine.ready for machine in self.machines):
            if time.monotonic() > end_s:
                raise CannotRunError("the daemons are not ready in time")
            await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    async def end(self) -> None:
        """End all processes and remove the temporary folder."""
        self.ending = True
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
                await process.wait()
        for task in self._tasks:
            task.cancel()
        logs = os.environ.get("CASE_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class PeerProxy:
    """Carry the links of other daemons to one machine, and disturb them.

    Only what the callers of the links send is held; nothing is changed.
    """

    def __init__(self, machine: Machine, record: Record) -> None:
        self._machine = machine
        self._record = record
        self._target = f"{machine.ip}:{machine.internal + 1}"
        machine.own_settings["peer_listen"] = self._target
        self._connections: dict[int, _Carried] = {}
        self._count = 0
        self._up = asyncio.Event()
        self._up.set()

    async def start(self) -> None:
        """Listen at the address that other daemons know."""
        ip, _, port = self._machine.peer.rpartition(":")
        await asyncio.start_server(self._carry, ip, int(port))

    def open(self) -> list[int]:
        """Return the numbers of all open connections."""
        return [number for number, one in self._connections.items() if not one.ended]

    def cut(self, numbers: list[int]) -> None:
        """Hold connections, and let no new one through until `heal`."""
        self._up.clear()
        self.hold(numbers)

    def heal(self) -> None:
        """Let new connections through; the held ones wait for `release`."""
        self._record.say(f"path to {self._machine.name}: new connections work")
        self._up.set()

    def open_from(self, machine: Machine) -> list[int]:
        """Return the numbers of the open connections from a machine."""
        return [
            number
            for number, one in self._connections.items()
            if machine.peer.encode() in one.first_bytes[:SENDER_BYTES] and not one.ended
        ]

    def hold(self, numbers: list[int]) -> None:
        """Hold what arrives on these connections."""
        self._record.say(
            f"path to {self._machine.name}: connections {numbers} are held up"
        )
        for number in numbers:
            self._connections[number].flowing.clear()

    def release(self, numbers: list[int]) -> None:
        """Deliver what these connections hold."""
        self._record.say(
            f"path to {self._machine.name}: connections {numbers} flow again"
        )
        for number in numbers:
            self._connections[number].flowing.set()

    def reset(self, numbers: list[int]) -> None:
        """Reset these connections."""
        self._record.say(
            f"path to {self._machine.name}: connections {numbers} are reset"
        )
        for number in numbers:
            for writer in self._connections[number].writers:
                writer.transport.abort()

    async def _carry(self, reader, writer) -> None:
        self._count += 1
        number = self._count
        ip, _, port = self._target.rpartition(":")
        carried = self._connections[number] = _Carried(writer)
        await self._up.wait()
        try:
            upper_reader, upper_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            carried.ended = True
            return
        carried.writers.append(upper_writer)
        held = asyncio.Queue()
        tasks = [
            asyncio.ensure_future(_read_all(reader, held, carried)),
            asyncio.ensure_future(_write_all(held, upper_writer, carried.flowing)),
            asyncio.ensure_future(_copy(upper_reader, writer, carried.flowing)),
        ]
        try:
            await asyncio.gather(*tasks)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            carried.ended = True
            for each in carried.writers:
                each.close()


class _Carried:
    """Hold one connection through a proxy."""

    def __init__(self, writer) -> None:
        # The frames of a daemon begin with its address.
        self.first_bytes = b""
        self.writers = [writer]
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.ended = False


async def _read_all(reader, held: asyncio.Queue, carried: "_Carried") -> None:
    while data := await reader.read(65536):
        if len(carried.first_bytes) < 4096:
            carried.first_bytes += data
        held.put_nowait(data)
    held.put_nowait(b"")


async def _write_all(held: asyncio.Queue, writer, flowing: asyncio.Event) -> None:
    while data := await held.get():
        await flowing.wait()
        writer.write(data)
        await writer.drain()
    await flowing.wait()
    writer.close()


async def _copy(reader, writer, flowing: asyncio.Event) -> None:
    while data := await reader.read(65536):
        await flowing.wait()
        writer.write(data)
        await writer.drain()
    writer.close()


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free at this address; some follow each other."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((ip, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def configuration(
    version: int, routes: list[dict], services: list[str], **limits
) -> dict:
    """Return a configuration with the project's own names on the wire."""
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
                "cold_requests_per_s": 13.0,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
    }


def route(
    name: str, prefix: str, kind: str, service: str, timeout_ms: int, **more
) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": prefix,
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 2,
        "priority": 1,
        "max_attempts": 2,
        **more,
    }


class Client:
    """Send requests on one kept connection, each after the last answer."""

    def __init__(self, machine: Machine, record: Record) -> None:
        self._machine = machine
        self._record = record
        self._stream = None

    @property
    def connected(self) -> bool:
        """Return whether the next request goes over a kept connection."""
        return self._stream is not None

    async def request(
        self,
        method: str,
        path: str,
        *,
        deadline_ms: int,
        body: bytes = b"",
        limit_s=None,
    ) -> tuple[str, str]:
        """Return the id and the outcome: a status, or how it ended."""
        request_id = f"{random.getrandbits(64):016x}"
        head = f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
        head += f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        kept = self._stream is not None
        self._record.write(
            f"client at {self._machine.name} sends {method} {path} {request_id}"
            f" ({len(body)} bytes, {'kept' if kept else 'new'} connection)"
        )
        limit_s = limit_s or deadline_ms / 1000.0
        try:
            outcome = await asyncio.wait_for(self._exchange(head, body), limit_s)
        except TimeoutError:
            outcome = "no answer in time"
        except (OSError, ConnectionError):
            outcome = "connection failed"
        if not outcome.isdigit():
            self.close()
        self._record.write(f"client gets for {request_id}: {outcome}")
        return request_id, outcome

    async def _exchange(self, head: str, body: bytes) -> str:
        if self._stream is None:
            ip, _, port = self._machine.outbound.rpartition(":")
            self._stream = await asyncio.open_connection(ip, int(port))
        reader, writer = self._stream
        writer.write(head.encode() + b"\r\n")
        for start in range(0, len(body), 262144):
            writer.write(body[start : start + 262144])
            await writer.drain()
        message = await read_message(reader)
        if message is None:
            return "closed without an answer"
        if "close" in message[1].get("connection", ""):
            self.close()
        return message[0].split()[1]

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


def run_case(case, folder: str, limit_s: float = 110.0) -> None:
    """Run a case: exit with 1 if the rule broke, 0 if it held, 2 otherwise."""
    path = Path(folder).resolve()
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> int:
        world = World(path)
        try:
            return await asyncio.wait_for(case(world, trouble), limit_s)
        except (TimeoutError, CannotRunError, OSError) as error:
            world.record.say(f"the case could not run: {type(error).__name__}: {error}")
            return 2
        finally:
            await world.end()

    try:
        code = asyncio.run(main())
    except CannotRunError as error:
        print(f"the case could not run: {error}")
        code = 2
    sys.exit(code)
