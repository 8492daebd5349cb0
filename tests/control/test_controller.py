"""Tests of individual controller scenarios in virtual time."""

import trio

from catkinhollow.clock import TrioClock
from catkinhollow.codec import to_plain
from catkinhollow.control.controller import Controller
from catkinhollow.generated.fleet import Fleet, MoveState, Service, Snapshot
from catkinhollow.generated.settings import LeaseSettings
from catkinhollow.timer import Timer
from tests.controller_simulation import OLD_ONLY, Call, ControllerSimulation, window


def run_until_paused(simulation, call):
    simulation.outcome_call, simulation.outcome = call, "pause"
    while not simulation.daemons[0].paused:
        simulation.run_all(1)


def test_holder_paused_before_reading_the_split_writes_nothing():
    """Guards against a former holder that raises the share again.

    The holder is paused before it reads the split and resumes after its term,
    when another daemon has already cancelled the move.
    """
    simulation = ControllerSimulation()
    simulation.start_move(60)
    simulation.run_all(3)
    assert simulation.percent == 1.0
    run_until_paused(simulation, ("get", "config"))
    assert simulation.move.percent == 5.0
    simulation.cancel_move()
    simulation.preferred = {1}
    simulation.run_all(15)
    assert simulation.move.state == MoveState.CANCELLED
    simulation.resume(simulation.daemons[0])
    assert simulation.percent == 0.0


def test_quarantine_does_not_wait_for_the_store():
    """Guards against a bad version that keeps its traffic during an outage."""
    simulation = ControllerSimulation(count=1)
    simulation.start_move(300)
    simulation.run_all(3)
    run_until_paused(simulation, ("list", "moves"))
    daemon = simulation.daemons[0]
    for _ in range(8):
        simulation.clock.now_s += 5.0
        daemon.counts += window(0.5)
        daemon.controller.tick()
    assert not daemon.controller.may_decide
    assert [item.version for item in simulation.quarantines] == ["new"]
    simulation.resume(daemon)
    simulation.run_all(15)
    assert simulation.move.state == MoveState.WITHDRAWN
    assert simulation.move.reason == simulation.quarantines[0].reason


def test_other_writers_split_is_replaced():
    """Guards against an applied fleet file that resets the split of a move."""
    simulation = ControllerSimulation(count=1)
    simulation.start_move(300)
    simulation.run_all(3)
    fleet = Fleet(services=[Service(name="orders", split=OLD_ONLY)])
    revision = simulation.store.write("config", "fleet", to_plain(fleet)).revision
    snapshot = Snapshot(revision=revision, fleet=fleet)
    simulation.daemons[0].controller.on_snapshot(snapshot)
    simulation.run_all(2)
    assert simulation.percent == 1.0


def test_older_view_does_not_start_an_ended_move_again():
    """Guards against a split derived from an outdated list of moves."""
    simulation = ControllerSimulation(count=1)
    simulation.start_move(60)
    while simulation.move.state != MoveState.DONE:
        simulation.run_all(1)
    simulation.outcome_call, simulation.outcome = ("list", "moves"), "old view"
    simulation.run_all(4)
    assert simulation.outcome_call is None
    assert simulation.percent == 100.0


def test_daemon_that_is_preferred_again_drives_the_same_move():
    """Guards against a move that stalls after its daemon is elected again."""
    simulation = ControllerSimulation(count=1)
    simulation.start_move(60)
    simulation.run_all(3)
    simulation.preferred = set()
    simulation.run_all(5)
    simulation.preferred = {0}
    simulation.run_all(80)
    assert simulation.move.state == MoveState.DONE


class DelayedStoreClient:
    """Execute each store call after a short delay."""

    def __init__(self, store):
        self._store = store

    async def get(self, kind, name):
        return await self._execute(Call("get", kind, name))

    async def list_objects(self, kind):
        return await self._execute(Call("list", kind))

    async def put(self, kind, name, value, *, if_revision):
        return await self._execute(Call("put", kind, name, value, if_revision))

    async def _execute(self, call):
        await trio.sleep(0.01)
        return self._store.carry_out(call)


async def test_run_ends_a_move_and_logs_it_once(autojump_clock, nursery, caplog):
    """Guards against tasks that do not wake and an end not logged once."""
    caplog.set_level("INFO", "absl")
    simulation = ControllerSimulation(count=0)
    timer = Timer(TrioClock())
    source = simulation.make_daemon(0)
    controller = Controller(
        holder="a",
        store=DelayedStoreClient(simulation.store),
        clock=timer.clock,
        settings=LeaseSettings(),
        is_preferred=lambda: True,
        evidence=source,
        capacity=source,
        quarantine=simulation.quarantines.append,
    )
    simulation.clock.now_s = timer.clock.unix_ms() / 1000
    simulation.start_move(3600)
    nursery.start_soon(controller.run, timer)
    nursery.start_soon(timer.run)
    await trio.sleep(30)
    assert simulation.percent == 1.0
    simulation.cancel_move()
    await trio.sleep(30)
    assert simulation.percent == 0.0
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
