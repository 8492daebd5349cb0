"""Tests of the mesh service on real loopback sockets."""

import trio
from expression import Ok

from catkinhollow.clock import TrioClock
from catkinhollow.codec import from_plain
from catkinhollow.configuration.snapshot import SnapshotHolder
from catkinhollow.events import (
    EventManager,
    EvidenceReported,
    SnapshotEnforced,
    TargetChanged,
    VersionQuarantined,
)
from catkinhollow.generated.fleet import Fleet, Snapshot
from catkinhollow.generated.messages import EvidenceReport, Quarantine, TargetRecord
from catkinhollow.generated.settings import Settings
from catkinhollow.mesh.mesh_service import MeshService
from catkinhollow.mesh.peers import NngPeerLink
from catkinhollow.timer import Timer
from tests.mesh.test_peers import free_address


def plain_address(address):
    host, port = address.split(":")
    return {"host": host, "port": int(port)}


class Daemon:
    def __init__(self, address, seeds):
        own = plain_address(address)
        values = {
            "region": "r",
            "failure_domain": "a",
            "store": {"address": own},
            "traffic": own,
            "admin": own,
            "peer": own,
            "seeds": [plain_address(seed) for seed in seeds],
            "peers": {"ping_interval_s": 0.1, "suspect_timeout_s": 0.3},
        }
        self.address = address
        self.received = []
        self.events = EventManager()
        for kind in (VersionQuarantined, EvidenceReported):
            self.events.connect(kind, self.received.append)
        self.holder = SnapshotHolder()
        self.timer = Timer(TrioClock())
        self.mesh = MeshService(
            from_plain(values, Settings).ok,
            self.timer,
            self.events,
            self.offer,
            NngPeerLink(address),
        )

    def offer(self, snapshot):
        result = self.holder.offer(snapshot)
        if result.is_ok():
            self.events.emit(SnapshotEnforced(snapshot=snapshot))
        return result

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.timer.run)
            nursery.start_soon(self.mesh.run)


async def until(condition):
    with trio.fail_after(20):
        while not condition():
            await trio.sleep(0.01)


async def test_services_share_members_snapshots_and_quarantines(nursery):
    """Guards against messages, snapshots or events lost in the I/O layer."""
    addresses = [free_address() for _ in range(3)]
    daemons = [Daemon(address, addresses[:1]) for address in addresses]
    first, second, third = daemons
    for daemon in daemons:
        nursery.start_soon(daemon.run)
    assert first.offer(Snapshot(revision=5, fleet=Fleet())) == Ok(first.holder.snapshot)
    first.mesh.store_answered(5)
    await until(lambda: all(daemon.mesh.ready for daemon in daemons))
    assert {daemon.holder.revision for daemon in daemons} == {5}

    record = TargetRecord(
        service="s", version="v", address="h:1", slots=1, started_ms=0
    )
    second.events.emit(TargetChanged(record=record))
    quarantine = Quarantine(service="s", version="v", move_started_ms=1, reason="bad")
    second.mesh.quarantine(quarantine)
    report = EvidenceReport(window_ms=1000)
    second.mesh.send_evidence(third.address, report)
    await until(lambda: len(third.received) == 2)
    assert VersionQuarantined(quarantine=quarantine) in third.received
    assert EvidenceReported(sender=second.address, report=report) in third.received
    await until(lambda: first.mesh.table.records[second.address].targets == [record])

    second.mesh.leave()
    await until(lambda: len(first.mesh.table.present_members()) == 2)
    nursery.cancel_scope.cancel()
