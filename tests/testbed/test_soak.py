"""Tests of the fault soak and of what it is made of."""

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

# Seeds that have found a fault:
# 12: a target that had ended behind a proxy kept its gate open.
# 43 (6 daemons, 20 s): a request that crossed the close of its connection was
#     called lost; see the test of crossing requests.
CI_SEEDS = (12,)


@pytest.mark.processes
@pytest.mark.parametrize("seed", CI_SEEDS)
async def test_daemons_keep_their_promises_under_faults(seed, tmp_path):
    """Guards against lost, doubled or late requests when faults overlap."""
    soak = Soak(seed, daemons=4, seconds=10.0, directory=tmp_path)
    result = await soak.run()
    assert result.faults
    assert result.statuses[200] > 0
    assert result.violations == []


def test_same_seed_plans_the_same_faults_and_ends_them():
    """Guards against a failed seed that can't be played again."""
    names = ["d0", "d1", "d2"]
    first = plan_faults(Random(3), names, 60.0)
    assert first == plan_faults(Random(3), names, 60.0)
    assert first
    assert all(fault.end_s <= 60.0 for fault in first)
    assert all(fault.for_s <= MAX_FAULT_S for fault in first)


def make_ledger(*, runs, status, unsafe=True, ended_s=0.5):
    ledger = SoakLedger(1.5)
    ledger.sent("r", "d0", unsafe=unsafe, now_s=0.0)
    for _ in range(runs):
        ledger.ran("r")
    ledger.answered("r", status, ended_s)
    # One call after the recovery succeeds.
    ledger.sent("last", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.ran("last")
    ledger.answered("last", 200, RECOVERY_S + 1.1)
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
def test_each_broken_promise_is_named(runs, status, unsafe, ended_s, expected):
    """Guards against a soak that passes whatever happens."""
    ledger = make_ledger(runs=runs, status=status, unsafe=unsafe, ended_s=ended_s)
    found = ledger.broken_promises(0.0)
    assert [line.partition(":")[0] for line in found] == (
        [expected] if expected else []
    )


def test_daemon_that_was_killed_may_lose_its_open_requests():
    """Guards against blame for what no daemon can prevent."""
    ledger = make_ledger(runs=1, status=0)
    ledger.away("d0", 0.4, 2.0)
    assert ledger.broken_promises(0.0) == []
    # A doubled run has no excuse.
    doubled = make_ledger(runs=2, status=0)
    doubled.away("d0", 0.4, 2.0)
    assert len(doubled.broken_promises(0.0)) == 1


@pytest.mark.parametrize(
    ("runs", "ended_s", "lost"), [(0, 0.2, False), (1, 0.2, True), (0, 1.2, True)]
)
def test_only_a_request_that_crosses_the_close_may_get_no_answer(runs, ended_s, lost):
    """Guards against requests that an ending daemon takes and drops.

    Seed 43: a request was sent while the daemon closed its connections, 1 s
    before the end of its process; it was never read and never ran.
    """
    ledger = make_ledger(runs=runs, status=0, ended_s=ended_s)
    ledger.ending("d0", -2.0, 1.0)
    assert bool(ledger.broken_promises(0.0)) is lost


def test_time_in_which_the_observer_was_held_up_proves_no_delay():
    """Guards against late answers that nobody was there to take."""
    ledger = make_ledger(runs=1, status=504, ended_s=3.5)
    ledger.stalled(1.0, 2.6)
    assert ledger.broken_promises(0.0) == []


def test_fleet_that_stays_broken_is_named():
    """Guards against a soak that ends before the daemons have recovered."""
    ledger = make_ledger(runs=1, status=200)
    ledger.sent("bad", "d0", unsafe=False, now_s=RECOVERY_S + 1.0)
    ledger.answered("bad", 503, RECOVERY_S + 1.1)
    assert ledger.broken_promises(0.0)[0].startswith("recovery")


async def serve(nursery, app):
    port = free_ports(1)[0]
    await nursery.start(serve_on_loopback, app, port)
    return port


async def test_stand_in_store_serves_the_client(nursery):
    """Guards against a stand-in that differs from what the client expects."""
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


async def test_proxy_holds_back_and_resets(nursery):
    """Guards against a disturbance that does not happen."""
    app = StandInStore()
    far = await serve(nursery, app)
    near = free_ports(1)[0]
    proxy = LoopbackProxy(far)
    await nursery.start(proxy.serve, near)
    url = f"http://127.0.0.1:{near}/objects/config"
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
