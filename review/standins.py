"""Stand-ins for the platform, the upstreams and the clients of a case.

A case runs in one asyncio process. Only the daemons are separate processes;
they are started with the command of the deploy file.
"""

import asyncio
import hashlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
READY_LIMIT_S = 30.0
LIMIT_S = 112.0
# The services of the machines of the site nrc-shared, by zone.
NRC_SHARED = {
    "z-a": ["catalogue", "catalogue", "orders", "stock"],
    "z-b": ["catalogue", "catalogue", "orders", "stock"],
    "z-c": ["catalogue", "orders", "stock"],
}
BROKE, HELD, COULD_NOT_RUN = 1, 0, 2

Headers = dict[str, str]


class CannotRunError(Exception):
    """Report that the case could not run."""


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Return the first line, the headers and the body, None at the end.

    Raises IncompleteReadError if the message is cut off.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def encode_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """Write what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        line = {"t": round(time.monotonic() - self._started_s, 4), "event": event}
        self._file.write(json.dumps(line | fields) + "\n")
        self._file.flush()


class Server:
    """Serve HTTP/1.1 on an address; one request at a time on a connection."""

    def __init__(
        self,
        handle: Callable[[str, str, Headers, bytes], Awaitable[bytes | None]],
    ) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=2**20, backlog=512
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                response = await self._handle(method, target, message[1], message[2])
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Store:
    """Serve the platform's metadata store."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._revision = 10
        self._objects: dict[str, dict[str, Any]] = defaultdict(dict)
        self._history: list[tuple[str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        """Listen."""
        await Server(self._handle).start(host, port)

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator does; return its revision."""
        revision = self._put(kind, name, {"spec": spec})["metadata"]["revision"]
        self._record.write("operator writes", kind=kind, name=name, revision=revision)
        return int(revision)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as the operator does."""
        self._delete(kind, name)
        self._record.write("operator removes", kind=kind, name=name)

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object."""
        found: dict[str, Any] | None = self._objects[kind].get(name)
        return found

    async def _handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes | None:
        url = urlsplit(target)
        parts = url.path.strip("/").split("/")
        query = {key: value[0] for key, value in parse_qs(url.query).items()}
        kind, name = parts[1], unquote(parts[2]) if len(parts) > 2 else ""
        status, answer = 200, {}
        if method == "GET" and name:
            found = self.get(kind, name)
            status, answer = (200, found) if found else (404, {})
        elif method == "GET" and "watch" in query:
            answer = await self._watch(kind, query)
        elif method == "GET":
            items = list(self._objects[kind].values())
            answer = {"items": items, "has_more": False, "at_rev": self._revision}
        else:
            value = json.loads(body) if body else {}
            status, answer = self._change(method, kind, name, parts, query, value)
        content = json.dumps(answer).encode()
        return encode_response(status, {"Content-Type": "application/json"}, content)

    async def _watch(self, kind: str, query: dict[str, str]) -> dict[str, Any]:
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for item_kind, deleted, item in self._history
                if item_kind == kind
                and item["metadata"]["revision"] > int(query["watch"])
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "at_rev": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _change(
        self,
        method: str,
        kind: str,
        name: str,
        parts: list[str],
        query: dict[str, str],
        value: dict[str, Any],
    ) -> tuple[int, dict[str, Any]]:
        metadata = value.get("metadata", {})
        name = name or metadata["name"]
        existing = self.get(kind, name)
        if method == "POST":
            if existing:
                return 409, existing
            return 200, self._put(kind, name, {"spec": value.get("spec")})
        if existing is None:
            return 404, {}
        expected = metadata.get("revision") or query.get("revision")
        if expected and int(expected) != existing["metadata"]["revision"]:
            return 409, existing
        if method == "DELETE":
            return 200, self._delete(kind, name)
        part = "status" if parts[-1] == "status" and len(parts) > 3 else "spec"
        if existing.get(part) == value.get(part):
            return 200, existing
        return 200, self._put(kind, name, {part: value.get(part)})

    def _put(self, kind: str, name: str, parts: dict[str, Any]) -> dict[str, Any]:
        existing = self.get(kind, name)
        self._revision += 1
        created = self._revision
        if existing:
            created = existing["metadata"]["created_rev"]
        metadata = {
            "name": name,
            "revision": self._revision,
            "created_rev": created,
            "finalizers": [],
            "deletion_requested": False,
        }
        item = {"spec": None, "status": None} | (existing or {}) | parts
        item["metadata"] = metadata
        self._objects[kind][name] = item
        self._note(kind, False, item)
        return item

    def _delete(self, kind: str, name: str) -> dict[str, Any]:
        item: dict[str, Any] = dict(self._objects[kind].pop(name))
        self._revision += 1
        item["metadata"] = item["metadata"] | {"revision": self._revision}
        self._note(kind, True, item)
        return item

    def _note(self, kind: str, deleted: bool, item: dict[str, Any]) -> None:
        self._history.append((kind, deleted, item))
        self._changed.set()
        self._changed = asyncio.Event()


class Machine:
    """Represent a machine: its daemon and its addresses."""

    def __init__(self, system: "System", name: str, service: str, ip: str) -> None:
        self.name, self.service, self.ip = name, service, ip
        self.system = self._system = system
        self.process: subprocess.Popen[bytes] | None = None
        self.ready_since_s = 0.0

    def address(self, name: str) -> tuple[str, int]:
        """Return one of the machine's addresses."""
        return self.ip, self._system.ports[name]

    def start(self) -> None:
        """Start the daemon with the command of the deploy file."""
        system = self._system
        path = system.folder / f"{self.name}.yaml"
        path.write_text(render(system.template, system.fields(self)))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CATKINHOLLOW_SETTINGS": str(path),
        }
        log_path = system.folder / f"{self.name}.log"
        with log_path.open("ab") as log:
            self.process = subprocess.Popen(
                system.command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        system.record.write("daemon started", machine=self.name)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._system.record.write("signal", machine=self.name, signal=number.name)

    async def wait_for_end(self, limit_s: float) -> bool:
        """Wait for the end of the daemon's process."""
        end_s = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > end_s:
                return False
            await asyncio.sleep(0.02)
        return True

    async def is_ready(self) -> bool:
        """Ask the daemon whether it is ready, as the platform does."""
        answer = await call(self.address("ready"), "GET", "/ready", {}, b"", 1.0)
        return answer.status == 200


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the template of the settings."""

    def replace(match: re.Match[str]) -> str:
        value: Any = fields
        for key in match[1].split("."):
            value = value[int(key)] if isinstance(value, list) else value[key]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


class System:
    """Run the daemons of a small deployment."""

    def __init__(self, folder: Path, record: Record, **bounds: float) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["sidecar-daemon"]
        words = role["run"].split()
        self.command = [sys.executable if words[0] == "python3" else words[0]]
        self.command += words[1:]
        self.template = (ROOT / role["template"]).read_text()
        self.folder, self.record = folder, record
        self._bounds = {
            "grace_s": 6,
            "retry_budget_ratio": 0.2,
            "retry_budget_slack": 60,
        } | bounds
        self._net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        names = ("app", "outbound", "ready", "control", "inbound", "internal", "store")
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.machines: list[Machine] = []
        self.store = Store(record)
        self.store_address = (f"{self._net}.250", self.ports["store"])
        self.zones: dict[str, str] = {}

    def fields(self, machine: Machine) -> dict[str, Any]:
        """Return the platform's fields of the settings of a machine."""
        ip, ports = machine.ip, self.ports
        return {
            "node": machine.name,
            "failure_domain": self.zones[machine.name],
            "region": "r",
            "service": machine.service,
            "ip": ip,
            "app_addr": f"{ip}:{ports['app']}",
            "listen": {
                name: f"{ip}:{ports[name]}"
                for name in ("inbound", "outbound", "ready", "control")
            },
            "internal_port_range": [ports["internal"], ports["internal"] + 15],
            "platform": {"address": "{}:{}".format(*self.store_address)},
            "bounds": self._bounds,
        }

    def add(self, name: str, service: str, zone: str = "z-a") -> Machine:
        """Add a machine whose daemon has not started yet."""
        machine = Machine(self, name, service, f"{self._net}.{len(self.machines) + 1}")
        self.machines.append(machine)
        self.zones[name] = zone
        return machine

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store and all daemons."""
        await self.store.start(*self.store_address)
        self.store.write("config", "main", configuration)
        for machine in self.machines:
            machine.start()
        await self.wait_until_ready(self.machines)

    async def wait_until_ready(self, machines: list[Machine]) -> None:
        """Wait until the daemons say that they are ready."""
        end_s = time.monotonic() + READY_LIMIT_S
        for machine in machines:
            while not await machine.is_ready():
                if time.monotonic() > end_s:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)
            self.record.write("ready", machine=machine.name)

    def stop(self) -> None:
        """End all daemons."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()


def free_ports(count: int) -> list[int]:
    """Return ports that are free on every loopback address."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        if all(abs(port - other) > 20 for other in found) and port != 9464:
            found.append(port)
    return found


class Upstream:
    """Serve the requests of one service, and announce each lifetime."""

    def __init__(
        self,
        system: System,
        machine: Machine,
        *,
        work_s: Callable[[str], float],
        body: Callable[[str], bytes] | None = None,
        slots: int = 9,
    ) -> None:
        self._record = system.record
        self.machine = machine
        self._work_s = work_s
        self._body = body or (lambda attempt: attempt.encode())
        self._slots = slots
        self.lifetime = f"i-{random.randrange(16**8):08x}"
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self.runs: Counter[str] = Counter()
        self.received: dict[str, tuple[str, str, bytes]] = {}
        self.run_times: dict[str, float] = {}

    async def start(self) -> None:
        """Listen; the upstream is not announced yet."""
        await Server(self._handle).start(*self.machine.address("app"))

    async def _handle(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> bytes | None:
        attempt = headers.get("x-attempt-id")
        mine = {"X-Instance-Id": self.lifetime}
        if attempt is None:
            return encode_response(200, mine | {"X-Server-Load": "0,0,9"}, b"")
        if headers.get("x-expect-instance", self.lifetime) != self.lifetime:
            return encode_response(421, mine | {"X-Attempt-Id": attempt}, b"")
        self.runs[attempt] += 1
        self.run_times[attempt] = time.monotonic()
        self.received[attempt] = (method, target, body)
        self._record.write(
            "runs",
            attempt=attempt,
            upstream=self.lifetime,
            method=method,
            target=target,
            body=digest(body),
        )
        await asyncio.sleep(self._work_s(attempt))
        content = self._body(attempt)
        answer = {"X-Attempt-Id": attempt, "X-Response-Seal": digest(content)}
        self._record.write("run ends", attempt=attempt)
        return encode_response(200, answer, content)

    def report(self, state: str) -> bytes:
        """Return the next status report."""
        self._sequence += 1
        return json.dumps(
            {
                "service": self.machine.service,
                "address": "{}:{}".format(*self.machine.address("app")),
                "failure_domain": "z-a",
                "version": "v1",
                "slots": self._slots,
                "state": state,
                "cold_remaining_ms": 0,
                "seq": self._sequence,
                "born": self.born,
            }
        ).encode()

    async def send_report(self, report: bytes) -> bool:
        """Send a status report; return whether it was acknowledged."""
        return await self._tell("PUT", report)

    async def send_departure(self) -> bool:
        """Say that the upstream leaves."""
        return await self._tell("DELETE", json.dumps({"born": self.born}).encode())

    async def _tell(self, method: str, body: bytes) -> bool:
        path = f"/instances/{self.lifetime}"
        answer = await call(self.machine.address("control"), method, path, {}, body, 1)
        self._record.write(
            "upstream tells",
            upstream=self.lifetime,
            method=method,
            report=json.loads(body),
            status=answer.status,
        )
        return 200 <= answer.status < 300

    async def announce(self, interval_s: float = 1.5) -> None:
        """Send status reports until cancelled."""
        while True:
            await self.send_report(self.report("ready"))
            await asyncio.sleep(interval_s)


async def start_site(
    system: System,
    *routes: dict[str, Any],
    work_s: float,
    body: Callable[[str], bytes] | None = None,
) -> tuple[list[Upstream], list[asyncio.Task[None]]]:
    """Start the machines of the site nrc-shared with these routes.

    Returns the upstreams and the tasks that announce them.
    """
    upstreams = []
    for zone, services in NRC_SHARED.items():
        for number, service in enumerate(services):
            machine = system.add(f"sidecar-{zone}-{number}", service, zone)
            upstream = Upstream(
                system,
                machine,
                work_s=lambda _: random.uniform(0.5, 1.5) * work_s,
                body=body,
            )
            await upstream.start()
            upstreams.append(upstream)
    services = sorted({each.machine.service for each in upstreams})
    await system.start(configuration(*routes, services=services))
    return upstreams, [asyncio.create_task(each.announce()) for each in upstreams]


async def pause(machine: Machine, pause_s: float, *, trouble: bool) -> None:
    """Let a machine stand still, or only wait as long."""
    if trouble:
        machine.send(signal.SIGSTOP)
    await asyncio.sleep(pause_s)
    if trouble:
        machine.send(signal.SIGCONT)


class Answer:
    """Represent what a client has got, status 0 if no answer."""

    def __init__(
        self, status: int, headers: Headers, body: bytes, why: str = ""
    ) -> None:
        self.status, self.headers, self.body, self.why = status, headers, body, why


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
) -> Answer:
    """Send one request on an open connection and return the answer."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in ("GET", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()
    message = await read_message(reader)
    if message is None:
        return Answer(0, {}, b"", "closed")
    return Answer(int(message[0].split(" ")[1]), message[1], message[2])


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Headers,
    body: bytes,
    limit_s: float,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(*address, limit=2**20)
            host = {"Host": "{}:{}".format(*address)}
            return await exchange(reader, writer, method, path, host | headers, body)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return Answer(0, {}, b"", repr(error))
    finally:
        if writer is not None:
            writer.close()


def configuration(
    *routes: dict[str, Any], services: list[str], version: int = 7
) -> dict[str, Any]:
    """Return a configuration with these routes."""
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "priority": 1,
                "max_attempts": 2,
                "target_latency_ms": 500,
            }
            | route
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 120,
                "cold_start_s": 3.0,
                "cold_requests_per_s": 13.0,
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


class Client:
    """Send requests one after another on a kept connection."""

    def __init__(self, system: System, address: tuple[str, int], host: str) -> None:
        self._record, self._address, self._host = system.record, address, host
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, attempt: str, budget_ms: int, body: bytes = b""
    ) -> Answer:
        """Send one client attempt and return its answer."""
        headers = {
            "Host": self._host,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(budget_ms),
        }
        self._record.write(
            "sent", attempt=attempt, method=method, target=path, body=digest(body)
        )
        try:
            async with asyncio.timeout(budget_ms / 1000.0):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(
                        *self._address, limit=2**20
                    )
                answer = await exchange(*self._streams, method, path, headers, body)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            answer = Answer(0, {}, b"", repr(error))
        if answer.status == 0 or answer.headers.get("connection") == "close":
            self.close()
        self._record.write(
            "answered",
            attempt=attempt,
            status=answer.status,
            id=answer.headers.get("x-attempt-id"),
            seal=answer.headers.get("x-response-seal"),
            body=digest(answer.body),
            why=answer.why,
        )
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None


