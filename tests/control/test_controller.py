"""Tests of single cases of the controller, in virtual time."""

import trio

from catkinhollow.clock import TrioClock
from catkinhollow.codec import to_plain
from catkinhollow.control.controller import Controller
from catkinhollow.generated.fleet import Fleet, MoveState, Service, Snapshot
from catkinhollow.generated.settings import LeaseSettings
from catkinhollow.timer import Timer
from tests.controller_simulation import OLD_ONLY, Call, ControllerSimulation, window


def run_until_paused(world, call):
    world.outcome_call, world.outcome = call, "pause"
    while not world.daemons[0].paused:
        world.run_all(1)


def test_holder_paused_before_it_reads_the_split_writes_nothing():
    """Guards against a split read after the term and then raised again."""
    world = ControllerSimulation()
    world.start_move(60)
    world.run_all(3)
    assert world.percent == 1.0
    run_until_paused(world, ("get", "config"))
    assert world.move.percent == 5.0
    world.cancel_move()
    world.preferred = {1}
    world.run_all(15)
    assert world.move.state == MoveState.CANCELLED
    world.resume(world.daemons[0])
    assert world.percent == 0.0


def test_quarantine_does_not_wait_for_the_store():
    """Guards against a bad version that stays in use in an outage."""
    world = ControllerSimulation(count=1)
    world.start_move(300)
    world.run_all(3)
    run_until_paused(world, ("list", "moves"))
    daemon = world.daemons[0]
    for _ in range(8):
        world.clock.now_s += 5.0
        daemon.counts += window(0.5)
        daemon.controller.tick()
    assert not daemon.controller.may_decide
    assert [item.version for item in world.quarantines] == ["new"]
    world.resume(daemon)
    world.run_all(15)
    assert world.move.state == MoveState.WITHDRAWN
    assert world.move.reason == world.quarantines[0].reason


def test_other_writers_split_is_replaced():
    """Guards against a fleet file that undoes the split of a running move."""
    world = ControllerSimulation(count=1)
    world.start_move(300)
    world.run_all(3)
    fleet = Fleet(services=[Service(name="orders", split=OLD_ONLY)])
    revision = world.store.write("config", "fleet", to_plain(fleet)).revision
    snapshot = Snapshot(revision=revision, fleet=fleet)
    world.daemons[0].controller.on_snapshot(snapshot)
    world.run_all(2)
    assert world.percent == 1.0


def test_older_view_does_not_start_an_ended_move_again():
    """Guards against a split that follows an outdated answer of the store."""
    world = ControllerSimulation(count=1)
    world.start_move(60)
    while world.move.state != MoveState.DONE:
        world.run_all(1)
    world.outcome_call, world.outcome = ("list", "moves"), "old view"
    world.run_all(4)
    assert world.outcome_call is None
    assert world.percent == 100.0


def test_daemon_that_is_preferred_again_drives_the_same_move():
    """Guards against a move that stands still after an election and back."""
    world = ControllerSimulation(count=1)
    world.start_move(60)
    world.run_all(3)
    world.preferred = set()
    world.run_all(5)
    world.preferred = {0}
    world.run_all(80)
    assert world.move.state == MoveState.DONE


class DirectCalls:
    """Answer each call after a short time."""

    def __init__(self, store):
        self._store = store

    async def get(self, kind, name):
        return await self._answer(Call("get", kind, name))

    async def list_objects(self, kind):
        return await self._answer(Call("list", kind))

    async def put(self, kind, name, value, *, if_revision):
        return await self._answer(Call("put", kind, name, value, if_revision))

    async def _answer(self, call):
        await trio.sleep(0.01)
        return self._store.carry_out(call)


async def test_run_ends_a_move_and_logs_it_once(autojump_clock, nursery, caplog):
    """Guards against tasks that do not wake, and repeated or missing ends."""
    caplog.set_level("INFO", "absl")
    world = ControllerSimulation(count=0)
    timer = Timer(TrioClock())
    source = world.make_daemon(0)
    controller = Controller(
        holder="a",
        store=DirectCalls(world.store),
        clock=timer.clock,
        settings=LeaseSettings(),
        is_preferred=lambda: True,
        evidence=source,
        capacity=source,
        quarantine=world.quarantines.append,
    )
    world.clock.now_s = timer.clock.unix_ms() / 1000
    world.start_move(3600)
    nursery.start_soon(controller.run, timer)
    nursery.start_soon(timer.run)
    await trio.sleep(30)
    assert world.percent == 1.0
    world.cancel_move()
    await trio.sleep(30)
    assert world.percent == 0.0
    ends = [entry.fields for entry in caplog.records if entry.message == "move ended"]
    assert ends == [
        {
            "module": "catkinhollow.control.controller",
            "service": "orders",
            "version": "new",
            "operator": "anna",
            "state": "cancelled",
            "reason": "",
        }
    ]
