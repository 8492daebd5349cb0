"""Measure how long a change takes to reach all daemons, and its cost."""

from collections.abc import Sequence
from random import Random
from statistics import median

import trio
from attrs import Factory, define, frozen

from catkinhollow.generated.bench import ConvergencePlan, Experiment, Point
from catkinhollow.generated.testbed import OutageMode, StoreFaults
from catkinhollow.testbed.cluster import Node
from catkinhollow.testbed.daemon_logs import (
    LogEvent,
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
from catkinhollow.testbed.fleet_load import (
    FleetLoad,
    load_between,
    machine_load,
    take_sample,
)
from catkinhollow.testbed.measures import Recorder, Times

FIRST_TIMEOUT_MS = 1000
BASELINE_S = 5.0
MS_PER_S = 1000.0


@frozen(kw_only=True)
class Change:
    """Represent a change that the store accepted."""

    revision: int
    accepted_ms: float


@define
class Delays:
    """Collect the delays of changes at daemons."""

    all: Times = Factory(Times)
    last_ms: list[float] = Factory(list)
    late: int = 0
    """Daemons that did not enforce a change in time, summed over changes."""

    def add(self, change: Change, logs: Sequence[Sequence[LogEvent]]) -> None:
        """Add the delays of one change, with the log of each daemon."""
        delays_ms = []
        for events in logs:
            applied_ms = enforced_ms(events, change.revision)
            if applied_ms is None:
                self.late += 1
            else:
                delays_ms.append(max(0.0, applied_ms - change.accepted_ms))
        for delay_ms in delays_ms:
            self.all.add_s(delay_ms / MS_PER_S)
        if delays_ms:
            self.last_ms.append(max(delays_ms))

    def figures(self) -> dict[str, float]:
        """Return percentiles, and the median of the last daemon's delays."""
        last = {"last_daemon_median_ms": median(self.last_ms)} if self.last_ms else {}
        return {**self.all.figures("delay"), **last, "late": self.late}


def cost_figures(load: FleetLoad, rest: FleetLoad, changes: int) -> dict[str, float]:
    """Return the cost per change without the cost of idle daemons.

    `peer_bytes_per_s` and `cpu_percent` are totals that include this cost.
    """

    def per_change(name: str) -> float:
        return (load.mean(name) - rest.rate(name) * load.period_s) / changes

    rest_calls = rest.store_calls / rest.period_s * load.period_s
    return {
        "messages_per_daemon_change": per_change("messages"),
        "peer_bytes_per_daemon_change": per_change("bytes"),
        "cpu_per_daemon_change_ms": per_change("cpu_s") * MS_PER_S,
        "store_calls_per_change": (load.store_calls - rest_calls) / changes,
        "peer_bytes_per_s": load.rate("bytes"),
        "cpu_percent": load.rate("cpu_s") * 100,
    }


class ConvergenceRunner:
    """Measure changes of the configuration in fleets of several sizes."""

    def __init__(self, experiment: Experiment, plan: ConvergencePlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        random = Random(self._experiment.seed + repeat)
        for size in self._plan.sizes:
            await self._measure(size, repeat, random, record)

    async def _measure(
        self, size: int, repeat: int, random: Random, record: Recorder
    ) -> None:
        def record_series(series: str, figures: dict[str, float]) -> None:
            record(Point(series=series, size=size, repeat=repeat, figures=figures))

        plan = self._plan
        async with open_deployment(self._experiment) as deployment:
            nodes = await deployment.start(
                make_fleet(["service"]), make_specs_without_targets(size)
            )
            await trio.sleep(plan.settle_s)
            fleet = _FleetMeasure(deployment, nodes, plan, random)
            await fleet.measure_idle()
            record_series("plain", await fleet.measure_plain())
            if plan.restart_percent:
                record_series("restarts", await fleet.measure_restarts())
            if plan.outage_s:
                record_series("store outage", await fleet.measure_outage())


class _FleetMeasure:
    """Measure the changes in one fleet."""

    def __init__(
        self,
        deployment: Deployment,
        nodes: Sequence[Node],
        plan: ConvergencePlan,
        random: Random,
    ) -> None:
        self._deployment = deployment
        self._nodes = nodes
        self._plan = plan
        self._random = random
        self._timeout_ms = FIRST_TIMEOUT_MS
        self._idle_load: FleetLoad | None = None

    async def measure_idle(self) -> None:
        """Measure the cost of the daemons without changes."""
        before = await take_sample(self._deployment, self._nodes)
        await trio.sleep(BASELINE_S)
        after = await take_sample(self._deployment, self._nodes)
        self._idle_load = load_between(before, after)

    async def measure_plain(self) -> dict[str, float]:
        """Measure changes without faults."""
        assert self._idle_load is not None
        load = machine_load()
        before = await take_sample(self._deployment, self._nodes)
        changes = await self._make_changes()
        await trio.sleep(self._plan.arrive_s)
        after = await take_sample(self._deployment, self._nodes)
        used = load_between(before, after)
        return {
            **self._delays(changes, self._nodes).figures(),
            **cost_figures(used, self._idle_load, len(changes)),
            **load,
        }

    async def measure_restarts(self) -> dict[str, float]:
        """Measure changes while some daemons are killed and restarted."""
        load = machine_load()
        share = self._plan.restart_percent / 100
        restarted = self._random.sample(
            list(self._nodes), max(1, round(share * len(self._nodes)))
        )
        killed_ms: dict[str, float] = {}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restart_all, restarted, killed_ms)
            changes = await self._make_changes()
        await self._deployment.wait_ready(restarted)
        await trio.sleep(self._plan.arrive_s)
        others = [node for node in self._nodes if node not in restarted]
        back = Times()
        for node in restarted:
            since_ms = killed_ms[node.spec.name]
            back_ms = ready_ms(self._events(node), since_ms)
            if back_ms is not None:
                back.add_s((back_ms - since_ms) / MS_PER_S)
        last = Delays()
        last.add(changes[-1], [self._events(node) for node in restarted])
        return {
            **self._delays(changes, others).figures(),
            **back.figures("restarted_ready"),
            "restarted": len(restarted),
            "restarted_late": last.late,
            **load,
        }

    async def measure_outage(self) -> dict[str, float]:
        """Measure a change just before a store outage, and one after it."""
        load = machine_load()
        before = await self._change()
        await self._deployment.set_store_faults(StoreFaults(outage=OutageMode.REFUSE))
        await trio.sleep(self._plan.outage_s)
        during = self._delays([before], self._nodes)
        await self._deployment.set_store_faults(StoreFaults())
        after = await self._change()
        await trio.sleep(self._plan.arrive_s + BASELINE_S)
        later = self._delays([after], self._nodes)
        return {
            **during.figures(),
            **{f"after_{name}": value for name, value in later.figures().items()},
            **load,
        }

    async def _make_changes(self) -> list[Change]:
        changes = []
        for _ in range(self._plan.changes):
            changes.append(await self._change())
            await trio.sleep(self._random.expovariate(1 / self._plan.pause_s))
        return changes

    async def _change(self) -> Change:
        self._timeout_ms += 1
        revision = await self._deployment.change_timeout(self._timeout_ms)
        return Change(revision=revision, accepted_ms=now_ms())

    async def _restart_all(
        self, restarted: Sequence[Node], killed_ms: dict[str, float]
    ) -> None:
        period_s = self._plan.changes * self._plan.pause_s / 2
        for node in restarted:
            killed_ms[node.spec.name] = now_ms()
            self._deployment.restart(node)
            await trio.sleep(period_s / len(restarted))

    def _delays(self, changes: Sequence[Change], nodes: Sequence[Node]) -> Delays:
        logs = [self._events(node) for node in nodes]
        delays = Delays()
        for change in changes:
            delays.add(change, logs)
        return delays

    def _events(self, node: Node) -> list[LogEvent]:
        return read_events(self._deployment.log_path(node))
