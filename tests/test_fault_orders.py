"""Fault matrix of orders: each fault at each step of an order."""

from functools import partial

import pytest
import trio

from catkinhollow.generated.fleet import Defaults
from catkinhollow.generated.messages import TargetState
from tests.fault_table import ORDERS, list_cells
from tests.order_simulation import OrderSimulation

ORDERS_AT_ONCE = 6
KEY = b"key-1"


async def hang():
    await trio.sleep(60.0)


class FaultInjector:
    """Inject a fault the first few times that an order reaches a step."""

    def __init__(self, simulation, step, name, seed, clock):
        self.simulation, self.step, self.name, self.clock = (
            simulation,
            step,
            name,
            clock,
        )
        self.max_injections = 1 + 2 * seed
        self.injections = 0
        self.scope = trio.CancelScope()

    async def __call__(self, host):
        if self.injections >= self.max_injections:
            return None
        self.injections += 1
        return await getattr(self, "_" + self.name.replace("-", "_"))(host)

    async def _kill(self, host):
        self.scope.cancel()
        await trio.lowlevel.checkpoint()

    _restart = _kill

    async def _pause(self, host):
        self.clock.jump(30.0)

    async def _cut_link(self, host):
        """Drop everything that is sent from now on in this exchange."""
        if self.step == "order-connect":
            await hang()
        return "hang"

    async def _split(self, host):
        """Drop everything that is sent between the regions."""
        self.max_injections = 1000
        if int(host[1]) % 2 == 0:
            return None
        return await self._cut_link(host)

    async def _concurrent_update(self, host):
        """Enforce another version and drain a target during the order."""
        self.simulation.enforce(defaults=Defaults(timeout_ms=1000))
        if self.injections == 1:
            self.simulation.update_target(host, state=TargetState.DRAINING)

    async def _race(self, host):
        """Take a failure domain out and return it during the order."""
        self.simulation.enforce(failure_domains_out=["fd0"])
        self.simulation.enforce(failure_domains_out=[])

    async def _target_dies(self, host):
        if len(self.simulation.stopped_targets) < 2:
            self.simulation.stopped_targets.add(host)
        return "cut"

    async def _target_cold(self, host):
        """Refuse the request, or fail if the target has started it."""
        return "refuse" if self.step == "order-written" else "error"

    async def _cut_connection(self, host):
        return "cut"

    async def _wrong_answer(self, host):
        return "other"


@pytest.mark.parametrize(("step", "fault", "seed"), list_cells(ORDERS))
async def test_order(step, fault, seed, autojump_clock):
    """Guards against orders run twice, falsely "not run" or mixed up.

    Invariants 7, 8 and 9.
    """
    async with trio.open_nursery() as nursery:
        simulation = OrderSimulation(nursery, seed)
        injector = simulation.faults[step] = FaultInjector(
            simulation, step, fault, seed, autojump_clock
        )
        with injector.scope:
            async with trio.open_nursery() as callers:
                for number in range(ORDERS_AT_ONCE):
                    key = KEY + b"%d" % number if fault == "restart" else None
                    callers.start_soon(partial(simulation.place_order, number, key))
        assert injector.injections
        if fault in ("kill", "restart"):
            simulation.start_daemon()
        if fault == "restart":
            for number in range(ORDERS_AT_ONCE):
                await simulation.place_order(number, KEY + b"%d" % number)
        # Calls that start after the fault use the state that it left behind.
        simulation.faults.clear()
        for number in range(100, 100 + ORDERS_AT_ONCE):
            await simulation.place_order(number)
        simulation.check_orders()
        later = simulation.callers[-ORDERS_AT_ONCE:]
        assert sum(caller.response.status == 200 for caller in later) == ORDERS_AT_ONCE
        nursery.cancel_scope.cancel()
