"""Compare direct calls, a baseline proxy and daemons in interleaved blocks."""

import subprocess
import sys
from argparse import ArgumentParser
from collections import Counter
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from random import Random
from statistics import quantiles
from tempfile import TemporaryDirectory

import psutil
import trio
from attrs import Factory, define

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from catkinhollow.testbed.callers import (  # noqa: E402
    CallerGroup,
    CallKind,
    CallLog,
)
from catkinhollow.testbed.cluster import Cluster, NodeSpec  # noqa: E402
from catkinhollow.testbed.processes import free_ports  # noqa: E402

FLEET = ROOT / "examples" / "consortium"
START_TIMEOUT_S = 30.0
SETTLE_S = 4.0
BLOCK_S = 2.0
# The first block of each path opens its connections.
WARMUP_BLOCKS = 1
SEED = 1
CALL_KIND = CallKind(
    name="browse",
    method="GET",
    path="/catalogue/a",
    weight=1,
    worth=1,
    backer="kalahari-paper",
)
TARGET_OPTIONS = {"service-ms": "2", "warmup-s": "0"}


@define(kw_only=True)
class CallPath:
    """Represent one path to the target with its measurements."""

    name: str
    entry: str
    process: psutil.Process
    times_s: list[float] = Factory(list)
    results: Counter[str] = Factory(Counter)
    cpu_s: float = 0.0

    def reset(self) -> None:
        """Discard the measurements."""
        self.times_s.clear()
        self.results.clear()
        self.cpu_s = 0.0

    def print(self, base: "CallPath") -> None:
        """Print the figures and their difference from those of a base path."""
        own, other = _percentiles_ms(self.times_s), _percentiles_ms(base.times_s)
        added_text = " ".join(f"{a - b:+6.2f}" for a, b in zip(own, other, strict=True))
        own_text = " ".join(f"{value:6.2f}" for value in own)
        cpu_ms = 1000 * self.cpu_s / len(self.times_s)
        rss_mib = self.process.memory_info().rss / 2**20
        print(
            f"{self.name:9} {dict(self.results)}; "
            f"p50/p90/p99 {own_text} ms; added {added_text} ms; "
            f"CPU {cpu_ms:.3f} ms a call; rss {rss_mib:.1f} MiB"
        )


def _percentiles_ms(times_s: Sequence[float]) -> list[float]:
    percentiles = quantiles(times_s, n=100)
    return [1000 * percentiles[index] for index in (49, 89, 98)]


async def run_block(path: CallPath, rate_per_s: float, block_s: float) -> None:
    """Call along one path at a steady rate and add to its figures."""
    log = CallLog()
    entries = [path.entry]
    callers = CallerGroup(lambda: entries, [CALL_KIND], rate_per_s, Random(SEED), log)
    before = path.process.cpu_times()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.run)
        await trio.sleep(block_s)
        callers.stop()
    after = path.process.cpu_times()
    path.cpu_s += after.user + after.system - before.user - before.system
    for record in log.records:
        path.times_s.append(record.taken_s)
        path.results[record.result.value] += 1


async def measure(rate_per_s: float, blocks: int, other: Path | None) -> None:
    """Print the figures of every path."""
    with TemporaryDirectory() as directory:
        cluster = Cluster(Path(directory), region="windhoek")
        try:
            await _start(cluster, 2 if other else 1)
            node = cluster.nodes["n0"]
            with _baseline_proxy(node.target_port) as proxy:
                paths = [_direct(cluster), proxy, _daemon(cluster, "n0", "daemon")]
                if other:
                    with _other_daemon(cluster, "n1", other) as path:
                        await _measure_paths([*paths, path], rate_per_s, blocks)
                else:
                    await _measure_paths(paths, rate_per_s, blocks)
        finally:
            with trio.CancelScope(shield=True):
                await cluster.stop()


async def _measure_paths(
    paths: Sequence[CallPath], rate_per_s: float, blocks: int
) -> None:
    await trio.sleep(SETTLE_S)
    for number in range(WARMUP_BLOCKS + blocks):
        for path in paths:
            await run_block(path, rate_per_s, BLOCK_S)
            if number < WARMUP_BLOCKS:
                path.reset()
    for path in paths:
        path.print(paths[0])


async def _start(cluster: Cluster, count: int) -> None:
    cluster.start_store()
    while not await cluster.request("GET", cluster.store, "/counters"):
        await trio.sleep(0.1)
    files = (str(FLEET / "fleet.yaml"), str(FLEET / "routes.yaml"))
    if await cluster.run_command("apply", *files) != 0:
        raise SystemExit("the configuration was refused")
    cluster.add(
        NodeSpec(
            name=f"n{index}",
            # All calls go to the first target, whichever daemon they enter.
            service="stock" if index else "catalogue",
            version="v1",
            failure_domain="windhoek-a",
            target_options=TARGET_OPTIONS,
        )
        for index in range(count)
    )
    if not await cluster.wait_ready(START_TIMEOUT_S):
        raise SystemExit("a daemon did not become ready")


def _daemon(cluster: Cluster, node: str, name: str) -> CallPath:
    process = psutil.Process(cluster.daemon(node).process.pid)
    return CallPath(name=name, entry=cluster.nodes[node].traffic, process=process)


def _direct(cluster: Cluster) -> CallPath:
    node = cluster.nodes["n0"]
    return CallPath(name="direct", entry=node.target, process=psutil.Process())


@contextmanager
def _baseline_proxy(target_port: int) -> Iterator[CallPath]:
    port = free_ports(1)[0]
    script = Path(__file__).with_name("baseline_proxy.py")
    arguments = [sys.executable, str(script), str(port), str(target_port)]
    with _terminated_on_exit(arguments, ROOT) as process:
        yield CallPath(name="baseline", entry=f"127.0.0.1:{port}", process=process)


@contextmanager
def _other_daemon(cluster: Cluster, node: str, root: Path) -> Iterator[CallPath]:
    """Run the daemon of a node from another checkout."""
    cluster.kill_daemon(node)
    settings = cluster.nodes[node].settings_path
    module = ["-m", "catkinhollow", "daemon", "--settings", str(settings)]
    with _terminated_on_exit([sys.executable, *module], root) as process:
        yield CallPath(name="other", entry=cluster.nodes[node].traffic, process=process)


@contextmanager
def _terminated_on_exit(arguments: list[str], root: Path) -> Iterator[psutil.Process]:
    child = subprocess.Popen(arguments, cwd=root, stderr=subprocess.DEVNULL)
    try:
        yield psutil.Process(child.pid)
    finally:
        child.terminate()
        child.wait()


def main() -> None:
    """Run the measurement that the arguments select."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--blocks", type=int, default=10)
    parser.add_argument("--other", type=Path, help="Root of another checkout.")
    arguments = parser.parse_args()
    trio.run(measure, arguments.rate, arguments.blocks, arguments.other)


if __name__ == "__main__":
    main()
