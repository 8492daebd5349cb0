"""Assemble and run the parts of a daemon."""

from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import trio
from expression import Result

from catkinhollow.calls.call_router import CallRouter
from catkinhollow.calls.dispatch import Dispatcher
from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.http_server import App, serve_app
from catkinhollow.calls.pool import Location
from catkinhollow.calls.traffic_application import TrafficApplication
from catkinhollow.clock import TrioClock
from catkinhollow.configuration.bootstrap import Bootstrap
from catkinhollow.configuration.fleet_updates import update_fleet
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.configuration.seeds import SeedPublisher
from catkinhollow.configuration.snapshot import SnapshotHolder
from catkinhollow.configuration.watcher import StoreWatcher
from catkinhollow.control.controller import Controller
from catkinhollow.control.evidence_service import EvidenceService
from catkinhollow.control.initial_split import (
    SetInitialSplits,
    choose_initial_versions,
)
from catkinhollow.control.quarantine_policy import QuarantinePolicy
from catkinhollow.daemon.admin import AdminApplication
from catkinhollow.daemon.metrics import Metrics
from catkinhollow.daemon.status import build_status
from catkinhollow.daemon.supervisor import TargetSupervisor
from catkinhollow.daemon.tracers import make_tracer
from catkinhollow.errors import RejectionKind, SnapshotRejected
from catkinhollow.events import (
    EventManager,
    FloorRaised,
    MembersChanged,
    MeshReady,
    SnapshotEnforced,
    TargetChanged,
    VersionQuarantined,
)
from catkinhollow.generated.fleet import Lease, Snapshot
from catkinhollow.generated.messages import MemberState, TargetRecord
from catkinhollow.generated.settings import Address, Settings
from catkinhollow.logs import get_logger
from catkinhollow.mesh.elections import Elections
from catkinhollow.mesh.mesh_service import MeshService
from catkinhollow.mesh.peers import NngPeerLink, format_address
from catkinhollow.process_signals import ProcessSignals
from catkinhollow.startup.held_signals import HeldSignals
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Batches a burst of changes, as processing the member table of a large fleet
# takes a while.
MEMBER_UPDATE_DELAY_S = 0.05
# Short enough for commands to find a new failure domain soon. A list that is
# not stale causes no store call.
SEEDS_INTERVAL_S = 2.0
INITIAL_SPLITS_INTERVAL_S = 1.0
ADMIN_DRAIN_S = 0.5
# After shutdown begins, each response on an open connection tells its caller
# to close the connection; this is the time left for that.
LINGER_S = 1.0
# Lets the leave message reach the neighbours before the process ends.
LEAVE_DELAY_S = 0.2


