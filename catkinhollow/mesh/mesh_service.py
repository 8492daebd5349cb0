"""Run the mesh of a daemon over its peer link."""

from collections.abc import Callable, Iterable
from random import Random

from expression import Result

from catkinhollow.codec import decode_message, encode_message
from catkinhollow.errors import SnapshotRejected
from catkinhollow.events import EventManager, SnapshotEnforced, TargetChanged
from catkinhollow.generated.fleet import Snapshot
from catkinhollow.generated.messages import EvidenceReport, MemberRecord, Quarantine
from catkinhollow.generated.settings import Settings
from catkinhollow.logs import get_logger
from catkinhollow.mesh.dissemination import Mesh
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.mesh_commands import (
    Command,
    Connect,
    Disconnect,
    Reconnect,
    Send,
    SnapshotArrived,
)
from catkinhollow.mesh.peers import PeerEvent, PeerLink, format_address
from catkinhollow.timer import Subscription, Timer

logger = get_logger(__name__)

SnapshotOffer = Callable[[Snapshot], Result[Snapshot, SnapshotRejected]]


def make_own_record(settings: Settings, incarnation: int) -> MemberRecord:
    """Return the member record that a starting daemon publishes."""
    return MemberRecord(
        address=format_address(settings.peer),
        incarnation=incarnation,
        failure_domain=settings.failure_domain,
        region=settings.region,
        traffic_address=format_address(settings.traffic),
        admin_address=format_address(settings.admin),
    )


class MeshService:
    """Pass time and messages to the mesh and execute its commands."""

    def __init__(
        self,
        settings: Settings,
        timer: Timer,
        events: EventManager,
        offer: SnapshotOffer,
        link: PeerLink,
    ) -> None:
        self._timer = timer
        self._clock = timer.clock
        self._events = events
        self._offer = offer
        self._link = link
        self._tick_subscription: Subscription | None = None
        self._next_tick_s = 0.0
        own = make_own_record(settings, self._clock.unix_ms())
        self._mesh = Mesh(
            own,
            [format_address(seed) for seed in settings.seeds],
            settings.peers,
            Random(f"{own.address} {own.incarnation}"),
            self._clock.monotonic(),
        )
        events.connect(SnapshotEnforced, self._publish_snapshot)
        events.connect(TargetChanged, self._publish_target)

    @property
    def table(self) -> MemberTable:
        """Return the member table."""
        return self._mesh.table

    @property
    def ready(self) -> bool:
        """Return whether the daemon may serve calls."""
        return self._mesh.ready

    @property
    def quarantines(self) -> list[Quarantine]:
        """Return every known quarantine."""
        return self._mesh.quarantines

    def store_answered(self, revision: int) -> None:
        """Handle an answer of the store with its newest revision."""
        self._execute(self._mesh.store_answered(revision, self._now_s()))

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Add peers to contact for joining or healing a partition."""
        self._execute(self._mesh.add_seeds(addresses, self._now_s()))

    def quarantine(self, quarantine: Quarantine) -> None:
        """Flood a quarantine that this daemon has imposed."""
        self._execute(self._mesh.quarantine(quarantine, self._now_s()))

    def send_evidence(self, address: str, report: EvidenceReport) -> None:
        """Send a report to a collector or to the controller."""
        self._execute(self._mesh.send_evidence(address, report, self._now_s()))

    def leave(self) -> None:
        """Tell the neighbours that this daemon shuts down."""
        self._execute(self._mesh.leave(self._now_s()))

    async def run(self) -> None:
        """Run the peer link until cancelled."""
        self._schedule_tick()
        try:
            await self._link.run(self._on_event)
        finally:
            if self._tick_subscription is not None:
                self._tick_subscription.cancel()

    def _on_event(self, event: PeerEvent) -> None:
        now_s = self._now_s()
        match event:
            case LinkUp(address=address):
                commands = self._mesh.link_up(address, now_s)
            case LinkDown(address=address):
                commands = self._mesh.link_down(address, now_s)
            case envelope:
                commands = self._mesh.receive(envelope, now_s)
        self._execute(commands)

    def _tick(self) -> None:
        self._tick_subscription = None
        self._execute(self._mesh.tick(self._now_s()))

    def _execute(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Send(address=address, envelope=envelope):
                    self._link.send(address, envelope)
                case Connect(address=address):
                    self._link.connect(address)
                case Disconnect(address=address):
                    self._link.disconnect(address)
                case Reconnect(address=address, silent_s=silent_s):
                    logger.info(
                        "silent link replaced",
                        peer=address,
                        silent_ms=int(silent_s * 1000),
                    )
                    self._link.reconnect(address)
                case SnapshotArrived(data=data):
                    self._offer_snapshot(data)
                case event:
                    self._events.emit(event)
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        due_s = self._mesh.due_s
        if self._tick_subscription is not None:
            if self._next_tick_s <= due_s:
                return
            self._tick_subscription.cancel()
        self._next_tick_s = due_s
        delay_s = max(0.0, due_s - self._now_s())
        self._tick_subscription = self._timer.call_after(delay_s, self._tick)

    def _offer_snapshot(self, data: bytes) -> None:
        decoded = decode_message(data, Snapshot)
        if decoded.is_error():
            logger.warning("snapshot dropped", reason=decoded.error.reason)
            return
        result = self._offer(decoded.ok)
        if result.is_error():
            rejected = result.error
            logger.debug(
                "snapshot refused", revision=rejected.revision, reason=rejected.reason
            )

    def _publish_snapshot(self, event: SnapshotEnforced) -> None:
        now_s = self._now_s()
        revision = event.snapshot.revision
        data = encode_message(event.snapshot)
        self._execute(self._mesh.update_own(now_s, enforced_revision=revision))
        self._execute(self._mesh.revision_available(revision, data, now_s))

    def _publish_target(self, event: TargetChanged) -> None:
        commands = self._mesh.update_own(self._now_s(), targets=[event.record])
        self._execute(commands)

    def _now_s(self) -> float:
        return self._clock.monotonic()
