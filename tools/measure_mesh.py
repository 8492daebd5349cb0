"""Measure the mesh over the in-memory network, in virtual time.

Run it as `python -m tools.measure_mesh --members N` from the root.
"""

import argparse
from time import perf_counter

from tests.mesh_network import Network

FIRST_PORT = 1024
SEED_COUNT = 5
STEP_S = 0.05
TIMEOUT_S = 60.0
SETTLE_S = 20.0
REST_S = 20.0
SNAPSHOT_BYTES = 31_000


def take_mean_bytes(network: Network, members: int) -> float:
    """Return the bytes per member since the last call, and reset them."""
    total = sum(network.bytes.values())
    network.bytes.clear()
    return float(total) / members


def measure_rest(network: Network, members: int) -> float:
    """Return the bytes per member and second without changes."""
    network.advance(SETTLE_S)
    take_mean_bytes(network, members)
    network.advance(REST_S)
    return take_mean_bytes(network, members) / REST_S


def advance_until_ready(network: Network) -> float:
    """Return the virtual seconds until every member is ready."""
    started_s = network.now_s
    while not all(node.mesh.ready for node in network.nodes.values()):
        if network.now_s - started_s > TIMEOUT_S:
            return float("nan")
        network.advance(STEP_S)
    return float(network.now_s - started_s)


def advance_until_enforced(network: Network, revision: int) -> float:
    """Return the virtual seconds until every member enforces a revision."""
    started_s = network.now_s
    while any(node.enforced < revision for node in network.nodes.values()):
        if network.now_s - started_s > TIMEOUT_S:
            return float("nan")
        network.advance(STEP_S)
    return float(network.now_s - started_s)


def main() -> None:
    """Print the virtual times and the message bytes per member."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--members", type=int, default=250)
    members = parser.parse_args().members
    started_s = perf_counter()
    network = Network(1, count_bytes=True)
    network.newest = 1
    addresses = [f"127.0.0.1:{FIRST_PORT + number}" for number in range(members)]
    for address in addresses:
        network.start(address, addresses[:SEED_COUNT])
    network.answer_from_store(network.nodes[addresses[0]])
    ready_s = advance_until_ready(network)
    start_bytes = take_mean_bytes(network, members)
    rest = measure_rest(network, members)
    nodes = list(network.nodes.values())
    degree = sum(len(node.mesh.links) for node in nodes) / members
    network.enforce(nodes[members // 2], 2, SNAPSHOT_BYTES)
    change_s = advance_until_enforced(network, 2)
    change = take_mean_bytes(network, members) - rest * change_s
    rest_after_change = measure_rest(network, members)
    network.start(addresses[members // 3], addresses[:SEED_COUNT])
    network.advance(SETTLE_S)
    restart = take_mean_bytes(network, members) - rest_after_change * SETTLE_S
    print(f"members {members}, degree {degree:.2f}, seed 1")
    print(f"start: all ready after  {ready_s:.2f} s, {start_bytes / 1000:.0f} KB")
    print(f"rest                    {rest / 1000:.2f} KB/s")
    print(f"change: in force after  {change_s:.2f} s, {change / 1000:.1f} KB")
    print(f"rest after the change   {rest_after_change / 1000:.2f} KB/s")
    print(f"one member restarts     {restart / 1000:.1f} KB")
    print(f"took {perf_counter() - started_s:.0f} s")


if __name__ == "__main__":
    main()
