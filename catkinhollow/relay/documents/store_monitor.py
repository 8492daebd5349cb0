"""Probe the store while this daemon follows it, and renew its connections."""

from collections.abc import Callable
from math import inf
from typing import Protocol

import trio

from catkinhollow.logs import get_logger
from catkinhollow.relay.documents.kinds import EVACUATIONS
from catkinhollow.relay.documents.probe_plan import (
    ProbeCommand,
    ProbeOutcome,
    ProbePlan,
    ProbePolicy,
    RenewConnections,
    ReportSilence,
    SendProbe,
)
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# A kind whose listing is short.
PROBED_KIND = EVACUATIONS


class ProbedStore(Protocol):
    """Access the store through connections that can be replaced."""

    async def probe(self, kind: str, *, fresh: bool) -> ProbeOutcome:
        """List a kind cheaply on the kept connection or on a new one."""

    async def renew_connections(self) -> int:
        """Use new connections from now on; return the number of moved calls.

        Reads that wait on the earlier connections are repeated, writes end
        with an unknown outcome.
        """


class StoreMonitor:
    """Carry out the commands of a probe plan."""

    def __init__(
        self,
        store: ProbedStore,
        clock: Clock,
        make_policy: Callable[[], ProbePolicy] = ProbePlan,
    ) -> None:
        self._store = store
        self._clock = clock
        self._make_policy = make_policy
        self._policy = make_policy()
        self._answered_s = -inf
        self._silent = False
        self._recorded = trio.Event()

    @property
    def answered_s(self) -> float:
        """Return when the store last answered a probe."""
        return self._answered_s

    async def run(self) -> None:
        """Probe the store until cancelled."""
        self._policy = self._make_policy()
        self._silent = False
        async with trio.open_nursery() as nursery:
            while True:
                self._recorded = trio.Event()
                now_s = self._clock.monotonic()
                for command in self._policy.check(now_s):
                    nursery.start_soon(self._execute, command)
                delay_s = max(0.0, self._policy.due_s - now_s)
                with trio.move_on_after(delay_s):
                    await self._recorded.wait()

    async def _execute(self, command: ProbeCommand) -> None:
        match command:
            case SendProbe(number=number, fresh=fresh):
                await self._probe(number, fresh=fresh)
            case RenewConnections(silent_s=silent_s):
                moved = await self._store.renew_connections()
                logger.warning(
                    "store connections renewed",
                    silent_ms=int(1000 * silent_s),
                    calls=moved,
                )
            case ReportSilence(silent_s=silent_s):
                self._silent = True
                logger.warning("store silent", silent_ms=int(1000 * silent_s))

    async def _probe(self, number: int, *, fresh: bool) -> None:
        outcome = await self._store.probe(PROBED_KIND, fresh=fresh)
        now_s = self._clock.monotonic()
        if outcome is ProbeOutcome.ANSWERED:
            self._answered_s = now_s
        if self._silent and outcome is not ProbeOutcome.FAILED:
            self._silent = False
            logger.info("store answers", kind="probe")
        commands = self._policy.record(number, outcome, now_s)
        self._recorded.set()
        for command in commands:
            await self._execute(command)
