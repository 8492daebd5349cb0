"""Run the processes of an experiment and read their counters."""

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from attrs import evolve, frozen

from catkinhollow.codec import decode_json, encode_json, to_plain
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.generated.bench import Experiment
from catkinhollow.generated.fleet import Defaults, Fleet, Route, Service
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.generated.testbed import StoreCounters, StoreFaults
from catkinhollow.testbed.cluster import HOST, Cluster, Node, NodeSpec
from catkinhollow.testbed.measures import parse_metrics

STORE_START_LIMIT_S = 20.0
POLL_S = 0.05
FAILURE_DOMAINS = 6


class BenchError(Exception):
    """Report that a benchmark run cannot continue."""


@frozen(kw_only=True)
class PeerTraffic:
    """Represent the messages and bytes that a daemon exchanged with peers."""

    messages: float
    bytes: float


def make_fleet(services: Sequence[str], *, in_flight: int = 10) -> Fleet:
    """Return a configuration with one route for each service."""
    return Fleet(
        defaults=Defaults(slow_start_s=0.0, max_in_flight_per_target=in_flight),
        services=[Service(name=name) for name in services],
        routes=[
            Route(name=name, service=name, path_prefix=f"/{name}") for name in services
        ],
    )


def make_specs_without_targets(count: int) -> list[NodeSpec]:
    """Return instances without targets, distributed over failure domains."""
    return [
        NodeSpec(
            name=f"n{index}",
            service="",
            version="",
            failure_domain=f"domain-{index % FAILURE_DOMAINS}",
            has_target=False,
        )
        for index in range(count)
    ]


class Deployment:
    """Run the cluster and the store client of one measurement."""

    def __init__(self, directory: Path, experiment: Experiment) -> None:
        self._experiment = experiment
        self._revision = 0
        self._fleet = Fleet()
        self.directory = directory
        self.cluster = Cluster(directory)
        host, _, port = self.cluster.store.rpartition(":")
        assert host == HOST
        self._store = HttpStoreClient(
            StoreSettings(address=Address(host=host, port=int(port)))
        )

    async def start(self, fleet: Fleet, specs: Sequence[NodeSpec]) -> list[Node]:
        """Start the store and the instances, in batches."""
        self.cluster.start_store()
        with trio.move_on_after(STORE_START_LIMIT_S):
            while await self.cluster.request("GET", self.cluster.store, "/faults") == 0:
                await trio.sleep(POLL_S)
        self._fleet = fleet
        await self.write_fleet(fleet)
        nodes: list[Node] = []
        batch = self._experiment.start_batch
        for first in range(0, len(specs), batch):
            added = self.cluster.add(specs[first : first + batch])
            await self.wait_ready(added)
            nodes += added
        return nodes

    async def wait_ready(self, nodes: Sequence[Node]) -> None:
        """Wait until the daemons accept calls.

        Raise BenchError if they don't within the time limit.
        """
        if not await self.cluster.wait_ready(self._experiment.ready_limit_s, nodes):
            raise BenchError("a daemon did not become ready in time")

    async def write_fleet(self, fleet: Fleet) -> int:
        """Write a configuration and return its revision.

        Raise BenchError if the store refuses it.
        """
        result = await self._store.put(
            "config", "fleet", to_plain(fleet), if_revision=self._revision
        )
        if result.is_error():
            raise BenchError(f"the store refused a change: {result.error.reason}")
        self._revision = result.ok.revision
        return self._revision

    async def change_timeout(self, timeout_ms: int) -> int:
        """Write the configuration with a new timeout; return its revision."""
        defaults = evolve(self._fleet.defaults, timeout_ms=timeout_ms)
        return await self.write_fleet(evolve(self._fleet, defaults=defaults))

    async def store_calls(self) -> Mapping[str, int]:
        """Return the number of store calls by kind."""
        response = await self.cluster.fetch("GET", self.cluster.store, "/counters")
        if response is None:
            raise BenchError("the store did not report its counters")
        return decode_json(response.content, StoreCounters).ok.calls

    async def set_store_faults(self, faults: StoreFaults) -> None:
        """Set the faults that the store injects."""
        await self.cluster.fetch(
            "POST", self.cluster.store, "/faults", encode_json(faults)
        )

    async def peer_traffic(self, node: Node) -> PeerTraffic:
        """Return what a daemon sent to and received from its peers."""
        response = await self.cluster.fetch("GET", node.admin, "/metrics")
        if response is None:
            raise BenchError(f"{node.daemon_name} did not report its metrics")
        samples = parse_metrics(response.content.decode())
        return PeerTraffic(
            messages=_total(samples, "catkinhollow_peer_messages_total"),
            bytes=_total(samples, "catkinhollow_peer_bytes_total"),
        )

    def pid(self, node: Node) -> int:
        """Return the process id of a node's daemon."""
        return self.cluster.daemon(node.spec.name).process.pid

    def log_path(self, node: Node) -> Path:
        """Return the path of the log of a node's daemon."""
        return self.directory / f"{node.daemon_name}.log"

    def kill(self, node: Node) -> None:
        """Kill a daemon and wait for the end of its process."""
        self.cluster.kill_daemon(node.spec.name)
        self.cluster.daemon(node.spec.name).process.wait()

    def restart(self, node: Node) -> None:
        """Kill a daemon and start it again."""
        self.kill(node)
        self.cluster.start_daemon(node)

    async def close(self) -> None:
        """Stop every process."""
        await self._store.aclose()
        self.cluster.kill()


def _total(samples: Mapping[str, float], name: str) -> float:
    return sum(
        value for sample, value in samples.items() if sample.startswith(f"{name}{{")
    )


@asynccontextmanager
async def open_deployment(experiment: Experiment) -> AsyncIterator[Deployment]:
    """Open a deployment whose processes are killed at the end of the block."""
    with TemporaryDirectory(prefix="catkinhollow-bench-") as directory:
        deployment = Deployment(Path(directory), experiment)
        try:
            yield deployment
        finally:
            with trio.CancelScope(shield=True):
                await deployment.close()
