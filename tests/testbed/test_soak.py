"""Tests of the soak test under faults and of its parts."""

from random import Random

import pytest
import trio
from httpcore import AsyncConnectionPool, NetworkError, ProtocolError

from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import MoveProgress, OrderState
from catkinhollow.platform.object_store import PlatformStore
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import free_ports
from catkinhollow.testbed.soak import Soak
from catkinhollow.testbed.soak_faults import MAX_FAULT_S, plan_faults
from catkinhollow.testbed.soak_ledger import RECOVERY_S, SoakLedger

# Seeds that found a fault:
# 12: a gate stayed open after its target behind a proxy had ended.
# 43 (6 daemons, 20 s): a request that raced the close of its connection was
#     reported as lost; see the test of that race.
# 231 (6 daemons, 20 s): a request was lost at a daemon that was stopped, once
#     in four plays; suspected is one that was read in its last moment.
# The others make up two minutes of faults together.
CI_RUNS = (
    (12, 4, 10.0),
    (43, 6, 20.0),
    (231, 6, 20.0),
    (101, 6, 30.0),
    (102, 6, 30.0),
    (103, 6, 30.0),
)


@pytest.mark.processes
@pytest.mark.parametrize(("seed", "daemons", "seconds"), CI_RUNS)
async def test_daemons_keep_the_call_invariants_under_faults(
    seed, daemons, seconds, tmp_path
):
    """Guards against lost, duplicate or late requests when faults overlap."""
    soak = Soak(seed, daemons=daemons, seconds=seconds, directory=tmp_path)
    result = await soak.run()
    assert result.faults
    assert result.statuses[200] > 0
    assert result.violations == []


def test_same_seed_gives_the_same_faults_and_all_end():
    """Guards against a failed seed that can't be reproduced."""
    names = ["d0", "d1", "d2"]
    first = plan_faults(Random(3), names, 60.0)
    assert first == plan_faults(Random(3), names, 60.0)
    assert first
    assert all(fault.end_s <= 60.0 for fault in first)
    assert all(fault.duration_s <= MAX_FAULT_S for fault in first)


