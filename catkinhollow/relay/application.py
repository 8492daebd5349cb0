"""Assemble and run the parts of a relay daemon."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from math import inf
from random import Random
from typing import TYPE_CHECKING, Protocol

import trio
from expression import Result

from catkinhollow.addresses import parse_address
from catkinhollow.calls.egress import HttpTargetClient
from catkinhollow.calls.silence import LOCAL_LIMITS
from catkinhollow.clock import TrioClock
from catkinhollow.errors import DecodeError
from catkinhollow.events import EventManager
from catkinhollow.generated.relay import (
    Call,
    DaemonRecord,
    Document,
    Frame,
    OrderState,
    RelaySettings,
    RequestLimits,
)
from catkinhollow.generated.settings import Address, HttpSettings
from catkinhollow.logs import get_logger
from catkinhollow.process_signals import ProcessSignals
from catkinhollow.relay.admission.gate import Gate
from catkinhollow.relay.admission.gate_service import GateService
from catkinhollow.relay.admission.target_listener import TargetListener
from catkinhollow.relay.admission.target_responses import make_classifier
from catkinhollow.relay.applications import (
    MetricsApplication,
    ReadyApplication,
)
from catkinhollow.relay.connections.caller_connection import RequestHandler
from catkinhollow.relay.documents.document_handler import (
    DocumentHandler,
    DocumentValidator,
)
from catkinhollow.relay.documents.document_sync import DocumentChanged
from catkinhollow.relay.documents.document_table import (
    STORE_SOURCE,
    DocumentTable,
    delete_kept,
    is_unstored,
)
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.documents.kinds import CONFIGURATION, DAEMONS, ORDERS
from catkinhollow.relay.documents.own_record import OwnRecordKeeper
from catkinhollow.relay.documents.record_cleanup import find_stale_peers
from catkinhollow.relay.documents.store_follower import (
    ObjectDecoder,
    RelayStore,
    StoreFollower,
)
from catkinhollow.relay.header_names import HeaderNames
from catkinhollow.relay.ingress import Ingress
from catkinhollow.relay.links.link_pacer import LinkPacer
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import (
    KnowledgeReceived,
    PeerLinked,
    PeerNetwork,
    PeerUnlinked,
)
from catkinhollow.relay.links.nng_link import NngFrameLink, message_kind
from catkinhollow.relay.loop_watch import LoopWatch
from catkinhollow.relay.moves.move_driver import STEP_INTERVAL_S, MoveDriver
from catkinhollow.relay.moves.versions import VersionPolicy
from catkinhollow.relay.organisations.access import AccessPolicy
from catkinhollow.relay.organisations.freshness import Freshness
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.relay.placement.placer import Distances, LeastWaitPlacer
from catkinhollow.relay.placement.service_peers import DirectoryPeers
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.relay.request_log import RequestLog
from catkinhollow.relay.request_server import RequestServer
from catkinhollow.relay.shutdown.shutdown import Shutdown
from catkinhollow.relay.shutdown.shutdown_plan import ShutdownPlan
from catkinhollow.startup.held_signals import HeldSignals
from catkinhollow.timer import Subscription, Timer

if TYPE_CHECKING:
    from catkinhollow.relay.organisations.knowledge_service import KnowledgeService

logger = get_logger(__name__)

# Share of the fleet's retry budget that is used for retries by the daemons.
# The rest is left for the calls that a repeated run makes again, which go
# through other ingress daemons.
RETRY_BUDGET_SHARE = 0.4
# Idle connections to the target are not reused after this time, well before
# the target closes them.
IDLE_EXPIRY_S = 3.0
# Limits of announcements and of checks; each fits into some hundred bytes.
CONTROL_LIMITS = RequestLimits(max_body_bytes=65536)
RELOAD_INTERVAL_S = 2.0
CLEANUP_INTERVAL_S = 5.0
# Time after the start for which the gate waits for the departures in the
# store. Without the store a target that is still there has to be used.
HISTORY_WAIT_S = 1.0
# Minimum time between statuses that report failures of a new version.
FAILURE_REPORT_INTERVAL_S = 0.15


if TYPE_CHECKING:
    from catkinhollow.relay.usage.interfaces import UsageApi
    from catkinhollow.relay.usage.usage_service import UsageService


class AnnouncementAppFactory(Protocol):
    """Build the application that receives the target's announcements."""

    def __call__(self, listener: TargetListener, service: str, /) -> RequestHandler:
        """Return the handler of its requests."""


