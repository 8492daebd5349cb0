"""Ask daemons for the routes of new configuration versions."""

from itertools import count

import trio
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.logs import get_logger
from catkinhollow.testbed.soak_fleet import CALLER_TIMEOUT_S, SoakFleet
from catkinhollow.testbed.soak_versions import VersionAnswer, VersionLedger
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# Pause between two requests to one daemon, and the limit of all requests per
# second.
MIN_CHECK_INTERVAL_S = 0.15
MAX_CHECKS_PER_S = 60.0


class VersionChecker:
    """Ask each daemon over a kept connection which version it enforces."""

    def __init__(self, fleet: SoakFleet, ledger: VersionLedger, clock: Clock) -> None:
        self._fleet = fleet
        self._ledger = ledger
        self._clock = clock
        self._request_ids = count(1)

    async def run(self, name: str) -> None:
        """Ask one daemon until cancelled."""
        pool = AsyncConnectionPool(max_connections=1)
        while True:
            now_s = self._clock.monotonic()
            due = self._ledger.newest_due(now_s)
            await self._ask(pool, name, due, dropped=False)
            # Version `due` has to be in force, so that the route which only
            # the version before it has must be gone.
            await self._ask(pool, name, due - 1, dropped=True)
            await self._ask(pool, name, self._ledger.newest, dropped=False)

    async def _ask(
        self, pool: AsyncConnectionPool, name: str, version: int, *, dropped: bool
    ) -> None:
        await trio.sleep(
            max(MIN_CHECK_INTERVAL_S, len(self._fleet.members) / MAX_CHECKS_PER_S)
        )
        child = self._fleet.members[name].child
        if version < 1 or child is None:
            return
        path = f"/{'d' if dropped else 'v'}{version}/x"
        request_id = f"version-{next(self._request_ids)}"
        sent_s = self._clock.monotonic()
        status = 0
        try:
            with trio.move_on_after(CALLER_TIMEOUT_S):
                status = await self._fleet.request(pool, name, "GET", path, request_id)
        except (NetworkError, ProtocolError, TimeoutException) as error:
            logger.debug("no answer", instance=name, reason=repr(error))
            return
        if child is not self._fleet.members[name].child:
            return
        self._ledger.record_answer(
            VersionAnswer(
                instance=name,
                process=child.process.pid,
                version=version,
                dropped=dropped,
                sent_s=sent_s,
                answered_s=self._clock.monotonic(),
                status=status,
            )
        )
