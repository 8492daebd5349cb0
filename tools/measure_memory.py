"""Measure the memory and the CPU time of daemons that serve no calls."""

import subprocess
import sys
from argparse import ArgumentParser
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory

import psutil
import trio
from attrs import frozen

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from catkinhollow.testbed.cluster import Cluster, NodeSpec  # noqa: E402

FLEET = ROOT / "examples" / "consortium"
FAILURE_DOMAINS = ("windhoek-a", "windhoek-b", "windhoek-c")
START_TIMEOUT_S = 60.0
# By then the joins, the closing of links that are no longer wanted and the
# writes of the seed lists are complete.
SETTLE_S = 8.0
MIB = 1024 * 1024

# The figure of a library excludes what an earlier one has already loaded.
IMPORT_ORDER = (
    "attrs",
    "trio",
    "expression",
    "msgspec",
    "h11",
    "httpcore",
    "hypercorn.trio",
    "pynng",
    "absl.logging",
    "aioprometheus",
    "xxhash",
    "catkinhollow.daemon",
)
IMPORT_SCRIPT = """
import sys
def rss():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4096
print("interpreter", rss(), len(sys.modules))
for name in sys.argv[1:]:
    before, modules = rss(), len(sys.modules)
    __import__(name)
    print(name, rss() - before, len(sys.modules) - modules)
print("total", rss(), len(sys.modules))
"""


@frozen(kw_only=True)
class Usage:
    """Describe the resources that one daemon uses without calls."""

    rss_mib: float
    uss_mib: float
    anonymous_mib: float
    threads: int
    cpu_percent: float


def print_imports() -> None:
    """Print the resident memory that each library adds to a process."""
    arguments = [sys.executable, "-c", IMPORT_SCRIPT, *IMPORT_ORDER]
    lines = subprocess.run(
        arguments, cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.splitlines()
    for line in lines:
        name, size_bytes, modules = line.split()
        print(f"{name:22} {int(size_bytes) / MIB:6.2f} MiB {modules:>4} modules")


async def measure(count: int, window_s: float) -> list[Usage]:
    """Return the usage of each daemon over a time without calls."""
    with TemporaryDirectory() as directory:
        cluster = Cluster(Path(directory), region="windhoek")
        try:
            await _start(cluster, count)
            await trio.sleep(SETTLE_S)
            processes = [
                psutil.Process(cluster.daemon(name).process.pid)
                for name in cluster.nodes
            ]
            before_s = [_cpu_s(process) for process in processes]
            await trio.sleep(window_s)
            return [
                _usage(process, cpu_s, window_s)
                for process, cpu_s in zip(processes, before_s, strict=True)
            ]
        finally:
            with trio.CancelScope(shield=True):
                await cluster.stop()


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
            service="catalogue",
            version="v1",
            failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
        )
        for index in range(count)
    )
    if not await cluster.wait_ready(START_TIMEOUT_S):
        raise SystemExit("a daemon did not become ready")


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _usage(process: psutil.Process, before_s: float, window_s: float) -> Usage:
    cpu_s = _cpu_s(process) - before_s
    memory = process.memory_full_info()
    anonymous = sum(item.anonymous for item in process.memory_maps())
    return Usage(
        rss_mib=memory.rss / MIB,
        uss_mib=memory.uss / MIB,
        anonymous_mib=anonymous / MIB,
        threads=process.num_threads(),
        cpu_percent=100 * cpu_s / window_s,
    )


def print_usage(usages: list[Usage]) -> None:
    """Print the median and the maximum of each figure."""
    for name in ("rss_mib", "uss_mib", "anonymous_mib", "threads", "cpu_percent"):
        values = [getattr(usage, name) for usage in usages]
        print(f"{name:14} median {median(values):7.2f}  max {max(values):7.2f}")


def main() -> None:
    """Run the measurement that the arguments select."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--daemons", type=int, default=1)
    parser.add_argument("--window-s", type=float, default=10.0)
    parser.add_argument("--imports", action="store_true")
    arguments = parser.parse_args()
    if arguments.imports:
        print_imports()
    print_usage(trio.run(measure, arguments.daemons, arguments.window_s))


if __name__ == "__main__":
    main()
