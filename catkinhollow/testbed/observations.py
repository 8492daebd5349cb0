"""Relate the stored objects and the executions of a run to one clock."""

from collections.abc import Callable, Iterable

import trio

from catkinhollow.codec import decode_json, from_plain
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.generated.fleet import Fleet
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.generated.testbed import Execution, ExecutionLog
from catkinhollow.testbed.cluster import HOST, Cluster, Node
from catkinhollow.testbed.daemon_logs import now_ms
from catkinhollow.testbed.deployment import BenchError

POLL_S = 0.01
# Objective for new calls after a failure domain left or a version was
# quarantined.
SETTLE_MS = 2000.0


def open_store(cluster: Cluster) -> HttpStoreClient:
    """Return a client of the store of a cluster."""
    port = int(cluster.store.rpartition(":")[2])
    return HttpStoreClient(StoreSettings(address=Address(host=HOST, port=port)))


async def wait_accepted(
    store: HttpStoreClient, condition: Callable[[Fleet], bool], limit_s: float
) -> float:
    """Return a Unix time just before the configuration met a condition."""
    # The last look that found the old configuration: a later time would hide
    # what happened between the change and its discovery.
    asked_ms = now_ms()
    with trio.move_on_after(limit_s):
        while True:
            before_ms, asked_ms = asked_ms, now_ms()
            stored = await store.get("config", "fleet")
            if stored.is_ok() and condition(from_plain(stored.ok.value, Fleet).ok):
                return before_ms
            await trio.sleep(POLL_S)
    raise BenchError("a change of the configuration was not accepted in time")


async def read_executions(cluster: Cluster, nodes: Iterable[Node]) -> list[Execution]:
    """Return the executions of some targets."""
    found: list[Execution] = []
    for node in nodes:
        response = await cluster.fetch("GET", node.target, "/control/executions")
        if response is None:
            raise BenchError(f"target {node.spec.name} did not tell its executions")
        log = decode_json(response.content, ExecutionLog).ok
        if log.dropped:
            raise BenchError(f"target {node.spec.name} dropped executions")
        found += log.executions
    return found
