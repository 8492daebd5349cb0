"""Tests of versions that arrive although open connections go silent."""

import pytest
import trio

from catkinhollow.clock import TrioClock
from catkinhollow.testbed.soak_fleet import SoakFleet
from catkinhollow.testbed.soak_stalls import watch_stalls, watch_starvation
from catkinhollow.testbed.soak_version_checker import VersionChecker
from catkinhollow.testbed.soak_versions import (
    CONFIGURATION_APPLY_S,
    TouchRecord,
    VersionLedger,
)

DAEMONS = 9
FAILURE_DOMAINS = 3
VERSIONS = 14
VERSIONS_BEFORE_FAULT = 4
WRITE_INTERVAL_S = 1.0
# A stall of the machine excuses the answers of the next three seconds.
JUDGED_LIMIT_S = 30.0


class Play:
    """Write versions each second and silence connections meanwhile."""

    def __init__(self, directory):
        self.judged_before_fault = 0
        clock = TrioClock()
        names = [f"d{number}" for number in range(DAEMONS)]
        self._clock = clock
        self._touch = TouchRecord(names, clock)
        self.ledger = VersionLedger(self._touch)
        self._fleet = SoakFleet(
            names,
            failure_domains=FAILURE_DOMAINS,
            directory=directory,
            record_run=lambda _: None,
            clock=clock,
        )
        self._checker = VersionChecker(self._fleet, self.ledger, clock)

    async def run(self, *, links, store):
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch_stalls, self._clock, self._touch.record_stall)
                await self._fleet.start(nursery)
                nursery.start_soon(
                    watch_starvation,
                    self._fleet,
                    self._clock,
                    self._touch.record_starvation,
                )
                for name in self._fleet.members:
                    nursery.start_soon(self._checker.run, name)
                await self._write_versions(links=links, store=store)
                nursery.cancel_scope.cancel()
        finally:
            self._fleet.kill_all()

    async def _write_versions(self, *, links, store):
        for written in range(1, VERSIONS + 1):
            await trio.sleep(WRITE_INTERVAL_S)
            version = self._fleet.write_version()
            self.ledger.record_version(version, self._clock.monotonic())
            if written == VERSIONS_BEFORE_FAULT:
                await self._wait_until_judged()
                self._silence(links=links, store=store)
        await trio.sleep(CONFIGURATION_APPLY_S + 2 * WRITE_INTERVAL_S)

    async def _wait_until_judged(self):
        """Wait for an answer that counts, of a time without a stall."""
        with trio.fail_after(JUDGED_LIMIT_S):
            while not self.ledger.judged:
                await trio.sleep(WRITE_INTERVAL_S / 4)

    def _silence(self, *, links, store):
        self.judged_before_fault = self.ledger.judged
        with self._touch.disturb(self._touch.instances):
            for member in self._fleet.members.values():
                if links:
                    member.to_peer.cut_open()
                if store:
                    member.to_store.cut_open()


@pytest.mark.processes
@pytest.mark.parametrize(
    ("links", "store"),
    [(False, False), (True, False), (False, True), (True, True)],
    ids=["none", "links", "store", "both"],
)
async def test_versions_arrive_after_open_connections_went_silent(
    links, store, tmp_path
):
    """Guards against daemons that stay behind on connections gone silent."""
    play = Play(tmp_path)
    await play.run(links=links, store=store)
    assert play.ledger.judged > play.judged_before_fault > 0
    violations = play.ledger.find_violations()
    for violation in violations:
        print(violation.describe(0.0))
    assert violations == []