def make_ledger(*, runs, status, unsafe=True, ended_s=0.5):
    ledger = SoakLedger(1.5)
    ledger.record_request("r", "d0", unsafe=unsafe, now_s=0.0)
    for _ in range(runs):
        ledger.record_run("r")
    ledger.record_response("r", status, ended_s)
    # One call after the recovery succeeds.
    ledger.record_request("last", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.record_run("last")
    ledger.record_response("last", 200, RECOVERY_S + 1.1)
    return ledger


@pytest.mark.parametrize(
    ("runs", "status", "unsafe", "ended_s", "expected"),
    [
        (1, 200, True, 0.5, ""),
        (2, 200, True, 0.5, "duplicate"),
        (2, 200, False, 0.5, ""),
        (1, 503, True, 0.5, "false refusal"),
        (0, 503, True, 0.5, ""),
        (0, 200, True, 0.5, "false answer"),
        (1, 0, True, 0.5, "lost"),
        (1, 504, True, 3.5, "late"),
        (1, 502, True, 0.5, ""),
    ],
)
def test_each_violation_is_reported(runs, status, unsafe, ended_s, expected):
    """Guards against a soak test that passes in spite of violations."""
    ledger = make_ledger(runs=runs, status=status, unsafe=unsafe, ended_s=ended_s)
    found = ledger.find_violations(0.0)
    assert [line.partition(":")[0] for line in found] == (
        [expected] if expected else []
    )


def test_killed_daemon_may_lose_its_open_requests():
    """Guards against reported violations that no daemon can prevent."""
    ledger = make_ledger(runs=1, status=0)
    ledger.record_outage("d0", 0.4, 2.0)
    assert ledger.find_violations(0.0) == []
    # An outage does not excuse a duplicate run.
    duplicate = make_ledger(runs=2, status=0)
    duplicate.record_outage("d0", 0.4, 2.0)
    assert len(duplicate.find_violations(0.0)) == 1


@pytest.mark.parametrize(
    ("runs", "ended_s", "lost"), [(0, 0.2, False), (1, 0.2, True), (0, 1.2, True)]
)
def test_only_a_request_that_races_the_close_may_get_no_response(runs, ended_s, lost):
    """Guards against requests that a daemon reads at shutdown and drops.

    Only an unread request may be lost. Seed 43: a request was sent while the
    daemon closed its connections, 1 s before its process ended; it was never
    read and never ran.
    """
    ledger = make_ledger(runs=runs, status=0, ended_s=ended_s)
    ledger.record_shutdown("d0", -2.0, 1.0)
    assert bool(ledger.find_violations(0.0)) is lost


def test_requests_during_a_stall_of_the_test_process_are_not_late():
    """Guards against reported delays that the test process itself caused."""
    ledger = make_ledger(runs=1, status=504, ended_s=3.5)
    ledger.record_stall(1.0, 2.6)
    assert ledger.find_violations(0.0) == []


def test_fleet_that_does_not_recover_is_reported():
    """Guards against a soak test that misses daemons without recovery."""
    ledger = make_ledger(runs=1, status=200)
    ledger.record_request("bad", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.record_response("bad", 503, RECOVERY_S + 1.1)
    assert ledger.find_violations(0.0)[0].startswith("recovery")


async def serve(nursery, app):
    port = free_ports(1)[0]
    await nursery.start(serve_on_loopback, app, port)
    return port


async def test_stand_in_store_serves_the_client(nursery):
    """Guards against a stand-in with responses that the client rejects."""
    app = StandInStore()
    port = await serve(nursery, app)
    store = PlatformStore(f"127.0.0.1:{port}")
    spec = {"service": "stock", "target_version": "v2", "duration_s": 9}
    app.write("orders", "stock", spec)
    listing = (await store.list_objects("orders")).ok
    assert [item.name for item in listing.objects] == ["stock"]
    progress = MoveProgress(version="v2", state=OrderState.RUNNING, percent=4.0)
    revision = listing.objects[0].revision
    written = await store.put("orders", "stock", progress, if_revision=revision)
    assert written.is_ok()
    again = await store.put("orders", "stock", progress, if_revision=revision)
    assert again.error.kind is StoreErrorKind.CONFLICT
    seen = await store.watch("orders", after=listing.revision, wait_s=1.0)
    assert seen.ok.objects[0].value.status["percent"] == 4.0
    app.remove("orders", "stock")
    gone = await store.watch("orders", after=seen.ok.revision, wait_s=1.0)
    assert gone.ok.objects[0].deleted
    app.down = True
    assert (await store.list_objects("orders")).is_error()


async def test_proxy_blocks_traffic_and_resets_connections(nursery):
    """Guards against faults that are not applied."""
    app = StandInStore()
    server_port = await serve(nursery, app)
    proxy_port = free_ports(1)[0]
    proxy = LoopbackProxy(server_port)
    await nursery.start(proxy.serve, proxy_port)
    url = f"http://127.0.0.1:{proxy_port}/objects/config"
    async with AsyncConnectionPool() as pool:
        assert (await pool.request("GET", url)).status == 200
        proxy.silent = True
        with trio.move_on_after(0.3) as scope:
            await pool.request("GET", url)
        assert scope.cancelled_caught
        proxy.silent = False
        assert (await pool.request("GET", url)).status == 200
        proxy.reset()
        await trio.sleep(0.1)
        with pytest.raises((NetworkError, ProtocolError)):
            async with AsyncConnectionPool() as other:
                proxy.silent = True
                nursery.start_soon(_reset_soon, proxy)
                await other.request("GET", url)


async def _reset_soon(proxy):
    await trio.sleep(0.2)
    proxy.reset()