def digest(data: bytes) -> str:
    """Return a short hash of a body with its length."""
    return f"{len(data)}:{hashlib.sha256(data).hexdigest()[:16]}"


def new_attempt() -> str:
    """Return the id of a client attempt."""
    return f"{random.randrange(16**16):016x}"


def _end_early(system: System) -> None:
    system.stop()
    os._exit(COULD_NOT_RUN)


def main(case: Callable[[System, bool], Awaitable[list[str]]], folder: str) -> None:
    """Run a case and exit with its result.

    The case returns one line for each time that the rule was broken.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = COULD_NOT_RUN
    with tempfile.TemporaryDirectory() as temporary:
        system = System(Path(temporary), record)
        signal.signal(signal.SIGTERM, lambda *_: _end_early(system))
        try:
            broken = asyncio.run(asyncio.wait_for(case(system, trouble), LIMIT_S))
            for line in broken:
                record.write("BROKEN", what=line)
            print(*(f"broken: {line}" for line in broken[:20]), sep="\n")
            result = BROKE if broken else HELD
        finally:
            system.stop()
            if result == COULD_NOT_RUN:
                traceback.print_exc()
            _keep_logs(system, Path(folder))
            record.write("result", exit=result, trouble=trouble)
            print(f"exit {result}, trouble {int(trouble)}")
            sys.stdout.flush()
            os._exit(result)


def _keep_logs(system: System, folder: Path) -> None:
    if os.environ.get("KEEP_LOGS"):
        for machine in system.machines:
            log = (system.folder / f"{machine.name}.log").read_text()
            (folder / f"{machine.name}.log").write_text(log)
