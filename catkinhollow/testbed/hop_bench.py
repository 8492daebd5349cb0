"""Measure the latency and CPU time that daemons add to a call."""

import os
from collections.abc import Sequence
from random import Random
from time import perf_counter
from uuid import uuid4

import trio
from attrs import Factory, define, frozen

from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.exchange import REQUEST_ID_HEADER, Request
from catkinhollow.generated.bench import ChainPlan, Experiment, HopPlan, Point
from catkinhollow.generated.settings import HttpSettings
from catkinhollow.testbed.cluster import Node, NodeSpec
from catkinhollow.testbed.deployment import (
    BenchError,
    Deployment,
    make_fleet,
    open_deployment,
)
from catkinhollow.testbed.downstream import chain_path
from catkinhollow.testbed.measures import Recorder, Times, read_cpu_s

CALL_TIMEOUT_S = 10.0
OK_STATUS = 200
STEADY = "steady"
SERIES = (STEADY, "back to back")
FIRST_CALL_LIMIT_S = 30.0
FIRST_CALL_POLL_S = 0.2
IN_FLIGHT = 100
TARGET_OPTIONS = {
    "service-ms": "0",
    "warmup-s": "0",
    "cold-factor": "1",
    "slots": "200",
}


@frozen(kw_only=True)
class Chain:
    """Describe a call: first address, path, and query with further steps."""

    address: str
    path: str
    query: bytes


@define
class PairTimes:
    """Collect the times of paired calls, direct and through daemons."""

    direct: Times = Factory(Times)
    through: Times = Factory(Times)
    added: Times = Factory(Times)
    failed: int = 0

    def add(self, direct_s: float, through_s: float) -> None:
        """Add one pair; added time below 1 us counts as 1 us."""
        self.direct.add_s(direct_s)
        self.through.add_s(through_s)
        self.added.add_s(max(0.0, through_s - direct_s))

    def figures(self, depth: int) -> dict[str, float]:
        """Return percentiles, and the added time per daemon."""
        direct, through = self.direct, self.through
        added_p50 = through.percentile_ms(50) - direct.percentile_ms(50)
        added_p99 = through.percentile_ms(99) - direct.percentile_ms(99)
        return {
            **direct.figures("direct"),
            **through.figures("through"),
            **self.added.figures("pair"),
            "added_p50_ms": added_p50,
            "added_p99_ms": added_p99,
            "added_p50_per_daemon_ms": added_p50 / depth,
            "added_p99_per_daemon_ms": added_p99 / depth,
            "pair_p99_per_daemon_ms": self.added.percentile_ms(99) / depth,
            "pairs": self.added.count,
            "failed": self.failed,
        }


