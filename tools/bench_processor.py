"""Compare the processor time of this code's daemons with an earlier commit.

Run it as `python -m tools.bench_processor` from the root. Fleets of both run
in turn on loopback, with the same store, targets and requests.
"""

import argparse
import subprocess
import sys
import tempfile
from collections import defaultdict
from collections.abc import Sequence
from itertools import count
from math import inf
from pathlib import Path

import psutil
import trio
from attrs import evolve
from httpcore import AsyncConnectionPool

from catkinhollow.clock import TrioClock
from catkinhollow.codec import encode_json
from catkinhollow.generated.relay import (
    RelayConfiguration,
    RelayRoute,
    RelayService,
    RelaySettings,
)
from catkinhollow.platform.headers import PLATFORM_HEADERS as NAMES
from catkinhollow.platform.process import SETTINGS_VARIABLE
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.relay.documents.kinds import CONFIGURATION, CONFIGURATION_NAME
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import ROOT, ProcessGroup, free_ports
from catkinhollow.testbed.soak_target import SoakTarget

# Last commit before the work on processor time.
BASE = "a4ece27"
MODULE = "catkinhollow.platform.sidecar"
SERVICES = ("stock", "orders")
HOST = b"shop.example"
# A version with few routes is passed on without being requested.
FEW_ROUTES = 4
ROUTES = 200
ADDED_ROUTES = 1600
START_LIMIT_S = 60.0
# Time after the start until the links and the election have settled.
SETTLE_S = 4.0
IDLE_S = 10.0
CALLS = 600
CALLERS = 4
VERSIONS = 10
VERSION_INTERVAL_S = 0.4
STORM_VERSIONS = 30
STORM_INTERVAL_S = 0.03

Costs = dict[str, float]


