"""Tests of faults on real processes on loopback."""

import signal
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest
import trio
from attrs import evolve

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.generated.fleet import Fleet
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.testbed.audit import audit
from catkinhollow.testbed.callers import CallerGroup, CallKind, CallLog, CallResult
from catkinhollow.testbed.cluster import Cluster, NodeSpec

EXAMPLE = Path(__file__).parent.parent / "examples" / "consortium"
ORDER = CallKind(
    name="order", method="POST", path="/orders", weight=1, worth=10, idempotent=False
)
SLOW_ORDER = evolve(ORDER, path="/orders?work_ms=1500")
LIMIT_S = 40.0

pytestmark = pytest.mark.processes


def make_specs(count):
    return [
        NodeSpec(
            name=f"orders-{index}",
            service="orders",
            version="v1",
            failure_domain=f"windhoek-{'abc'[index % 3]}",
            target_options={"service-ms": "5", "warmup-s": "0"},
        )
        for index in range(count)
    ]


@asynccontextmanager
async def running_cluster(directory, count=3):
    cluster = Cluster(directory, region="windhoek")
    try:
        cluster.start_store()
        with trio.fail_after(LIMIT_S):
            while not await cluster.request("GET", cluster.store, "/counters"):
                await trio.sleep(0.1)
        files = [str(EXAMPLE / "fleet.yaml"), str(EXAMPLE / "routes.yaml")]
        assert await cluster.run_command("apply", *files) == 0
        cluster.add(make_specs(count))
        assert await cluster.wait_ready(LIMIT_S)
        await wait_until(cluster, lambda status: len(status.members) == count)
        await wait_until(cluster, lambda status: all(m.targets for m in status.members))
        await wait_until(cluster, lambda status: status.controller is not None)
        yield cluster
    finally:
        with trio.CancelScope(shield=True):
            await cluster.stop()


async def wait_until(cluster, condition, skip=()):
    with trio.fail_after(LIMIT_S):
        for node in cluster.nodes.values():
            while node.spec.name not in skip:
                status = await cluster.status(node)
                if status is not None and condition(status):
                    break
                await trio.sleep(0.1)


async def change_defaults(cluster, **changes):
    host, _, port = cluster.store.rpartition(":")
    address = Address(host=host, port=int(port))
    store = HttpStoreClient(StoreSettings(address=address))
    stored = (await store.get("config", "fleet")).ok
    fleet = from_plain(stored.value, Fleet).ok
    changed = evolve(fleet, defaults=evolve(fleet.defaults, **changes))
    written = await store.put(
        "config", "fleet", to_plain(changed), if_revision=stored.revision
    )
    await store.aclose()
    return written.ok.revision


def make_callers(cluster, log, kind=ORDER, rate_per_s=60.0):
    def entries():
        return [node.traffic for node in cluster.nodes.values()]

    return CallerGroup(entries, [kind], rate_per_s, Random(7), log)


async def test_killed_daemon_loses_and_doubles_no_order(tmp_path):
    """Guards against lost or duplicated orders when an ingress daemon dies."""
    log = CallLog()
    async with running_cluster(tmp_path) as cluster:
        callers = make_callers(cluster, log)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            await trio.sleep(2)
            cluster.kill_daemon("orders-1")
            await trio.sleep(2)
            cluster.start_daemon(cluster.nodes["orders-1"])
            assert await cluster.wait_ready(LIMIT_S)
            await trio.sleep(1)
            callers.stop()
        report = audit(log, await cluster.executions())
    assert (report.lost, report.duplicated, report.wrong_answer) == (0, 0, 0)
    assert report.false_not_run == 0
    assert log.count(CallResult.OK) > 0.9 * report.requests > 100


@pytest.mark.parametrize(
    "later",
    [(), (signal.SIGTERM,), (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)],
)
async def test_shutdown_finishes_calls_in_flight(tmp_path, later):
    """Guards against a graceful shutdown that interrupts a request.

    Further signals must not cut it short.
    """
    log = CallLog()
    async with running_cluster(tmp_path) as cluster:
        # No slow start, so that eight slow calls find slots at the same time.
        revision = await change_defaults(cluster, slow_start_s=0, timeout_ms=9000)
        await wait_until(cluster, lambda status: status.enforced_revision >= revision)
        callers = make_callers(cluster, log)
        leaving = cluster.nodes["orders-0"]
        async with trio.open_nursery() as nursery:
            for _ in range(8):
                nursery.start_soon(callers.call, leaving.traffic, SLOW_ORDER)
            await trio.sleep(0.5)
            child = cluster.daemon("orders-0")
            child.send(signal.SIGTERM)
            for number in later:
                await trio.sleep(0.1)
                child.send(number)
            assert await child.wait(LIMIT_S)
        assert child.process.returncode == 0
    assert [record.result for record in log.records] == [CallResult.OK] * 8


async def test_paused_daemon_catches_up_and_never_goes_back(tmp_path):
    """Guards against a daemon that stays dead or outdated after a pause."""
    async with running_cluster(tmp_path) as cluster:
        paused = cluster.daemon("orders-2")
        paused.send(signal.SIGSTOP)
        revision = await change_defaults(cluster, timeout_ms=1900)
        await wait_until(
            cluster,
            lambda status: (
                status.enforced_revision >= revision
                and any(m.state == "dead" for m in status.members)
            ),
            skip=["orders-2"],
        )
        paused.send(signal.SIGCONT)
        await wait_until(
            cluster,
            lambda status: (
                status.enforced_revision >= revision
                and all(m.state == "alive" for m in status.members)
            ),
        )


async def test_accepted_change_spreads_while_the_store_is_away(tmp_path):
    """Guards against an accepted version that is lost in a store outage."""
    async with running_cluster(tmp_path) as cluster:
        revision = await change_defaults(cluster, timeout_ms=1800)
        await cluster.request("POST", cluster.store, "/faults", b'{"outage":"refuse"}')
        await wait_until(cluster, lambda status: status.enforced_revision >= revision)
        cluster.kill_daemon("orders-1")
        await cluster.daemon("orders-1").wait(LIMIT_S)
        cluster.start_daemon(cluster.nodes["orders-1"])
        assert await cluster.wait_ready(LIMIT_S)
        status = await cluster.status(cluster.nodes["orders-1"])
        assert status.enforced_revision >= revision


async def test_daemon_without_configuration_accepts_no_connection(tmp_path):
    """Guards against a daemon that accepts calls before it is configured."""
    cluster = Cluster(tmp_path, region="windhoek")
    try:
        node = cluster.add(make_specs(1))[0]
        with trio.fail_after(LIMIT_S):
            while not await cluster.request("GET", node.admin, "/health"):
                await trio.sleep(0.1)
        assert await cluster.request("GET", node.admin, "/health") == 503
        assert await cluster.request("GET", node.traffic, "/orders") == 0
        child = cluster.daemon("orders-0")
        child.send(signal.SIGTERM)
        assert await child.wait(LIMIT_S)
        assert child.process.returncode == 0
    finally:
        with trio.CancelScope(shield=True):
            await cluster.stop()
