"""Tests of the faults that the soak test injects."""

from types import SimpleNamespace

import pytest
import trio

from catkinhollow.clock import TrioClock
from catkinhollow.testbed.loopback_proxy import Direction
from catkinhollow.testbed.soak_faults import Fault, FaultKind, Place
from catkinhollow.testbed.soak_injector import FaultInjector
from catkinhollow.testbed.soak_ledger import SoakLedger
from catkinhollow.testbed.soak_versions import TouchRecord, VersionLedger

NAMES = ["d0", "d1", "d2"]
DURATION_S = 1.0


class Proxy:
    """Record the faults that are set and reset, with their times."""

    def __init__(self):
        self.changes = []
        self._started_s = trio.current_time()

    def reset(self):
        self._record("reset")

    def cut_open(self, directions=Direction):
        self._record("cut", *directions)

    def __setattr__(self, name, value):
        super().__setattr__(name, value)
        if name in ("silent", "delay_s"):
            self._record(name, value)

    def _record(self, *change):
        self.changes.append((trio.current_time() - self._started_s, *change))


class Site:
    """Inject faults into proxies that record them."""

    def __init__(self):
        clock = TrioClock()
        self._touch = TouchRecord(NAMES, clock)
        self.ledger = SoakLedger(1.5, self._touch)
        self.members = {
            name: SimpleNamespace(to_peer=Proxy(), to_store=Proxy(), to_target=Proxy())
            for name in NAMES
        }
        self._injector = FaultInjector(
            fleet=SimpleNamespace(members=self.members),
            ledger=self.ledger,
            versions=VersionLedger(self._touch),
            touch=self._touch,
            clock=clock,
        )

    async def inject(self, kind, place):
        """Hit the connections of two of the daemons."""
        fault = Fault(
            at_s=0.0,
            kind=kind,
            place=place,
            instances=("d0", "d1"),
            duration_s=DURATION_S,
            direction=Direction.TO_CLIENT,
            delay_s=0.25,
        )
        await self._injector.run([fault])

    @property
    def changed(self):
        """Return the changes by daemon and proxy."""
        return {
            (name, proxy_name): proxy.changes
            for name, member in self.members.items()
            for proxy_name, proxy in vars(member).items()
            if proxy.changes
        }

    @property
    def in_touch(self):
        now_s = trio.current_time()
        return [name for name in NAMES if self._touch.in_touch(name, now_s, now_s)]


CHANGES = {
    FaultKind.RESET: [(0.0, "reset")],
    FaultKind.ONE_WAY: [(0.0, "cut", Direction.TO_CLIENT)],
    FaultKind.SILENT_FOR_GOOD: [(0.0, "cut", *Direction)],
    FaultKind.SILENT_FOR_A_TIME: [
        (0.0, "silent", True),
        (DURATION_S, "silent", False),
    ],
    FaultKind.DELAYED: [(0.0, "delay_s", 0.25), (DURATION_S, "delay_s", 0.0)],
}


@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize(("kind", "changes"), CHANGES.items())
async def test_fault_hits_the_connections_that_are_planned(
    kind, changes, place, autojump_clock
):
    """Guards against faults that are not applied, or not to all."""
    site = Site()
    await site.inject(kind, place)
    assert site.changed == {(name, f"to_{place}"): changes for name in ("d0", "d1")}


@pytest.mark.parametrize("place", [Place.PEER, Place.STORE])
@pytest.mark.parametrize("kind", CHANGES)
async def test_daemons_that_are_hit_are_out_of_touch(kind, place, autojump_clock):
    """Guards against daemons that are judged during faults, or never."""
    site = Site()
    await site.inject(kind, place)
    assert site.in_touch == ["d2"]
    await trio.sleep(2.9)
    assert site.in_touch == ["d2"]
    await trio.sleep(0.2)
    assert site.in_touch == NAMES


async def test_fault_of_targets_leaves_daemons_in_touch(autojump_clock):
    """Guards against versions that are not judged beside broken targets."""
    site = Site()
    await site.inject(FaultKind.SILENT_FOR_GOOD, Place.TARGET)
    assert site.in_touch == NAMES