class Daemon:
    """Run one daemon: proxy calls and enforce the configuration."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._clock = TrioClock()
        self._timer = Timer(self._clock)
        self._events = EventManager()
        self._metrics = Metrics()
        self._holder = SnapshotHolder()
        self._rejected: SnapshotRejected | None = None
        self._member_update_pending = False
        self._shutdown = trio.Event()
        self._traffic_allowed = trio.Event()
        self._traffic_closed = trio.Event()
        self._listening = False
        self._build_io_layer(Random())
        self._build_control_plane()
        self._connect_events()

    def _build_io_layer(self, random: Random) -> None:
        settings = self._settings
        location = Location(
            failure_domain=settings.failure_domain, region=settings.region
        )
        self._router = CallRouter(location, random)
        self._client = HttpTargetClient(settings.http)
        self._store = HttpStoreClient(settings.store)
        self._link = NngPeerLink(format_address(settings.peer))
        self._mesh = MeshService(
            settings, self._timer, self._events, self.offer_snapshot, self._link
        )
        self._supervisor = TargetSupervisor(settings.probe, self._events)
        self._dispatcher = Dispatcher(
            router=self._router,
            client=self._client,
            tracer=make_tracer(settings.tracing, settings.instance, random),
            timer=self._timer,
            metrics=self._metrics,
        )
        self._watcher = StoreWatcher(
            self._store,
            settings.store,
            self.offer_snapshot,
            self._mesh.store_answered,
            random,
        )
        self._bootstrap = Bootstrap(self._store, self._watcher, self._mesh, random)

    def _build_control_plane(self) -> None:
        settings = self._settings
        self._quarantines = QuarantinePolicy()
        self._elections = Elections(
            self._mesh.table, settings.store.watchers_per_failure_domain
        )
        self._seeds = SeedPublisher(self._store, settings.failure_domain)
        self._evidence = EvidenceService(
            self._router, self._mesh, self._elections, self._clock
        )
        self._controller = Controller(
            holder=self._lease_holder_name(),
            store=self._store,
            clock=self._clock,
            settings=settings.lease,
            is_preferred=lambda: self.ready and self._elections.is_controller(),
            evidence=self._evidence,
            capacity=self._evidence,
            quarantine=self._mesh.quarantine,
        )

    def _lease_holder_name(self) -> str:
        # The incarnation keeps a restarted daemon from treating the lease of
        # its previous process as its own.
        own = self._mesh.table.own
        return f"{own.address}/{own.incarnation}"

    def _connect_events(self) -> None:
        connect = self._events.connect
        connect(SnapshotEnforced, self._on_snapshot)
        connect(MembersChanged, self._on_members_changed)
        connect(FloorRaised, lambda event: self._holder.raise_floor(event.revision))
        connect(MeshReady, self._open_traffic_if_ready)
        connect(SnapshotEnforced, self._open_traffic_if_ready)
        connect(VersionQuarantined, self._on_quarantine)
        connect(TargetChanged, self._on_members_changed)
        self._evidence.connect(self._events)

    @property
    def ready(self) -> bool:
        """Return whether the daemon accepts calls."""
        return self._listening

    @property
    def revision(self) -> int:
        """Return the revision of the enforced configuration, 0 if none."""
        return self._holder.revision

    def offer_snapshot(self, snapshot: Snapshot) -> Result[Snapshot, SnapshotRejected]:
        """Enforce a snapshot if it is valid and newer than the current one."""
        result = self._holder.offer(snapshot)
        if result.is_ok():
            logger.info("configuration enforced", revision=snapshot.revision)
            self._events.emit(SnapshotEnforced(snapshot=snapshot))
        elif result.error.kind is RejectionKind.INVALID:
            self._rejected = result.error
            self._metrics.snapshots_refused.inc({})
            logger.error(
                "configuration refused",
                revision=snapshot.revision,
                reason=result.error.reason,
            )
        return result

    def announce(self, record: TargetRecord) -> None:
        """Handle an announcement of the target on the instance."""
        self._supervisor.announce(record)

    def status(self) -> Any:
        """Return the status as a data class of the status schema."""
        table = self._mesh.table
        return build_status(
            own=table.own,
            ready=self.ready,
            snapshot=self._holder.snapshot,
            newest_revision=self._holder.floor,
            members=table.records_with_enforced_revision(),
            moves=self._controller.moves,
            quarantines=self._mesh.quarantines,
            lease=self._known_lease(),
            rejected=self._rejected,
        )

    def _known_lease(self) -> Lease | None:
        # Only the holder of the lease knows its epoch. Other daemons know the
        # elected controller and report it with epoch 0.
        if self._controller.epoch:
            return Lease(holder=self._lease_holder_name(), epoch=self._controller.epoch)
        elected = self._elections.controller()
        return Lease(holder=elected, epoch=0) if elected else None

    def collect_metrics(self) -> Metrics:
        """Return the metrics with updated gauges."""
        self._metrics.enforced_revision.set({}, self.revision)
        self._metrics.ready.set({}, int(self.ready))
        self._metrics.set_peer_counters(self._link.counters)
        router = self._router.status(self._clock.monotonic())
        self._metrics.set_services(router.services)
        records = self._mesh.table.records.values()
        for state in MemberState:
            count = sum(record.state is state for record in records)
            self._metrics.members.set({"state": state.value}, count)
        return self._metrics

    async def run(self, held_signals: HeldSignals) -> None:
        """Serve until SIGTERM or SIGINT, then finish the calls in flight."""
        signals = ProcessSignals(
            held_signals,
            on_stop=lambda name: logger.info("shutting down", signal=name),
            on_reload=lambda: logger.info("settings are read at the start only"),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.run)
            if not signals.stop_requested:
                await self._serve_until(signals.wait_for_stop)
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await self._client.aclose()
            await self._supervisor.aclose()
            await self._store.aclose()

    async def _serve_until(self, wait_for_stop: Callable[[], Awaitable[None]]) -> None:
        async with trio.open_nursery() as nursery:
            await self._start_listeners(nursery)
            for task in (
                self._timer.run,
                self._mesh.run,
                self._watcher.run,
                self._bootstrap.run,
                self._run_controller,
            ):
                nursery.start_soon(task)
            self._schedule_periodic_tasks(nursery)
            await wait_for_stop()
            await self._drain()
            nursery.cancel_scope.cancel()

    async def _start_listeners(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        traffic = TrafficApplication(self._dispatcher, settings.http.max_body_bytes)
        nursery.start_soon(self._serve_traffic, traffic)
        await self._serve_admin(nursery, AdminApplication(self), settings.admin)

    async def _serve_traffic(self, app: App) -> None:
        # The port stays closed until there is a configuration: a caller whose
        # connection is refused can try another ingress daemon at once.
        await self._traffic_allowed.wait()
        settings = self._settings
        serve = partial(
            serve_app,
            app,
            settings.traffic,
            settings.http,
            shutdown=self._shutdown,
            drain_s=settings.drain_s,
            linger_s=LINGER_S,
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(serve)
            self._listening = True
            logger.info("ready", revision=self.revision)
        self._traffic_closed.set()

    async def _serve_admin(
        self, nursery: trio.Nursery, app: App, address: Address
    ) -> None:
        async def serve(task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
            await serve_app(
                app,
                address,
                self._settings.http,
                shutdown=trio.Event(),
                drain_s=ADMIN_DRAIN_S,
                task_status=task_status,
            )

        await nursery.start(serve)

    async def _run_controller(self) -> None:
        await self._controller.run(self._timer)

    def _schedule_periodic_tasks(self, nursery: trio.Nursery) -> None:
        def starter(job: Callable[[], Any]) -> Callable[[], None]:
            return lambda: nursery.start_soon(job)

        settings = self._settings
        self._timer.subscribe(
            settings.probe.interval_s, starter(self._supervisor.check)
        )
        self._timer.subscribe(SEEDS_INTERVAL_S, starter(self._publish_seeds))
        self._timer.subscribe(
            INITIAL_SPLITS_INTERVAL_S, starter(self._set_initial_splits)
        )
        self._evidence.subscribe(self._timer)

    async def _publish_seeds(self) -> None:
        if self.ready and self._elections.is_first_watcher():
            await self._seeds.publish(self._elections.domain_members())

    async def _set_initial_splits(self) -> None:
        snapshot = self._holder.snapshot
        if snapshot is None or not self._controller.may_decide:
            return
        records = self._mesh.table.records.values()
        versions = choose_initial_versions(snapshot.fleet, records)
        if versions:
            logger.info("setting initial versions", versions=versions)
            await update_fleet(self._store, SetInitialSplits(versions))

    async def _drain(self) -> None:
        self._mesh.leave()
        self._shutdown.set()
        if self._listening:
            with trio.move_on_after(self._settings.drain_s):
                await self._traffic_closed.wait()
        await trio.sleep(LEAVE_DELAY_S)
        logger.info("stopped")

    def _open_traffic_if_ready(self, _: Any) -> None:
        if self._mesh.ready and self._holder.snapshot is not None:
            self._traffic_allowed.set()

    def _on_snapshot(self, event: SnapshotEnforced) -> None:
        fleet = event.snapshot.fleet
        now_s = self._clock.monotonic()
        self._router.enforce(fleet, now_s)
        self._apply_quarantines()
        is_out = self._settings.failure_domain in fleet.failure_domains_out
        self._supervisor.set_drain(is_out)
        self._controller.on_snapshot(event.snapshot)

    def _on_quarantine(self, event: VersionQuarantined) -> None:
        quarantine = event.quarantine
        logger.warning(
            "version quarantined",
            service=quarantine.service,
            version=quarantine.version,
            reason=quarantine.reason,
        )
        self._controller.on_quarantine(quarantine)
        self._apply_quarantines()

    def _apply_quarantines(self) -> None:
        now_s = self._clock.monotonic()
        snapshot = self._holder.snapshot
        if snapshot is None:
            return
        changes = self._quarantines.update(snapshot.fleet, self._mesh.quarantines)
        for service, version in changes.added:
            self._router.quarantine(service, version, now_s)
        for service, version in changes.lifted:
            self._router.lift_quarantine(service, version, now_s)

    def _on_members_changed(self, _: Any) -> None:
        if not self._member_update_pending:
            self._member_update_pending = True
            self._timer.call_after(MEMBER_UPDATE_DELAY_S, self._update_members)

    def _update_members(self) -> None:
        self._member_update_pending = False
        records = self._mesh.table.records.values()
        now_s = self._clock.monotonic()
        self._router.update_members(records, now_s, self._clock.unix_ms())
        self._watcher.set_elected(self._elections.is_watcher())
