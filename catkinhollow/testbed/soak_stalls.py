"""Notice when the processes of a soak test get no CPU time."""

from collections.abc import Callable
from pathlib import Path

import trio

from catkinhollow.logs import get_logger
from catkinhollow.testbed.soak_fleet import SoakFleet
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# This process was stalled if it wakes up more than STALL_S after the interval
# that it slept for.
STALL_CHECK_INTERVAL_S = 0.05
STALL_S = 0.2
# A daemon was starved if it waited for a core for longer than this within the
# interval.
STARVATION_CHECK_INTERVAL_S = 0.25
STARVED_S = 0.5


async def watch_stalls(clock: Clock, record: Callable[[float, float], None]) -> None:
    """Call a function with the begin and the end of each stall."""
    while True:
        begin_s = clock.monotonic()
        await trio.sleep(STALL_CHECK_INTERVAL_S)
        now_s = clock.monotonic()
        if now_s - begin_s > STALL_CHECK_INTERVAL_S + STALL_S:
            record(begin_s, now_s)


async def watch_starvation(
    fleet: SoakFleet, clock: Clock, record: Callable[[str, float, float], None]
) -> None:
    """Call a function with the daemon, begin and end of each starvation.

    The kernel counts the time in which the main thread of a process could run
    but had no core. Time in which a daemon blocks itself does not count.
    """
    known: dict[int, float] = {}
    while True:
        await trio.sleep(STARVATION_CHECK_INTERVAL_S)
        now_s = clock.monotonic()
        for name, member in fleet.members.items():
            if member.child is None or not member.child.running:
                continue
            pid = member.child.process.pid
            waited_s = read_waited_s(pid)
            wait_s = waited_s - known.get(pid, 0.0)
            known[pid] = waited_s
            if wait_s > STARVED_S:
                record(name, now_s - wait_s - STARVATION_CHECK_INTERVAL_S, now_s)


def read_waited_s(pid: int) -> float:
    """Return how long a process has waited for a core in all, in seconds.

    It is 0 if the process has ended.
    """
    try:
        text = Path(f"/proc/{pid}/schedstat").read_text()
    except OSError as error:
        logger.debug("no scheduler statistics", pid=pid, reason=str(error))
        return 0.0
    return int(text.split()[1]) / 1e9
