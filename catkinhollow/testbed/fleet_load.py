"""Measure the resource use of a deployment's daemons over a period."""

import os
from collections.abc import Mapping, Sequence
from time import perf_counter

from attrs import frozen

from catkinhollow.testbed.cluster import Node
from catkinhollow.testbed.deployment import Deployment, PeerTraffic
from catkinhollow.testbed.measures import read_cpu_s


@frozen(kw_only=True)
class DaemonSample:
    """Represent the counters of one daemon process."""

    pid: int
    cpu_s: float
    traffic: PeerTraffic


@frozen(kw_only=True)
class FleetSample:
    """Represent the counters of all daemons and the store at one time."""

    taken_s: float
    daemons: Mapping[str, DaemonSample]
    store_calls: int


@frozen(kw_only=True)
class DaemonLoad:
    """Represent the resource use of one daemon over a period."""

    cpu_s: float
    messages: float
    bytes: float


@frozen(kw_only=True)
class FleetLoad:
    """Represent the resource use of the daemons over a period."""

    period_s: float
    daemons: Sequence[DaemonLoad]
    store_calls: int

    def mean(self, name: str) -> float:
        """Return the mean of a field over the daemons."""
        values = [float(getattr(daemon, name)) for daemon in self.daemons]
        return sum(values) / len(values)

    def rate(self, name: str) -> float:
        """Return the mean of a field over the daemons, per second."""
        return self.mean(name) / self.period_s


async def take_sample(deployment: Deployment, nodes: Sequence[Node]) -> FleetSample:
    """Read the counters of all daemons and of the store."""
    # Read the CPU time first, as the daemons use CPU to serve their metrics.
    cpu_s = {node.spec.name: read_cpu_s(deployment.pid(node)) for node in nodes}
    calls = await deployment.store_calls()
    taken_s = perf_counter()
    return FleetSample(
        taken_s=taken_s,
        store_calls=sum(calls.values()),
        daemons={
            node.spec.name: DaemonSample(
                pid=deployment.pid(node),
                cpu_s=cpu_s[node.spec.name],
                traffic=await deployment.peer_traffic(node),
            )
            for node in nodes
        },
    )


def load_between(before: FleetSample, after: FleetSample) -> FleetLoad:
    """Return the resource use without daemons that restarted."""
    loads = []
    for name, last in after.daemons.items():
        first = before.daemons[name]
        if first.pid == last.pid:
            loads.append(
                DaemonLoad(
                    cpu_s=last.cpu_s - first.cpu_s,
                    messages=last.traffic.messages - first.traffic.messages,
                    bytes=last.traffic.bytes - first.traffic.bytes,
                )
            )
    return FleetLoad(
        period_s=after.taken_s - before.taken_s,
        daemons=loads,
        store_calls=after.store_calls - before.store_calls,
    )


def machine_load() -> dict[str, float]:
    """Return the load average of the machine."""
    return {"load_average": os.getloadavg()[0]}
