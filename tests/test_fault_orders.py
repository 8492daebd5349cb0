"""The fault matrix, orders: each fault at each step of an order."""

from functools import partial

import pytest
import trio

from catkinhollow.generated.fleet import Defaults
from catkinhollow.generated.messages import TargetState
from tests.fault_table import ORDERS, cells
from tests.order_simulation import OrderSimulation

ORDERS_AT_ONCE = 6
KEY = b"key-1"


async def forever():
    await trio.sleep(60.0)


class Fault:
    """Meet the order at one step, the first few times it gets there."""

    def __init__(self, simulation, step, name, seed, clock):
        self.simulation, self.step, self.name, self.clock = (
            simulation,
            step,
            name,
            clock,
        )
        self.times = 1 + 2 * seed
        self.met = 0
        self.scope = trio.CancelScope()

    async def __call__(self, host):
        if self.met >= self.times:
            return None
        self.met += 1
        return await getattr(self, "_" + self.name.replace("-", "_"))(host)

    async def _kill(self, host):
        self.scope.cancel()
        await trio.lowlevel.checkpoint()

    _restart = _kill

    async def _pause(self, host):
        self.clock.jump(30.0)

    async def _cut_link(self, host):
        """Lose all that is sent from now on in this exchange."""
        if self.step == "order-connect":
            await forever()
        return "hang"

    async def _split(self, host):
        """Lose all that crosses the regions while the split lasts."""
        self.times = 1000
        if int(host[1]) % 2 == 0:
            return None
        return await self._cut_link(host)

    async def _crossed(self, host):
        """Enforce another version and a drained target in the middle."""
        self.simulation.enforce(defaults=Defaults(timeout_ms=1000))
        if self.met == 1:
            self.simulation.update_target(host, state=TargetState.DRAINING)

    async def _race(self, host):
        """Enforce a domain going out, and its return, in the middle."""
        self.simulation.enforce(failure_domains_out=["fd0"])
        self.simulation.enforce(failure_domains_out=[])

    async def _target_dies(self, host):
        if len(self.simulation.stopped_targets) < 2:
            self.simulation.stopped_targets.add(host)
        return "cut"

    async def _target_cold(self, host):
        """Shed the work, or fail if the target has begun it."""
        return "refuse" if self.step == "order-written" else "error"

    async def _cut_connection(self, host):
        return "cut"

    async def _wrong_answer(self, host):
        return "other"


@pytest.mark.parametrize(("step", "fault", "seed"), cells(ORDERS))
async def test_order(step, fault, seed, autojump_clock):
    """Guards against orders that run twice, falsely "not run" or crossed.

    Invariants 7, 8 and 9.
    """
    async with trio.open_nursery() as nursery:
        simulation = OrderSimulation(nursery, seed)
        met = simulation.faults[step] = Fault(
            simulation, step, fault, seed, autojump_clock
        )
        with met.scope:
            async with trio.open_nursery() as callers:
                for number in range(ORDERS_AT_ONCE):
                    key = KEY + b"%d" % number if fault == "restart" else None
                    callers.start_soon(partial(simulation.place_order, number, key))
        assert met.met
        if fault in ("kill", "restart"):
            simulation.start_daemon()
        if fault == "restart":
            for number in range(ORDERS_AT_ONCE):
                await simulation.place_order(number, KEY + b"%d" % number)
        # Calls that begin after the fault use what it left behind.
        simulation.faults.clear()
        for number in range(100, 100 + ORDERS_AT_ONCE):
            await simulation.place_order(number)
        simulation.check_orders()
        later = simulation.callers[-ORDERS_AT_ONCE:]
        assert sum(caller.response.status == 200 for caller in later) == ORDERS_AT_ONCE
        nursery.cancel_scope.cancel()