class SettingsReader(Protocol):
    """Reload the settings."""

    def __call__(self) -> Result[RelaySettings, DecodeError]:
        """Return the current settings."""


class RelayDaemon:
    """Run one daemon: ingress of its instance and gate of its target."""

    def __init__(
        self,
        *,
        settings: RelaySettings,
        store: RelayStore,
        decode: ObjectDecoder,
        header_names: HeaderNames,
        announcement_app: AnnouncementAppFactory,
        reload_settings: SettingsReader,
        random: Random,
        usage_api: UsageApi | None = None,
    ) -> None:
        self._settings = settings
        self._store = store
        self._header_names = header_names
        self._announcement_app = announcement_app
        self._reload_settings = reload_settings
        self._random = random
        self._clock = TrioClock()
        self._incarnation = self._clock.unix_ms()
        self._timer = Timer(self._clock)
        self._events = EventManager()
        self._metrics = RelayMetrics()
        self._log = RequestLog(self._clock)
        self._documents = DocumentTable()
        self._validator = DocumentValidator()
        self._freshness = self._make_freshness()
        self._access = AccessPolicy(self._freshness)
        self._failure_reported_s = -inf
        self._nursery: trio.Nursery | None = None
        self._move_steps: Subscription | None = None
        self._control_servers: list[RequestServer] = []
        self._listening = False
        self._stopping = False
        self._directory = PeerDirectory(self._own_record())
        self._build_call_path()
        self._build_control(decode)
        self._usage = self._build_usage(decode, usage_api)
        handler = DocumentHandler(
            failure_domain=settings.failure_domain,
            validator=self._validator,
            table=self._documents,
            ingress=self._ingress,
            gate=self._gate,
            network=self._network,
            plan=self._plan,
            versions=self._versions,
            moves=self._moves,
            access=self._access,
        )
        self._events.connect(DocumentChanged, handler.apply)
        self._events.connect(DocumentChanged, self._on_document)
        if self._knowledge is not None:
            # The version has to be in force before its revision counts.
            self._events.connect(DocumentChanged, self._knowledge.on_document)

    def _make_freshness(self) -> Freshness | None:
        """Return the bound of revocations if the settings have one."""
        if not self._settings.strict_revoke:
            return None
        return Freshness(bound_s=self._settings.revoke_ms / 1000.0)

    def _own_record(self) -> DaemonRecord:
        settings = self._settings
        return DaemonRecord(
            name=settings.instance,
            address=settings.peer,
            failure_domain=settings.failure_domain,
            region=settings.region,
            service=settings.service,
        )

    def _build_call_path(self) -> None:
        settings = self._settings
        client = HttpTargetClient(
            HttpSettings(),
            make_classifier(self._header_names),
            IDLE_EXPIRY_S,
            LOCAL_LIMITS,
        )
        self._pacer = LinkPacer(settings.link_mbps)
        self._link = NngFrameLink(
            settings.peer_listen or settings.peer,
            self._timer,
            self._pacer,
            self._count_sent,
        )
        self._gate = GateService(
            gate=Gate(
                awaits_history=True,
                link_wait_s=lambda: self._link.backlog_s,
                peers=DirectoryPeers(self._directory, settings.service),
                overload_control=settings.overload_control,
                urgent_calls_wait=settings.urgent_calls_wait,
                pace_control=settings.pace_control,
            ),
            address=settings.target,
            service=settings.service,
            client=client,
            header_names=self._header_names,
            timer=self._timer,
            log=self._log,
            on_state_change=self._on_gate_state_change,
            on_run_failure=self._on_run_failure,
            find_run_refusal=self._find_run_refusal,
            count_run=self._count_run,
        )
        self._plan = LinkPlan(self._directory)
        self._election = FollowerElection(self._directory, self._clock.monotonic())
        self._incarnation = self._clock.unix_ms()
        self._network = PeerNetwork(
            incarnation=self._incarnation,
            directory=self._directory,
            documents=self._documents,
            gate=self._gate,
            link=self._link,
            plan=self._plan,
            election=self._election,
            timer=self._timer,
            events=self._events,
            accepts=self._accepts,
            is_configured=lambda: self._ingress.configured,
            store_reached_s=lambda: self._follower.reached_s,
        )
        self._versions = VersionPolicy(self._random)
        self._ingress = Ingress(
            service=settings.service,
            network=self._network,
            placer=LeastWaitPlacer(
                self._directory.own, Distances(), self._clock, self._random
            ),
            versions=self._versions,
            access=self._access,
            header_names=self._header_names,
            retry_percent=settings.retry_ratio * 100.0 * RETRY_BUDGET_SHARE,
            retry_slack=settings.retry_slack * RETRY_BUDGET_SHARE,
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
            log=self._log,
        )

        self._server = RequestServer(
            self._ingress.serve,
            lambda: self._ingress.limits,
            count_sent=self._count_response,
            on_failure=lambda: self._metrics.connection_failures.inc({}),
            on_unread=lambda: self._metrics.connections_unread.inc({}),
        )

    def _build_control(self, decode: ObjectDecoder) -> None:
        self._follower = StoreFollower(
            store=self._store,
            decode=decode,
            table=self._documents,
            role=self._election,
            on_document=self._network.offer_document,
            clock=self._clock,
            random=self._random,
            metrics=self._metrics,
        )
        self._record_keeper = OwnRecordKeeper(
            store=self._store,
            follower=self._follower,
            table=self._documents,
            record=self._directory.own.record,
            on_history=self._gate.set_history,
            random=self._random,
        )
        self._moves = MoveDriver(self._store, self._directory, self._clock)
        self._knowledge = self._build_knowledge(self._freshness)

    def _build_knowledge(self, freshness: Freshness | None) -> KnowledgeService | None:
        if freshness is None:
            return None
        # Few deployments bound revocations; the imports lengthen a start.
        from catkinhollow.relay.organisations.knowledge_plan import KnowledgePlan
        from catkinhollow.relay.organisations.knowledge_service import KnowledgeService

        plan = KnowledgePlan(
            freshness=freshness,
            incarnation=self._incarnation,
            random=self._random,
            started_s=self._clock.boottime(),
        )
        service = KnowledgeService(
            plan=plan,
            store=self._store,
            network=self._network,
            table=self._documents,
            apply_object=self._follower.apply_object,
            is_follower=lambda: self._follower.following,
            has_organisations=lambda: self._access.has_organisations,
            clock=self._clock,
        )
        self._events.connect(PeerLinked, service.on_link_up)
        self._events.connect(PeerUnlinked, service.on_link_down)
        self._events.connect(KnowledgeReceived, service.on_knowledge)
        return service

    def _build_usage(
        self, decode: ObjectDecoder, api: UsageApi | None
    ) -> UsageService | None:
        if api is None:
            return None
        # Daemons without reports are started without these modules.
        from catkinhollow.relay.usage.interfaces import BootClock
        from catkinhollow.relay.usage.usage_metrics import UsageMetrics
        from catkinhollow.relay.usage.usage_service import UsageService

        usage = UsageService(
            settings=self._settings,
            incarnation=self._incarnation,
            store=self._store,
            decode=decode,
            api=api,
            links=self._network,
            directory=self._directory,
            clock=BootClock(),
            metrics=UsageMetrics(self._metrics.registry),
        )
        self._network.attach_usage(usage)
        return usage

    @property
    def gate(self) -> GateService:
        """Return the gate of the target on the instance."""
        return self._gate

    @property
    def network(self) -> PeerNetwork:
        """Return the links to the other daemons."""
        return self._network

    @property
    def directory(self) -> PeerDirectory:
        """Return the known daemons."""
        return self._directory

    @property
    def ready(self) -> bool:
        """Return whether callers on the instance may send requests."""
        return self._listening and self._ingress.configured and not self._stopping

    async def run(self, held_signals: HeldSignals) -> None:
        """Serve until SIGTERM or SIGINT, then finish open requests."""
        signals = ProcessSignals(
            held_signals, on_stop=self._log_stop, on_reload=self._reload_on_signal
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(signals.run)
            if not signals.stop_requested:
                await self.serve_until(signals.wait_for_stop)
            nursery.cancel_scope.cancel()

    async def serve_until(
        self, wait_for_shutdown: Callable[[], Awaitable[None]]
    ) -> None:
        """Serve until the function returns, then finish open requests."""
        async with trio.open_nursery() as nursery:
            LoopWatch(self._timer)
            nursery.start_soon(self._timer.run)
            self._timer.call_after(HISTORY_WAIT_S, self._stop_awaiting_history)
            nursery.start_soon(self._gate.run)
            nursery.start_soon(self._network.run)
            await self._start_listeners(nursery)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._record_keeper.run)
            if self._knowledge is not None:
                nursery.start_soon(self._knowledge.run)
            self._timer.subscribe(RELOAD_INTERVAL_S, self._reload)
            self._nursery = nursery
            self._schedule_move_steps()
            if self._usage is not None:
                nursery.start_soon(self._usage.run)
            self._timer.subscribe(
                CLEANUP_INTERVAL_S,
                lambda: nursery.start_soon(self._delete_stale_records),
            )
            logger.info(
                "started",
                instance=self._settings.instance,
                link_mbps=self._settings.link_mbps,
            )
            await wait_for_shutdown()
            stopping_s = self._clock.monotonic()
            await self._drain()
            logger.info(
                "stopped",
                requests=self._server.open_requests,
                taken_ms=int((self._clock.monotonic() - stopping_s) * 1000),
            )
            nursery.cancel_scope.cancel()

    def _stop_awaiting_history(self) -> None:
        """Let the gate open although the store has not been read."""
        if self._gate.gate.awaits_history:
            logger.warning("gate opens without the departures in the store")
            self._gate.set_history([])

    async def _start_listeners(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        listener = TargetListener(self._gate, self._record_keeper)
        announcements = self._announcement_app(listener, settings.service)
        ready = ReadyApplication(lambda: self.ready)
        metrics = MetricsApplication(self._collect_metrics)
        await self._serve(nursery, announcements, settings.announcements)
        await self._serve(nursery, metrics, settings.metrics)
        await nursery.start(
            self._server.serve, _parse_listen_address(settings.requests)
        )
        self._listening = True
        await self._serve(nursery, ready, settings.ready)

    async def _serve(
        self, nursery: trio.Nursery, handler: RequestHandler, address: str
    ) -> None:
        server = RequestServer(handler, lambda: CONTROL_LIMITS)
        self._control_servers.append(server)
        await nursery.start(server.serve, _parse_listen_address(address))

    def _log_stop(self, signal_name: str) -> None:
        logger.info("stopping", signal=signal_name, requests=self._server.open_requests)

    def _reload_on_signal(self) -> None:
        logger.info("reload requested")
        self._reload()

    def _reload(self) -> None:
        read = self._reload_settings()
        if read.is_error():
            logger.warning("settings not reloaded", reason=read.error.reason)
        elif read.ok != self._settings:
            self._settings = read.ok
            logger.info("settings reloaded")

    async def _drain(self) -> None:
        self._stopping = True
        shutdown = Shutdown(
            ShutdownPlan(self._settings.grace_s),
            server=self._server,
            other_servers=self._control_servers,
            ingress=self._ingress,
            gate=self._gate,
            link=self._link,
            timer=self._timer,
        )
        await shutdown.run()

    def _schedule_move_steps(self) -> None:
        """Step the moves at intervals while there are orders."""
        nursery = self._nursery
        if nursery is None:
            return
        if self._move_steps is not None and not self._moves.has_orders:
            self._move_steps.cancel()
            self._move_steps = None
        elif self._move_steps is None and self._moves.has_orders:
            self._move_steps = self._timer.subscribe(
                STEP_INTERVAL_S, lambda: nursery.start_soon(self._step_moves)
            )

    async def _step_moves(self) -> None:
        self._network.refresh_own_report()
        await self._moves.step()

    async def _delete_stale_records(self) -> None:
        """Delete the records of daemons that have long been disconnected."""
        now_s = self._clock.monotonic()
        if not self._election.is_followed(now_s):
            return
        neighbours = [
            peer
            for address in self._plan.neighbours(now_s)
            if (peer := self._directory.by_address(address)) is not None
        ]
        for peer in find_stale_peers(neighbours, self._directory.own, now_s):
            name = peer.record.name
            document = self._documents.get(f"{DAEMONS}/{name}")
            if document is None:
                continue
            if is_unstored(document):
                self._network.offer_document(delete_kept(document), STORE_SOURCE)
                logger.info("stale daemon record that the store lost", name=name)
                continue
            result = await self._store.delete(
                DAEMONS, name, if_revision=document.revision
            )
            reason = "" if result.is_ok() else result.error.reason
            logger.info("deletion of a stale daemon record", name=name, error=reason)

    def _on_document(self, event: DocumentChanged) -> None:
        kind, _, name = event.document.name.partition("/")
        if self._documents.era > self._record_keeper.era:
            self._record_keeper.record_changed()
        if event.source != STORE_SOURCE and not event.document.deleted:
            self._follower.expect(kind, event.document.revision)
        if kind == CONFIGURATION:
            self._follower.set_configured()
        elif kind == DAEMONS and name == self._settings.instance:
            self._record_keeper.record_changed()
        elif kind == ORDERS:
            self._schedule_move_steps()

    def _accepts(self, document: Document) -> bool:
        accepted = self._validator.accepts(document)
        if not accepted and self._knowledge is not None:
            self._knowledge.on_refused(document)
        return accepted

    def _find_run_refusal(self, call: Call) -> str:
        """Return why the gate must not start a run, "" if it may."""
        refusal = self._access.find_run_refusal(call, self._clock.boottime())
        if refusal is None:
            return ""
        labels = {"place": "gate", "reason": refusal.reason}
        self._metrics.access_refusals.inc(labels)
        return refusal.reason

    def _count_sent(self, address: str, frame: Frame, size_bytes: int) -> None:
        place = "same" if self._network.is_nearby(address) else "other"
        labels = {"message": message_kind(frame), "failure_domain": place}
        self._metrics.sent_bytes.add(labels, size_bytes)

    def _count_response(self, size_bytes: int) -> None:
        self._pacer.sent(size_bytes, self._clock.monotonic())

    def _on_gate_state_change(self) -> None:
        self._network.broadcast_status()

    def _count_run(self, organisation: str, ago_s: float) -> None:
        if self._usage is not None:
            self._usage.count_run(organisation, ago_s)

    def _on_run_failure(self) -> None:
        """Report failures of the new version of a running move immediately."""
        order = self._versions.orders.get(self._settings.service)
        if order is None or order.progress is None:
            return
        now_s = self._clock.monotonic()
        report = self._gate.gate.report(now_s)
        running = order.progress.state is OrderState.RUNNING
        is_moving = running and report.version == order.version
        if is_moving and now_s - self._failure_reported_s >= FAILURE_REPORT_INTERVAL_S:
            self._failure_reported_s = now_s
            self._network.broadcast_status()

    def _collect_metrics(self) -> RelayMetrics:
        metrics = self._metrics
        gate = self._gate.gate
        metrics.version.set({}, max(0, self._validator.version))
        metrics.gate_calls.set({"state": "running"}, gate.running)
        metrics.gate_calls.set({"state": "waiting"}, gate.waiting)
        now_s = self._clock.monotonic()
        metrics.target_speed.set({}, gate.speed(now_s))
        metrics.target_pace.set({}, gate.pace.limit if gate.pace.in_force else 0)
        metrics.target_occupied.set({}, gate.occupied(now_s))
        metrics.dials.set({}, self._link.counters.dials)
        metrics.link_wait_seconds.set({}, self._link.backlog_s)
        linked = sum(peer.linked for peer in self._directory) - 1
        missing = sum(peer.missing_since_s < inf for peer in self._directory)
        metrics.peers.set({"state": "linked"}, linked)
        metrics.peers.set({"state": "missing"}, missing)
        metrics.peers.set({"state": "known"}, len(self._directory.addresses))
        if self._freshness is not None:
            age_s = self._freshness.age_s(self._clock.boottime())
            metrics.configuration_age_seconds.set({}, -1.0 if age_s == inf else age_s)
        metrics.store_era.set({}, self._documents.era)
        metrics.follows_store.set({}, int(self._follower.following))
        metrics.store_answer_age_seconds.set({}, self._follower.answer_age_s)
        if self._usage is not None:
            self._usage.update_metrics()
        return metrics


def _parse_listen_address(text: str) -> Address:
    parsed = parse_address(text)
    if parsed.is_error():
        raise ValueError(parsed.error.reason)
    return parsed.ok
