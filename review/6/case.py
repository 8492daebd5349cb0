"""Run orders while the last frames of a killed daemon arrive late."""

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins_2 import (  # noqa: E402
    CannotRunError,
    Client,
    PeerProxy,
    configuration,
    route,
    run_case,
)

# m1 is cut off from the other machines from 0 s to CUT_S, and again from
# SECOND_CUT_S on for SECOND_S. Bytes that the first cut holds up are sent
# again by the kernel 0.2, 0.6, 1.4, 3.0 and 6.2 s after its begin, so that
# they arrive at RETRANSMIT_S. New connections work as soon as a cut has ended.
CUT_S = 3.1
KILL_S = 2.6
ORDER_S = 5.9
RETRANSMIT_S = 6.2
SECOND_CUT_S = 6.5
SECOND_S = 1.5
SECOND_RETRANSMIT_S = 1.9
WORK_S = 1.0
EARLIER_ORDERS = 10
EARLIER_GAP_S = 0.2
ORDERS = 8

Held = list[tuple[PeerProxy, list[int]]]


class Case:
    """Hold the deployment, the paths between its machines and the orders."""

    def __init__(self, world) -> None:
        self.world = world
        self.paths: list[PeerProxy] = []
        self.sent: list[tuple[str, str]] = []
        self._start_s = 0.0

    async def start(self) -> None:
        """Start three machines whose links lead through proxies."""
        world = self.world
        plan = [("m1", "a", "catalogue"), ("m2", "b", "orders"), ("m3", "c", "orders")]
        await world.start(plan, start_daemons=False)
        self.paths = [PeerProxy(machine, world.record) for machine in world.machines]
        for path in self.paths:
            await path.start()
        for name in ("m2", "m3"):
            world.upstreams[name].work_s = WORK_S
        routes = [route("place", "/orders/", "unsafe", "orders", 4000)]
        services = ["orders", "catalogue"]
        world.store.operator_put("config", "main", configuration(1, routes, services))
        for machine in world.machines:
            await world.start_machine(machine)
        await world.wait_ready()
        await asyncio.sleep(2.0)

    def begin(self) -> None:
        """Count the times of the case from now on."""
        self._start_s = self.world.record.now_s

    async def at(self, offset_s: float) -> None:
        """Wait until this long after the begin."""
        left_s = self._start_s + offset_s - self.world.record.now_s
        await asyncio.sleep(max(0.0, left_s))

    async def order(self, offset_s: float = 0.0) -> None:
        """Place an order at m1, this long after the begin."""
        await self.at(offset_s)
        client = Client(self.world.machines[0], self.world.record)
        self.sent.append(
            await client.request(
                "POST", "/orders/1", deadline_ms=4000, body=b"o" * 300, limit_s=5.0
            )
        )
        client.close()

    def cut(self) -> Held:
        """Cut m1 off; return the connections that are held up."""
        m1 = self.world.machines[0]
        held = [(self.paths[0], self.paths[0].open())]
        held += [(path, path.open_from(m1)) for path in self.paths[1:]]
        for path, numbers in held:
            path.cut(numbers)
        return held

    def heal(self) -> None:
        """Let new connections through again."""
        for path in self.paths:
            path.heal()

    async def first_cut(self) -> Held:
        """Cut m1 off and kill its daemon meanwhile."""
        held = self.cut()
        await self.at(KILL_S)
        self.world.machines[0].send(signal.SIGKILL)
        await self.at(CUT_S)
        self.heal()
        return held

    async def second_cut(self, held: Held) -> None:
        """Deliver what the first cut held up, then cut m1 off once more."""
        await self.at(RETRANSMIT_S)
        release(held)
        await self.at(SECOND_CUT_S)
        held = self.cut()
        await self.at(SECOND_CUT_S + SECOND_S)
        self.heal()
        await self.at(SECOND_CUT_S + SECOND_RETRANSMIT_S)
        release(held)


def release(held: Held) -> None:
    """Deliver what the connections hold."""
    for path, numbers in held:
        path.release(numbers)


async def run(world, trouble: bool) -> int:
    """Run the case and return its exit code."""
    case = Case(world)
    await case.start()
    await asyncio.gather(*(case.order() for _ in range(4)))
    if any(outcome != "200" for _, outcome in case.sent):
        raise CannotRunError("orders fail before the disruption")
    case.begin()
    # Ordinary orders go on; some of their calls are held up by the cut.
    orders = [
        asyncio.ensure_future(case.order(EARLIER_GAP_S * number))
        for number in range(EARLIER_ORDERS)
    ]
    held = await case.first_cut() if trouble else []
    await case.at(ORDER_S)
    if await world.machines[0].ask_ready() != 200:
        raise CannotRunError("the daemon of m1 is not back in time")
    orders += [asyncio.ensure_future(case.order()) for _ in range(ORDERS)]
    if trouble:
        await case.second_cut(held)
    await asyncio.gather(*orders)
    await asyncio.sleep(2 * WORK_S)
    return judge(world, case.sent)


def judge(world, sent: list[tuple[str, str]]) -> int:
    """Return 1 if an order ran twice or was falsely refused, 0 otherwise."""
    runs: Counter = Counter()
    for upstream in world.upstreams.values():
        runs.update(upstream.runs)
    twice = [(one, outcome) for one, outcome in sent if runs[one] > 1]
    refused = [one for one, outcome in sent if outcome in ("429", "503") and runs[one]]
    say = world.record.say
    for one, outcome in twice:
        say(f"TWICE: order {one} ran {runs[one]} times, answered {outcome}")
    for one in refused:
        say(f"REFUSED: order {one} was answered 503 and ran")
    outcomes = dict(Counter(outcome for _, outcome in sent))
    say(
        f"{len(sent)} orders, answers {outcomes}, "
        f"{len(twice)} ran twice, {len(refused)} falsely refused"
    )
    return 1 if twice or refused else 0


run_case(run, str(FOLDER))
