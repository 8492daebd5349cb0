"""Tests of the choice of links in fleets of many daemons."""

from collections import Counter
from math import log2

from relay_builders import make_peer, make_report

from catkinhollow.generated.relay import GateState, MoveOrder
from catkinhollow.relay.links.link_plan import (
    MAX_CALLERS,
    MAX_GROWTH,
    SHRINK_AFTER_S,
    LinkPlan,
    choose_move_writers,
)
from catkinhollow.relay.placement.peers import PeerDirectory

DOMAINS = "abcde"
SHARES = {"catalogue": 0.52, "orders": 0.34, "stock": 0.14}


def make_records(size, domains=DOMAINS):
    """Return the records of a fleet with three services."""
    records = []
    for number in range(size):
        place = (number // len(domains)) / max(1, size // len(domains))
        service = "catalogue" if place < 0.52 else "orders"
        service = service if place < 0.86 else "stock"
        domain = domains[number % len(domains)]
        name = f"d{number}"
        records.append(make_peer(name, failure_domain=domain, service=service).record)
    return records


def make_plan(records, own=0):
    directory = PeerDirectory(records[own])
    for record in records:
        if record is not records[own]:
            directory.put(record)
    plan = LinkPlan(directory)
    plan.set_services(SHARES)
    return plan, directory


def link_all(directory, report=None):
    for peer in directory:
        peer.linked = True
        peer.update_report(report or make_report(), 0.0)


def subset(plan, directory, service, now_s=0.0):
    """Return the linked targets of a service that are not ring neighbours."""
    addresses = plan.wanted(now_s) - set(plan.neighbours(now_s))
    peers = [directory.by_address(address) for address in addresses]
    return [peer for peer in peers if peer.record.service == service]


def count_links(size):
    """Return the number of links of each daemon, in both directions."""
    records = make_records(size)
    links = {record.address: set() for record in records}
    for own, record in enumerate(records):
        plan, _ = make_plan(records, own)
        for address in plan.wanted(0.0):
            links[record.address].add(address)
            links[address].add(record.address)
    return [len(linked) for linked in links.values()]


def test_links_do_not_grow_with_the_fleet():
    """Guards against a full mesh, whose cost is quadratic in the fleet."""
    assert max(count_links(300)) <= 64
    means = {size: sum(count_links(size)) / size for size in (300, 1400)}
    assert means[1400] <= means[300] * log2(1400) / log2(300)


def test_callers_of_a_service_are_spread_over_its_targets():
    """Guards against targets that many more daemons choose than others."""
    records = make_records(300)
    callers = Counter()
    for own in range(len(records)):
        plan, directory = make_plan(records, own)
        callers.update(
            peer.record.address for peer in subset(plan, directory, "catalogue")
        )
    targets = [r.address for r in records if r.service == "catalogue"]
    mean = sum(callers[address] for address in targets) / len(targets)
    assert mean <= MAX_CALLERS
    assert all(callers[address] >= 0.25 * mean for address in targets)
    assert all(callers[address] <= 2.0 * mean for address in targets)


def test_targets_nearby_are_chosen_first():
    """Guards against calls that leave a failure domain with enough targets."""
    plan, directory = make_plan(make_records(200))
    near = [
        peer.record.failure_domain == "a"
        for peer in subset(plan, directory, "catalogue")
    ]
    assert near.count(True) >= 5
    assert 1 <= near.count(False) <= 2


def test_targets_elsewhere_replace_an_evacuated_failure_domain():
    """Guards against a daemon without targets after an evacuation."""
    plan, directory = make_plan(make_records(200))
    link_all(directory)
    for peer in directory:
        if peer.record.failure_domain == "a":
            peer.update_report(make_report(GateState.EVACUATED), 0.0)
    open_peers = [
        peer
        for peer in subset(plan, directory, "catalogue")
        if peer.record.failure_domain != "a"
    ]
    assert len(open_peers) >= 5


def test_failed_targets_are_replaced():
    """Guards against a subset that has lost its targets."""
    plan, directory = make_plan(make_records(200))
    link_all(directory)
    first = subset(plan, directory, "catalogue")
    for peer in first:
        peer.linked, peer.report, peer.missing_since_s = False, None, 0.0
    replaced = subset(plan, directory, "catalogue", now_s=5.0)
    assert len([peer for peer in replaced if peer not in first]) >= 5


def test_subset_grows_while_its_targets_are_full_and_shrinks_after():
    """Guards against a few full targets while others are free."""
    plan, directory = make_plan(make_records(300))
    before = len(subset(plan, directory, "catalogue"))
    now_s = 0.0
    while now_s < 20.0:
        plan.target_full("catalogue", now_s)
        now_s += 0.1
    grown = len(subset(plan, directory, "catalogue", now_s))
    assert before + 8 <= grown <= before + 2 * MAX_GROWTH
    while now_s < 20.0 + (MAX_GROWTH + 1) * SHRINK_AFTER_S:
        plan.wanted(now_s)
        now_s += 1.0
    assert len(subset(plan, directory, "catalogue", now_s)) == before


def test_daemon_is_linked_to_both_versions_during_a_move():
    """Guards against a new version that gets no calls."""
    plan, directory = make_plan(make_records(200))
    link_all(directory)
    for number, peer in enumerate(directory):
        version = "v2" if number % 2 else "v1"
        peer.update_report(make_report(version=version), 0.0)
    order = MoveOrder(service="catalogue", version="v2", duration_s=16.0)
    plan.set_orders({"catalogue": order})
    versions = Counter(p.version for p in subset(plan, directory, "catalogue"))
    assert versions["v1"] >= 4
    assert versions["v2"] >= 4


def test_gates_of_a_moving_service_are_linked_to_those_who_decide():
    """Guards against moves that are decided from some of the runs."""
    records = make_records(200)
    order = MoveOrder(service="catalogue", version="v2", duration_s=16.0)
    chosen = set()
    for own in (0, 5, 10):
        plan, directory = make_plan(records, own)
        plan.set_orders({"catalogue": order})
        writers = choose_move_writers(directory, "catalogue")
        chosen.add(tuple(writers))
        assert plan.wanted(0.0) >= set(writers) - {records[own].address}
    assert len(chosen) == 1


def test_ring_passes_neighbours_that_cannot_be_reached():
    """Guards against changes that stop at a daemon that has ended."""
    plan, directory = make_plan(make_records(200))
    first = plan.neighbours(0.0)
    for address in first:
        directory.by_address(address).missing_since_s = 0.0
    behind = plan.neighbours(5.0)
    assert set(first) < set(behind)
    assert len(behind) <= 4 * len(first)


def test_links_to_unused_services_are_given_up():
    """Guards against links to all services of a large configuration."""
    plan, directory = make_plan(make_records(200))
    plan.set_services([*SHARES, *(f"s{n}" for n in range(33))])
    assert subset(plan, directory, "stock") == []
    assert plan.use("stock", 0.0)
    assert not plan.use("stock", 1.0)
    assert subset(plan, directory, "stock", 1.0)
    assert subset(plan, directory, "stock", 120.0) == []
