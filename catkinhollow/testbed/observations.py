"""Read stored changes and executions of a run by Unix time."""

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
# Time after which no new calls may arrive at a failure domain that was taken
# out of service or at a quarantined version.
ROUTING_OBJECTIVE_MS = 2000.0


def open_store(cluster: Cluster) -> HttpStoreClient:
    """Return a client for the store of a cluster."""
    port = int(cluster.store.rpartition(":")[2])
    return HttpStoreClient(StoreSettings(address=Address(host=HOST, port=port)))


async def wait_accepted(
    store: HttpStoreClient, condition: Callable[[Fleet], bool], limit_s: float
) -> float:
    """Return a Unix time just before the configuration met a condition.

    Raise BenchError if it does not meet the condition in time.
    """
    # Return the time of the last read that found the old configuration: a
    # later time would hide what happens between the change and its detection.
    read_ms = now_ms()
    with trio.move_on_after(limit_s):
        while True:
            last_old_ms, read_ms = read_ms, now_ms()
            stored = await store.get("config", "fleet")
            if stored.is_ok() and condition(from_plain(stored.ok.value, Fleet).ok):
                return last_old_ms
            await trio.sleep(POLL_S)
    raise BenchError("a change of the configuration was not accepted in time")


async def read_executions(cluster: Cluster, nodes: Iterable[Node]) -> list[Execution]:
    """Return the executions at the targets of some nodes.

    Raise BenchError if a target does not report all of its executions.
    """
    found: list[Execution] = []
    for node in nodes:
        response = await cluster.fetch("GET", node.target, "/control/executions")
        if response is None:
            raise BenchError(f"target {node.spec.name} did not report its executions")
        log = decode_json(response.content, ExecutionLog).ok
        if log.dropped:
            raise BenchError(f"target {node.spec.name} dropped some executions")
        found += log.executions
    return found