class Fleet:
    """Run the daemons of one source tree with their store and targets."""

    def __init__(self, tree: Path, directory: Path, daemons: int) -> None:
        self._directory = directory
        self._group = ProcessGroup(directory, root=tree)
        self._store = StandInStore()
        self._settings: list[RelaySettings] = []
        self._processes: list[psutil.Process] = []
        self._daemons = daemons
        self._version = 0
        self._request_ids = count(1)

    async def measure(self) -> Costs:
        """Return the processor time of each cause in milliseconds."""
        async with trio.open_nursery() as nursery:
            try:
                costs = {"start": await self._start(nursery)}
                await trio.sleep(SETTLE_S)
                before_s = self._processor_s()
                await trio.sleep(IDLE_S)
                # Processor seconds of all daemons per second.
                idle = (self._processor_s() - before_s) / IDLE_S
                costs["idle (per second)"] = 1000.0 * idle / self._daemons
                costs["call"] = await self._measure_calls(idle)
                await self._measure_versions(idle, costs)
            finally:
                self._group.kill_all()
                nursery.cancel_scope.cancel()
        return costs

    async def _start(self, nursery: trio.Nursery) -> float:
        self._write_version(ROUTES)
        store_port = free_ports(1)[0]
        await nursery.start(serve_on_loopback, self._store, store_port)
        for number in range(self._daemons):
            addresses = [f"127.0.0.1:{port}" for port in free_ports(6)]
            settings = RelaySettings(
                instance=f"n{number}",
                failure_domain=f"domain-{number % 3}",
                region="r",
                service=SERVICES[number % len(SERVICES)],
                target=addresses[0],
                requests=addresses[1],
                ready=addresses[2],
                announcements=addresses[3],
                peer=addresses[4],
                metrics=addresses[5],
                store=f"127.0.0.1:{store_port}",
            )
            self._settings.append(settings)
            port = int(addresses[0].rpartition(":")[2])
            target = SoakTarget(settings, port, lambda _: None, TrioClock())
            nursery.start_soon(target.run)
        started_s = []
        for settings in self._settings:
            path = self._directory / f"{settings.instance}.yaml"
            path.write_bytes(encode_json(settings))
            child = self._group.start(
                settings.instance, [], {SETTINGS_VARIABLE: str(path)}, module=MODULE
            )
            process = psutil.Process(child.process.pid)
            self._processes.append(process)
            await self._wait_for_version(settings.instance)
            started_s.append(_used_s(process))
        return 1000.0 * sum(started_s) / len(started_s)

    async def _wait_for_version(self, instance: str) -> None:
        # Read from the log, as polling the daemon would cost processor time.
        log = self._directory / f"{instance}.log"
        with trio.fail_after(START_LIMIT_S):
            while b"configuration enforced" not in log.read_bytes():
                await trio.sleep(0.01)

    def _processor_s(self) -> float:
        return sum(_used_s(process) for process in self._processes)

    async def _measure_calls(self, idle: float) -> float:
        """Return the cost of a call to the service of another daemon."""
        async with AsyncConnectionPool() as pool:
            # Opens the links to the targets of the service.
            await self._call(pool, CALLERS)
            await trio.sleep(1.0)
            started_s, before_s = trio.current_time(), self._processor_s()
            async with trio.open_nursery() as nursery:
                for _ in range(CALLERS):
                    nursery.start_soon(self._call, pool, CALLS // CALLERS)
            used_s = self._processor_s() - before_s
        used_s -= idle * (trio.current_time() - started_s)
        return 1000.0 * used_s / CALLS

    async def _call(self, pool: AsyncConnectionPool, calls: int) -> None:
        url = f"http://{self._settings[0].requests}/{SERVICES[1]}/0/x"
        for _ in range(calls):
            request_id = b"request-%d" % next(self._request_ids)
            headers = [(b"host", HOST), (NAMES.request_id, request_id)]
            response = await pool.request("GET", url, headers=headers)
            if response.status != 200:
                raise RuntimeError(f"a call got the status {response.status}")

    async def _measure_versions(self, idle: float, costs: Costs) -> None:
        for routes in (FEW_ROUTES, ROUTES, ROUTES + ADDED_ROUTES):
            await self._measure_writes(routes, 1, 1.0, idle)
            used_s = await self._measure_writes(
                routes, VERSIONS, VERSION_INTERVAL_S, idle
            )
            costs[f"version ({routes} routes)"] = used_s / VERSIONS
            costs[
                f"storm of {STORM_VERSIONS} ({routes} routes)"
            ] = await self._measure_writes(
                routes, STORM_VERSIONS, STORM_INTERVAL_S, idle
            )

    async def _measure_writes(
        self, routes: int, versions: int, interval_s: float, idle: float
    ) -> float:
        started_s, before_s = trio.current_time(), self._processor_s()
        for _ in range(versions):
            self._write_version(routes)
            await trio.sleep(interval_s)
        await trio.sleep(2.0)
        used_s = self._processor_s() - before_s
        used_s -= idle * (trio.current_time() - started_s)
        return 1000.0 * used_s / self._daemons

    def _write_version(self, routes: int) -> None:
        """Write a version that changes one route of the last one."""
        self._version += 1
        route = RelayRoute(
            name="", host=HOST.decode(), path_prefix="", kind="safe", timeout_ms=4000.0
        )
        configuration = RelayConfiguration(
            version=self._version,
            services=[RelayService(name=name) for name in SERVICES],
            routes=[
                evolve(
                    route,
                    name=f"{service}-{number}",
                    path_prefix=f"/{service}/{number}/",
                    service=service,
                    priority=self._version if number == 1 else 1,
                )
                for service in SERVICES
                for number in range(routes // len(SERVICES))
            ],
        )
        self._store.write(CONFIGURATION, CONFIGURATION_NAME, configuration)


def _used_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def extract(commit: str, directory: Path) -> Path:
    """Extract the files of a commit and compile its modules."""
    archive = subprocess.run(
        ["git", "archive", commit, "catkinhollow"],
        cwd=ROOT,
        check=True,
        capture_output=True,
    )
    subprocess.run(["tar", "-x"], cwd=directory, input=archive.stdout, check=True)
    _compile(directory)
    return directory


def _compile(tree: Path) -> None:
    command = [sys.executable, "-m", "compileall", "-q", "catkinhollow"]
    subprocess.run(command, cwd=tree, check=True)


def print_costs(base: Sequence[Costs], this: Sequence[Costs]) -> None:
    """Print the smallest cost of each cause, as other work disturbs it."""
    best: defaultdict[str, list[float]] = defaultdict(lambda: [inf, inf])
    for index, rounds in enumerate((base, this)):
        for costs in rounds:
            for cause, cost_ms in costs.items():
                best[cause][index] = min(best[cause][index], cost_ms)
    print(f"{'processor time':28}{'base ms':>10}{'this ms':>10}{'ratio':>8}")
    for cause, (base_ms, this_ms) in best.items():
        ratio = this_ms / base_ms if base_ms else inf
        print(f"{cause:28}{base_ms:10.2f}{this_ms:10.2f}{ratio:8.2f}")


def main() -> None:
    """Measure both trees in turn and print the ratios."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base", default=BASE)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--daemons", type=int, default=9)
    options = parser.parse_args()
    results: tuple[list[Costs], list[Costs]] = ([], [])
    with tempfile.TemporaryDirectory() as directory:
        trees = (Path(directory, "base"), ROOT)
        trees[0].mkdir()
        extract(options.base, trees[0])
        _compile(ROOT)
        for number in range(options.rounds):
            for index, tree in enumerate(trees):
                logs = Path(directory, f"logs-{number}-{index}")
                logs.mkdir()
                costs = trio.run(Fleet(tree, logs, options.daemons).measure)
                results[index].append(costs)
                print(f"round {number + 1}, {('base', 'this')[index]}: {costs}")
    print_costs(*results)


if __name__ == "__main__":
    main()
