"""Kill all daemons after a departure; an earlier report arrives late."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    CannotRunError,
    Client,
    System,
    Upstream,
    configuration,
    main,
    new_attempt,
)

CLIENTS = 10
WORK_S = 0.1
BUDGET_MS = 2500
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
# How late the report arrives that was sent before the departure.
REPORT_DELAY_S = 3.0
RESTART_S = 0.5
# How long the upstream serves after its departure; it "stays".
STAY_S = 12.0


async def restart_all(system: System) -> None:
    """Kill all daemons at the same moment and start them again."""
    for machine in system.machines:
        machine.send(signal.SIGKILL)
    for machine in system.machines:
        await machine.wait_for_end(5.0)
    await asyncio.sleep(RESTART_S)
    for machine in system.machines:
        machine.start()


async def case(system: System, trouble: bool) -> list[str]:
    """Return a line for each request that reached the upstream too late."""
    entry = system.add("sidecar-a-1", "catalogue", "a")
    gates = [system.add(f"sidecar-{zone}-2", "orders", zone) for zone in ("a", "b")]
    other = Upstream(system, entry, work_s=lambda _: WORK_S)
    leaving, staying = (
        Upstream(system, each, work_s=lambda _: WORK_S) for each in gates
    )
    for each in (other, leaving, staying):
        await each.start()
    orders = {
        "host": "orders.example",
        "path_prefix": "/orders/",
        "kind": "unsafe",
        "timeout_ms": 1200,
        "target_latency_ms": 600,
        "service": "orders",
    }
    await system.start(configuration(orders, services=["catalogue", "orders"]))
    tasks = [asyncio.create_task(each.announce()) for each in (other, staying)]
    reports = asyncio.create_task(leaving.announce())
    await asyncio.sleep(STABLE_WINDOW_S + 1.0)
    sent: dict[str, float] = {}
    statuses: dict[str, int] = {}

    async def order() -> None:
        client = Client(system, entry.address("outbound"), "orders.example")
        while True:
            attempt = new_attempt()
            sent[attempt] = time.monotonic()
            answer = await client.request(
                "POST", "/orders/x", attempt, BUDGET_MS, b"order"
            )
            statuses[attempt] = answer.status
            await asyncio.sleep(random.uniform(0.2, 0.4))

    tasks += [asyncio.create_task(order()) for _ in range(CLIENTS)]
    await asyncio.sleep(3.0)
    # The last report before the departure is on its way for some seconds.
    reports.cancel()
    late_report = leaving.report("ready")
    system.record.write("report sent, arrives late", upstream=leaving.lifetime)
    arrives_s = time.monotonic() + REPORT_DELAY_S
    await asyncio.sleep(0.1)
    if not await leaving.send_departure():
        raise CannotRunError("the departure was not acknowledged")
    acked_s = time.monotonic()
    restarted_s = acked_s
    await asyncio.sleep(0.3)
    if trouble:
        await restart_all(system)
        restarted_s = time.monotonic()
    await asyncio.sleep(arrives_s - time.monotonic())
    await leaving.send_report(late_report)
    if trouble:
        await system.wait_until_ready(system.machines)
    await asyncio.sleep(max(0.0, acked_s + STAY_S - time.monotonic()))
    for task in tasks:
        task.cancel()
    in_touch_s = restarted_s + STABLE_WINDOW_S + 0.5
    late = {
        attempt: ran_s - acked_s
        for attempt, ran_s in leaving.run_times.items()
        if ran_s > acked_s + DRAIN_S and sent[attempt] > in_touch_s
    }
    served = sum(status == 200 for status in statuses.values())
    print(f"{len(statuses)} requests, {served} served, {len(late)} too late")
    return [
        f"DRAIN: {attempt} reached {leaving.lifetime} {after_s:.1f} s after the ack of"
        " its departure"
        for attempt, after_s in late.items()
    ]


main(case, str(Path(__file__).resolve().parent))
