"""Remove a machine while its daemon is being restarted."""

import asyncio
import contextlib
import os
import signal
import sys
import time
from pathlib import Path

from standins_3 import (
    BROKEN,
    HELD,
    CannotRunError,
    Client,
    Fleet,
    Message,
    Upstream,
    make_configuration,
    make_route,
    run_case,
)

# TROUBLE=0 plays the case without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ORDERS_PER_S = 10.0
WORK_S = 0.5
GRACE_S = 6.0
DRAIN_S = 2.0
# The restart in turn reaches the machine so long before its upstream ends.
RESTART_BEFORE_S = 0.5


async def work(request: Message) -> bytes:
    """Work on one order."""
    await asyncio.sleep(WORK_S)
    return b"order taken"


async def play(fleet: Fleet) -> int:
    """Play the case."""
    record = fleet.record
    route = make_route("/orders/", "unsafe", "orders", 2500, 1000)
    fleet.store.write("config", "main", make_configuration(7, [route]))
    for index, zone in enumerate(("whk-a", "whk-b", "whk-c"), 1):
        upstream = Upstream("orders", zone, record, work, lifetime=f"i-{index}")
        await fleet.add(f"m{index}", zone, upstream)
    await fleet.wait_ready()

    client = Client(record)
    stopped = fleet.daemons[0]
    load = asyncio.ensure_future(
        client.send_steadily(stopped.requests, "POST", "/orders/1", 2500, ORDERS_PER_S)
    )
    await asyncio.sleep(2.0)
    leaving = stopped.upstream
    leaving.state = "draining"
    ack = await leaving.report()
    record.say(f"the upstream of m1 reports draining, ack {ack}")
    await asyncio.sleep(DRAIN_S)
    stopped_s = time.monotonic()
    if TROUBLE:
        record.say("SIGTERM to m1, which is restarted in turn")
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(RESTART_BEFORE_S)
    leaving.beats = False
    record.say(f"the upstream of m1 has gone, ack {await leaving.leave()}")
    leaving.stop()
    record.say("SIGTERM to m1, which is removed")
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    load.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await load
    await asyncio.sleep(3.0)
    record.say(f"m1 has ended with status {await stopped.wait_end()}")

    ran = {run.attempt for daemon in fleet.daemons for run in daemon.upstream.runs}
    lost = [
        sent.attempt
        for sent in client.sent
        if sent.attempt in ran
        and not sent.status
        and sent.ended_s < stopped_s + GRACE_S + 1.0
    ]
    served = [sent for sent in client.sent if sent.status == 200]
    record.say(f"{len(served)} orders answered with a success")
    record.say(f"{len(lost)} orders cut off after an upstream began them: {lost}")
    if not served:
        raise CannotRunError("nothing was served")
    return BROKEN if lost else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play))