class HopRunner:
    """Measure chains of calls through daemons, paired with direct calls."""

    def __init__(self, experiment: Experiment, plan: HopPlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        random = Random(self._experiment.seed + repeat)
        for chain in self._plan.chains:
            depth = chain.daemons
            async with open_deployment(self._experiment) as deployment:
                nodes = await deployment.start(
                    make_fleet(_services(depth), in_flight=IN_FLIGHT), _specs(depth)
                )
                measure = _ChainMeasure(deployment, nodes, random)
                await measure.wait_until_reachable()
                idle_cpu_share = await measure.warm_up(self._plan)
                for series in SERIES:
                    figures = await measure.run(chain, series, idle_cpu_share)
                    record(
                        Point(series=series, size=depth, repeat=repeat, figures=figures)
                    )
                await measure.close()


class _ChainMeasure:
    """Measure the calls of one chain."""

    def __init__(
        self, deployment: Deployment, nodes: Sequence[Node], random: Random
    ) -> None:
        self._random = random
        # The daemon of the last node gets no calls, as its target makes none.
        self._pids = [deployment.pid(node) for node in nodes[:-1]]
        self._depth = len(nodes) - 1
        self._client = HttpTargetClient(HttpSettings())
        targets = nodes[1:]
        self._direct = _chain([node.target for node in targets])
        self._through = _chain([node.traffic for node in nodes[:-1]])

    async def wait_until_reachable(self) -> None:
        """Wait until a call through the daemons succeeds.

        Raise BenchError if none does in time.
        """
        with trio.move_on_after(FIRST_CALL_LIMIT_S):
            while await self._call(self._through) is None:
                await trio.sleep(FIRST_CALL_POLL_S)
            return
        raise BenchError("no call through the chain succeeded")

    async def warm_up(self, plan: HopPlan) -> float:
        """Warm up, and return the CPU time per second of the idle daemons."""
        await self._run_back_to_back(plan.warmup_pairs, PairTimes())
        return await self._measure_idle_cpu_share(plan.rest_s)

    async def run(
        self, plan: ChainPlan, series: str, idle_cpu_share: float
    ) -> dict[str, float]:
        """Return the figures of one series."""
        times = PairTimes()
        load = os.getloadavg()[0]
        cpu_s, start_s = self._cpu_s(), perf_counter()
        if series == STEADY:
            await self._run_steady(plan, times)
        else:
            await self._run_back_to_back(plan.back_to_back_pairs, times)
        taken_s = perf_counter() - start_s
        cpu_s = self._cpu_s() - cpu_s
        calls = (times.added.count + times.failed) * self._depth
        net_s = max(0.0, cpu_s - idle_cpu_share * taken_s)
        return {
            **times.figures(self._depth),
            "daemon_cpu_per_call_ms": cpu_s * 1000 / calls,
            "daemon_cpu_per_call_net_ms": net_s * 1000 / calls,
            "load_average": load,
        }

    async def close(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def _measure_idle_cpu_share(self, rest_s: float) -> float:
        cpu_s, start_s = self._cpu_s(), perf_counter()
        await trio.sleep(rest_s)
        return (self._cpu_s() - cpu_s) / (perf_counter() - start_s)

    async def _run_steady(self, plan: ChainPlan, times: PairTimes) -> None:
        due_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(plan.steady_pairs):
                nursery.start_soon(self._call_pair, times)
                due_s += self._random.expovariate(plan.rate_per_s)
                await trio.sleep_until(due_s)

    async def _run_back_to_back(self, pairs: int, times: PairTimes) -> None:
        for _ in range(pairs):
            await self._call_pair(times)

    async def _call_pair(self, times: PairTimes) -> None:
        if self._random.random() < 0.5:
            direct_s = await self._call(self._direct)
            through_s = await self._call(self._through)
        else:
            through_s = await self._call(self._through)
            direct_s = await self._call(self._direct)
        if direct_s is None or through_s is None:
            times.failed += 1
        else:
            times.add(direct_s, through_s)

    async def _call(self, chain: Chain) -> float | None:
        request = Request(
            method="GET",
            path=chain.path,
            query=chain.query,
            headers=[
                (b"host", chain.address.encode()),
                (REQUEST_ID_HEADER, uuid4().hex.encode()),
            ],
            body=b"",
        )
        start_s = perf_counter()
        result = await self._client.send(chain.address, request, CALL_TIMEOUT_S)
        taken_s = perf_counter() - start_s
        return taken_s if result.status == OK_STATUS else None

    def _cpu_s(self) -> float:
        return sum(read_cpu_s(pid) for pid in self._pids)


def _services(depth: int) -> list[str]:
    return [f"service-{index}" for index in range(1, depth + 1)]


def _specs(depth: int) -> list[NodeSpec]:
    ingress = NodeSpec(
        name="entry", service="", version="", failure_domain="a", has_target=False
    )
    return [
        ingress,
        *(
            NodeSpec(
                name=name,
                service=name,
                version="v1",
                failure_domain="a",
                target_options=TARGET_OPTIONS,
            )
            for name in _services(depth)
        ),
    ]


def _chain(addresses: Sequence[str]) -> Chain:
    names = _services(len(addresses))
    steps = tuple(
        f"{address}/{name}"
        for address, name in zip(addresses[1:], names[1:], strict=True)
    )
    path, query = chain_path(f"/{names[0]}", steps)
    return Chain(address=addresses[0], path=path, query=query)
