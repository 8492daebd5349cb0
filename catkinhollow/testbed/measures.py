"""Measure processes, times and counters for the benchmarks."""

import os
import platform
import subprocess
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from statistics import median
from typing import Any

import psutil
from attrs import frozen
from hdrh import histogram

from catkinhollow.generated.bench import Machine, Point

Recorder = Callable[[Point], None]

ROOT = Path(__file__).resolve().parent.parent.parent
# The histogram library has no type annotations.
_hdrh: Any = histogram
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000.0
US_PER_S = 1_000_000.0
PERCENTILES = {"p50": 50.0, "p99": 99.0, "max": 100.0}


class Times:
    """Collect times in a histogram."""

    def __init__(self) -> None:
        self._histogram = _hdrh.HdrHistogram(1, MAX_US, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Return how many times were added."""
        return int(self._histogram.get_total_count())

    def add_s(self, time_s: float) -> None:
        """Add a time; one below a microsecond counts as a microsecond."""
        self._histogram.record_value(max(1, round(time_s * US_PER_S)))

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        value = self._histogram.get_value_at_percentile(percentile)
        return float(value) / US_PER_MS

    def figures(self, name: str) -> dict[str, float]:
        """Return the 50th and 99th percentile and the maximum by name."""
        return {
            f"{name}_{label}_ms": self.percentile_ms(percentile)
            for label, percentile in PERCENTILES.items()
        }


def median_and_max(name: str, unit: str, values: Iterable[float]) -> dict[str, float]:
    """Return the median and the maximum of a figure over processes."""
    ordered = sorted(values)
    return {
        f"{name}_median_{unit}": median(ordered),
        f"{name}_max_{unit}": ordered[-1],
    }


@frozen(kw_only=True)
class ProcessUsage:
    """Represent the CPU time, memory and threads of a process."""

    cpu_s: float
    rss_bytes: int
    uss_bytes: int
    threads: int


def read_cpu_s(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def read_usage(pid: int) -> ProcessUsage:
    """Return the CPU time, memory and threads of a process."""
    process = psutil.Process(pid)
    memory = process.memory_full_info()
    return ProcessUsage(
        cpu_s=read_cpu_s(pid),
        rss_bytes=memory.rss,
        uss_bytes=memory.uss,
        threads=process.num_threads(),
    )


def parse_metrics(text: str) -> Mapping[str, float]:
    """Return the samples of a Prometheus text page by name and labels."""
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            samples[name] = float(value)
    return samples


def read_machine() -> Machine:
    """Return a description of the machine with its load average."""
    return Machine(
        cores=os.cpu_count() or 0,
        memory_bytes=psutil.virtual_memory().total,
        kernel=platform.release(),
        python=platform.python_version(),
        load_average=list(os.getloadavg()),
    )


def read_commit() -> str:
    """Return the commit of the code, marked if there are local changes."""
    command = ["git", "describe", "--always", "--abbrev=10", "--dirty", "--exclude=*"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    return done.stdout.strip() or "unknown"
