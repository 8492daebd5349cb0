"""Measure the simultaneous restart of all daemons."""

from collections.abc import Sequence

import trio

from catkinhollow.generated.bench import Experiment, Point, StormPlan
from catkinhollow.testbed.cluster import Node
from catkinhollow.testbed.daemon_logs import (
    enforced_ms,
    now_ms,
    read_events,
    ready_ms,
)
from catkinhollow.testbed.deployment import (
    Deployment,
    make_fleet,
    make_specs_without_targets,
    open_deployment,
)
from catkinhollow.testbed.fleet_load import machine_load
from catkinhollow.testbed.measures import Recorder, Times, median_and_max, read_cpu_s

TIMEOUT_MS = 1500
MS_PER_S = 1000.0


class StormRunner:
    """Measure a fleet whose daemons are all killed and restarted at once."""

    def __init__(self, experiment: Experiment, plan: StormPlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        for size in self._plan.sizes:
            figures = await self._measure(size)
            record(Point(series="storm", size=size, repeat=repeat, figures=figures))

    async def _measure(self, size: int) -> dict[str, float]:
        async with open_deployment(self._experiment) as deployment:
            nodes = await deployment.start(
                make_fleet(["service"]), make_specs_without_targets(size)
            )
            await trio.sleep(self._plan.settle_s)
            load = machine_load()
            revision = await deployment.change_timeout(TIMEOUT_MS)
            for node in nodes:
                deployment.kill(node)
            killed_ms = now_ms()
            calls = _CallRates(deployment, self._plan.poll_s)
            async with trio.open_nursery() as nursery:
                await nursery.start(calls.run)
                for node in nodes:
                    deployment.cluster.start_daemon(node)
                await self._wait_until_ready(deployment, nodes, revision, killed_ms)
                nursery.cancel_scope.cancel()
            ready = _ready_times(deployment, nodes, revision, killed_ms)
            cpu_s = [read_cpu_s(deployment.pid(node)) for node in nodes]
        return {
            **ready.figures("ready"),
            "not_ready": size - ready.count,
            **median_and_max("start_cpu", "s", cpu_s),
            **calls.figures(),
            **load,
        }

    async def _wait_until_ready(
        self,
        deployment: Deployment,
        nodes: Sequence[Node],
        revision: int,
        killed_ms: float,
    ) -> None:
        with trio.move_on_after(self._experiment.ready_limit_s):
            ready = 0
            while ready < len(nodes):
                await trio.sleep(self._plan.poll_s)
                ready = _ready_times(deployment, nodes, revision, killed_ms).count


def _ready_times(
    deployment: Deployment, nodes: Sequence[Node], revision: int, killed_ms: float
) -> Times:
    """Return the times until daemons were ready and enforced the revision."""
    times = Times()
    for node in nodes:
        events = read_events(deployment.log_path(node))
        ready = ready_ms(events, killed_ms)
        enforced = enforced_ms(events, revision, killed_ms)
        if ready is not None and enforced is not None:
            times.add_s((max(ready, enforced) - killed_ms) / MS_PER_S)
    return times


class _CallRates:
    """Measure the rate of store calls at an interval."""

    def __init__(self, deployment: Deployment, interval_s: float) -> None:
        self._deployment = deployment
        self._interval_s = interval_s
        self._peak_per_s = 0.0
        self._total = 0

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the counters until cancelled."""
        last_s, last = trio.current_time(), await self._read_count()
        task_status.started()
        while True:
            await trio.sleep(self._interval_s)
            now_s, calls = trio.current_time(), await self._read_count()
            self._peak_per_s = max(self._peak_per_s, (calls - last) / (now_s - last_s))
            self._total += calls - last
            last_s, last = now_s, calls

    def figures(self) -> dict[str, float]:
        """Return the peak rate and the number of store calls."""
        return {
            "store_calls_peak_per_s": self._peak_per_s,
            "store_calls": self._total,
        }

    async def _read_count(self) -> int:
        return sum((await self._deployment.store_calls()).values())
