"""Measure the resource use of daemons without calls or changes."""

import trio

from catkinhollow.generated.bench import Experiment, Point, RestPlan
from catkinhollow.testbed.deployment import (
    make_fleet,
    make_specs_without_targets,
    open_deployment,
)
from catkinhollow.testbed.fleet_load import load_between, machine_load, take_sample
from catkinhollow.testbed.measures import Recorder, median_and_max, read_usage

MEBIBYTE = 1024 * 1024


class RestRunner:
    """Measure idle fleets of several sizes."""

    def __init__(self, experiment: Experiment, plan: RestPlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        for size in self._plan.sizes:
            figures = await self._measure(size)
            record(Point(series="rest", size=size, repeat=repeat, figures=figures))

    async def _measure(self, size: int) -> dict[str, float]:
        async with open_deployment(self._experiment) as deployment:
            nodes = await deployment.start(
                make_fleet(["service"]), make_specs_without_targets(size)
            )
            await trio.sleep(self._plan.settle_s)
            load = machine_load()
            before = await take_sample(deployment, nodes)
            await trio.sleep(self._plan.window_s)
            after = await take_sample(deployment, nodes)
            usages = [read_usage(deployment.pid(node)) for node in nodes]
        used = load_between(before, after)
        period_s = used.period_s
        cpu = [daemon.cpu_s / period_s * 100 for daemon in used.daemons]
        sent = [daemon.bytes / period_s for daemon in used.daemons]
        messages = [daemon.messages / period_s for daemon in used.daemons]
        calls_per_s = used.store_calls / period_s
        return {
            **median_and_max("cpu", "percent", cpu),
            **median_and_max(
                "rss", "mib", [usage.rss_bytes / MEBIBYTE for usage in usages]
            ),
            **median_and_max(
                "uss", "mib", [usage.uss_bytes / MEBIBYTE for usage in usages]
            ),
            **median_and_max("threads", "count", [usage.threads for usage in usages]),
            **median_and_max("peer", "bytes_per_s", sent),
            **median_and_max("peer", "messages_per_s", messages),
            "store_calls_per_s": calls_per_s,
            "store_calls_per_s_and_daemon": calls_per_s / size,
            **load,
        }
