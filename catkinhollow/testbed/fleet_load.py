"""Measure what the daemons of a deployment use over a period."""

import os
from collections.abc import Mapping, Sequence
from time import perf_counter

from attrs import frozen

from catkinhollow.testbed.cluster import Node
from catkinhollow.testbed.deployment import Deployment, PeerTraffic
from catkinhollow.testbed.measures import read_cpu_s


@frozen(kw_only=True)
class DaemonSample:
    """Hold the counts of one daemon process."""

    pid: int
    cpu_s: float
    traffic: PeerTraffic


@frozen(kw_only=True)
class FleetSample:
    """Hold the counts of all daemons and of the store at one moment."""

    taken_s: float
    daemons: Mapping[str, DaemonSample]
    store_calls: int


@frozen(kw_only=True)
class DaemonLoad:
    """Hold what one daemon used over a period."""

    cpu_s: float
    messages: float
    bytes: float


@frozen(kw_only=True)
class FleetLoad:
    """Hold what the daemons used over a period."""

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
    """Read the counts of all daemons and of the store."""
    # Serving the metrics costs CPU, so the CPU is read before.
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
    """Return the use of the daemons that ran all the time."""
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
    """Return how busy the machine is."""
    return {"load_average": os.getloadavg()[0]}
