"""Kill one daemon while calls of its clients wait at the gates of others."""

import asyncio
import random
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    Client,
    Machine,
    System,
    Upstream,
    configuration,
    main,
    new_attempt,
)

# The class insert-pack of the site nrc-shared-large, with the slots of
# nrc-shared.
PACK_WORK_S = 0.204
PACKS = {
    "host": "packs.example",
    "path_prefix": "/packs/",
    "kind": "download",
    "timeout_ms": 2750,
    "target_latency_ms": 1473,
    "service": "stock",
}
PACK_BUDGET_S = 5.618
# Clients of the machine whose daemon is killed wait no longer than this.
SHORT_BUDGET_S = 0.5
MAX_TRIES = 3
CATALOGUE = {
    "host": "catalogue.example",
    "path_prefix": "/pages/",
    "kind": "safe",
    "timeout_ms": 1500,
    "target_latency_ms": 1004,
    "service": "catalogue",
}
PAGE_WORK_S = 0.264
PAGE_BUDGET_MS = 3191
SHORT_CLIENTS = 14
OTHER_CLIENTS = 46
READERS = 12
KILLS = 8
DOWN_S = 2.0
CALM_S = 4.0
RESTART_S = 0.5


class Watch:
    """Start daemons again that have ended by themselves."""

    def __init__(self, system: System, machines: list[Machine]) -> None:
        self._record, self._machines = system.record, machines
        self.ends: list[str] = []

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            for machine in self._machines:
                if machine.process is not None and machine.process.poll() is not None:
                    code = machine.process.returncode
                    self._record.write(
                        "process ended by itself", machine=machine.name, code=code
                    )
                    self.ends.append(machine.name)
                    await asyncio.sleep(RESTART_S)
                    machine.start()
            await asyncio.sleep(0.02)


async def keep_loading(
    system: System, machine: Machine, budget_s: float, statuses: Counter[int]
) -> None:
    """Load one pack after another; try again after a refusal."""
    client = Client(system, machine.address("outbound"), "packs.example")
    while True:
        end_s = time.monotonic() + budget_s
        for _ in range(MAX_TRIES):
            left_ms = int((end_s - time.monotonic()) * 1000)
            if left_ms <= 0:
                break
            answer = await client.request("GET", "/packs/x", new_attempt(), left_ms)
            statuses[answer.status] += 1
            if answer.status != 503:
                break
            client.close()
            wait_s = float(answer.headers.get("retry-after", "0.1"))
            await asyncio.sleep(min(wait_s, max(0.0, end_s - time.monotonic()) / 3))
        await asyncio.sleep(random.uniform(0.0, 0.2) if answer.status else 0.5)


async def keep_reading(
    system: System, machine: Machine, upstreams: list[Upstream], lost: list[str]
) -> None:
    """Read one page after another; note the requests without an answer."""
    client = Client(system, machine.address("outbound"), "catalogue.example")
    kept = False
    while True:
        attempt = new_attempt()
        answer = await client.request("GET", "/pages/x", attempt, PAGE_BUDGET_MS)
        ran = any(upstream.runs[attempt] for upstream in upstreams)
        if answer.status == 0 and kept and ran and "Timeout" not in answer.why:
            lost.append(f"{attempt} at {machine.name}")
        kept = answer.status != 0 and answer.headers.get("connection") != "close"
        await asyncio.sleep(random.uniform(0.0, 0.1) if kept else 0.25)


async def case(system: System, trouble: bool) -> list[str]:
    """Return a line for each request that was passed on and not answered."""
    killed = system.add("sidecar-a-1", "catalogue", "a")
    other = system.add("sidecar-b-1", "catalogue", "b")
    gate = system.add("sidecar-b-2", "stock", "b")
    upstreams = [
        Upstream(system, gate, work_s=lambda _: random.uniform(0.5, 1.5) * PACK_WORK_S)
    ]
    upstreams += [
        Upstream(system, machine, work_s=lambda _: PAGE_WORK_S, slots=READERS)
        for machine in (killed, other)
    ]
    for upstream in upstreams:
        await upstream.start()
    await system.start(configuration(PACKS, CATALOGUE, services=["catalogue", "stock"]))
    tasks = [asyncio.create_task(each.announce()) for each in upstreams]
    await asyncio.sleep(CALM_S)
    watch = Watch(system, [other, gate])
    statuses: Counter[int] = Counter()
    lost: list[str] = []
    calls = [watch.run()]
    for machine, count, budget_s in (
        (killed, SHORT_CLIENTS, SHORT_BUDGET_S),
        (other, OTHER_CLIENTS, PACK_BUDGET_S),
    ):
        calls += [
            keep_loading(system, machine, budget_s, statuses) for _ in range(count)
        ]
    calls += [keep_reading(system, gate, upstreams, lost) for _ in range(READERS)]
    tasks += [asyncio.create_task(call) for call in calls]
    for _ in range(KILLS):
        await asyncio.sleep(CALM_S)
        if trouble:
            killed.send(signal.SIGKILL)
            await killed.wait_for_end(DOWN_S)
        await asyncio.sleep(DOWN_S)
        if trouble:
            killed.start()
    await asyncio.sleep(CALM_S)
    for task in tasks:
        task.cancel()
    print(f"packs by status: {dict(statuses)}")
    print(f"{len(lost)} pages lost; ended by themselves: {watch.ends}")
    for name in set(watch.ends):
        log = (system.folder / f"{name}.log").read_text().splitlines()
        errors = [line.strip(" |") for line in log if "Error: " in line[:40]]
        print(f"{name}:", *errors[-1:])
    if len(lost) <= 3:
        return []
    return [f"LOST: {each} ran and its kept connection ended" for each in lost]


main(case, str(Path(__file__).resolve().parent))
