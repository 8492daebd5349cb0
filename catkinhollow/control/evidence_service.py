"""Report the outcomes of calls to the controller."""

from catkinhollow.calls.call_router import CallRouter
from catkinhollow.control.moves import Capacity
from catkinhollow.control.reporting import EvidenceForwarder, Sender
from catkinhollow.events import EventManager, EvidenceReported, SnapshotEnforced
from catkinhollow.generated.fleet import Fleet
from catkinhollow.generated.messages import MemberRecord, TargetState, VersionCounts
from catkinhollow.mesh.elections import Elections
from catkinhollow.mesh.mesh_service import MeshService
from catkinhollow.timer import Clock, Timer

WINDOW_S = 1.0


class SplitTrafficCounts:
    """Supply the router's counts for services with split traffic."""

    def __init__(self, router: CallRouter) -> None:
        self._router = router
        self._split_services: frozenset[str] = frozenset()

    def enforce(self, fleet: Fleet) -> None:
        """Select the services whose split has more than one version."""
        self._split_services = frozenset(
            service.name for service in fleet.services if len(service.split) > 1
        )

    def take(self) -> list[VersionCounts]:
        """End the window and return its counts."""
        counts = self._router.take_counts()
        return [entry for entry in counts if entry.service in self._split_services]


class EvidenceService:
    """Send this daemon's counts once a second and receive those of peers."""

    def __init__(
        self,
        router: CallRouter,
        mesh: MeshService,
        elections: Elections,
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._elections = elections
        self._clock = clock
        own = mesh.table.own
        self._counts = SplitTrafficCounts(router)
        self._forwarder = EvidenceForwarder(_sender_of(own), self._counts)

    def connect(self, events: EventManager) -> None:
        """Subscribe to the reports of peers and to new configurations."""
        events.connect(
            SnapshotEnforced, lambda event: self._counts.enforce(event.snapshot.fleet)
        )
        events.connect(EvidenceReported, self._on_report)

    def subscribe(self, timer: Timer) -> None:
        """End a window every second."""
        timer.subscribe(WINDOW_S, self._end_window)

    def take(self) -> list[VersionCounts]:
        """Return the own and received counts since the last call."""
        return self._forwarder.take()

    def capacity(self, service: str, version: str) -> Capacity:
        """Return the slots of the ready and the cold targets of a version."""
        ready = cold = 0
        for member in self._mesh.table.present_members():
            for target in member.targets:
                if (target.service, target.version) != (service, version):
                    continue
                ready += target.slots * (target.state is TargetState.READY)
                cold += target.slots * (target.state is TargetState.COLD)
        return Capacity(ready_slots=ready, cold_slots=cold)

    def _end_window(self) -> None:
        self._forwarder.retain_senders(self._mesh.table.records)
        reports = self._forwarder.end_window(
            self._clock.unix_ms(),
            collector=self._elections.collector(),
            controller=self._elections.controller(),
        )
        for report in reports:
            self._mesh.send_evidence(report.to, report.report)

    def _on_report(self, event: EvidenceReported) -> None:
        record = self._mesh.table.records.get(event.sender)
        if record is None:
            return
        self._forwarder.on_report(
            _sender_of(record),
            event.report,
            self._clock.unix_ms(),
            is_controller=self._elections.is_controller(),
        )


def _sender_of(record: MemberRecord) -> Sender:
    return Sender(
        address=record.address,
        incarnation=record.incarnation,
        failure_domain=record.failure_domain,
    )
