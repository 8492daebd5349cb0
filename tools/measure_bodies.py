"""Measure the memory that a large body takes in the daemons that it passes.

A request goes through two relay daemons: that of the caller and that of the
target. Each measurement starts both as new processes.
"""

import sys
from argparse import ArgumentParser
from collections.abc import Mapping
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
import yaml
from attrs import define
from httpcore import AsyncConnectionPool, ConnectError

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from catkinhollow.calls.exchange import Response  # noqa: E402
from catkinhollow.calls.http_server import (  # noqa: E402
    Receive,
    Scope,
    Send,
    read_request,
    send_response,
)
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
from catkinhollow.relay.documents.kinds import CONFIGURATION, CONFIGURATION_NAME  # noqa: E402
from catkinhollow.testbed.loopback_server import serve_on_loopback  # noqa: E402
from catkinhollow.testbed.processes import ProcessGroup, free_ports  # noqa: E402

MODULE = "catkinhollow.platform.sidecar"
SERVICES = {"caller": "shop", "target": "stock"}
TIMEOUT_S = 20.0
START_LIMIT_S = 30.0
# Time in which the daemons finish what a request has left behind.
SETTLE_S = 0.5
MIB = 1024 * 1024


@define
class Target:
    """Answer with a body of a given size."""

    settings: RelaySettings
    body_bytes: int = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        request = (await read_request(scope, receive, 64 * MIB)).ok
        headers = [(NAMES.lifetime, b"t-1"), (NAMES.signature, b"s")]
        body = b""
        request_id = request.header(NAMES.request_id)
        if request_id is not None:
            headers.append((NAMES.request_id, request_id))
            body = bytes(self.body_bytes)
        await send_response(send, Response(status=200, headers=headers, body=body))

    async def announce(self, pool: AsyncConnectionPool) -> None:
        """Report that the target is ready."""
        report = {
            "service": self.settings.service,
            "address": self.settings.target,
            "failure_domain": self.settings.failure_domain,
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
            "born": 1,
        }
        url = f"http://{self.settings.announcements}/instances/t-1"
        await pool.request("PUT", url, content=encode_json(report))


class Pair:
    """Run the daemons of a caller and of a target."""

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._group = ProcessGroup(directory)
        self._store = StandInStore()
        self._store_port = free_ports(1)[0]
        self._settings = {name: self._make_settings(name) for name in SERVICES}
        self._target = Target(self._settings["target"])
        self._pool = AsyncConnectionPool()
        self._requests = 0

    async def measure(self, request_bytes: int, answer_bytes: int) -> dict[str, float]:
        """Return the MiB that one request adds to each daemon at its peak."""
        async with trio.open_nursery() as nursery:
            try:
                await self._start(nursery)
                before = self._read_memory("VmRSS")
                for child in self._group.children.values():
                    # Resets the peak, see proc(5).
                    Path(f"/proc/{child.process.pid}/clear_refs").write_text("5")
                self._target.body_bytes = answer_bytes
                if not await self._send(request_bytes):
                    raise RuntimeError("the request was not answered")
                await trio.sleep(SETTLE_S)
                peak = self._read_memory("VmHWM")
            finally:
                self._group.kill_all()
            nursery.cancel_scope.cancel()
        return {name: peak[name] - before[name] for name in SERVICES}

    def _make_settings(self, name: str) -> RelaySettings:
        addresses = [f"127.0.0.1:{port}" for port in free_ports(6)]
        return RelaySettings(
            instance=name,
            failure_domain="a",
            region="r",
            service=SERVICES[name],
            target=addresses[0],
            requests=addresses[1],
            ready=addresses[2],
            announcements=addresses[3],
            peer=addresses[4],
            metrics=addresses[5],
            store=f"127.0.0.1:{self._store_port}",
        )

    async def _start(self, nursery: trio.Nursery) -> None:
        route = RelayRoute(
            name="route",
            host="shop.example",
            path_prefix="/",
            kind="unsafe",
            service=SERVICES["target"],
            timeout_ms=TIMEOUT_S * 1000.0,
            target_latency_ms=TIMEOUT_S * 500.0,
        )
        services = [RelayService(name=name) for name in SERVICES.values()]
        value = RelayConfiguration(version=1, routes=[route], services=services)
        self._store.write(CONFIGURATION, CONFIGURATION_NAME, value)
        await nursery.start(serve_on_loopback, self._store, self._store_port)
        port = int(self._settings["target"].target.rpartition(":")[2])
        await nursery.start(serve_on_loopback, self._target, port)
        for name, settings in self._settings.items():
            path = self._directory / f"{name}.yaml"
            path.write_text(yaml.safe_dump(to_plain(settings)))
            self._group.start(name, [], {SETTINGS_VARIABLE: str(path)}, module=MODULE)
        with trio.fail_after(START_LIMIT_S):
            while not await self._is_ready():
                await trio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            await self._target.announce(self._pool)
            return await self._send(0)
        except ConnectError:
            return False

    async def _send(self, body_bytes: int) -> bool:
        """Send a request; return whether it was answered by the target."""
        self._requests += 1
        url = f"http://{self._settings['caller'].requests}/"
        headers = [
            (b"host", b"shop.example"),
            (NAMES.request_id, b"id-%d" % self._requests),
        ]
        response = await self._pool.request(
            "POST", url, headers=headers, content=bytes(body_bytes)
        )
        return response.status == 200

    def _read_memory(self, key: str) -> Mapping[str, float]:
        sizes = {}
        for name, child in self._group.children.items():
            status = Path(f"/proc/{child.process.pid}/status").read_text()
            line = next(line for line in status.splitlines() if line.startswith(key))
            sizes[name] = int(line.split()[1]) / 1024
        return sizes


def main() -> None:
    """Measure a large request and a large answer."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--mib", type=int, default=7)
    parser.add_argument("--rounds", type=int, default=3)
    arguments = parser.parse_args()
    size_bytes = arguments.mib * MIB
    for label, sizes in (
        ("request", (size_bytes, 0)),
        ("answer", (0, size_bytes)),
    ):
        for _ in range(arguments.rounds):
            with TemporaryDirectory() as directory:
                added = trio.run(Pair(Path(directory)).measure, *sizes)
            factors = {name: mib / arguments.mib for name, mib in added.items()}
            print(label, *(f"{name} {value:.2f}" for name, value in factors.items()))


if __name__ == "__main__":
    main()
