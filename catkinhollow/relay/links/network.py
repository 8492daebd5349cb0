"""Connect the calls and the documents of a daemon with its peers."""

from collections.abc import Callable, Collection
from math import inf
from random import Random

from attrs import frozen

from catkinhollow.events import EventManager
from catkinhollow.generated.relay import (
    Answer,
    Call,
    Document,
    Frame,
    Knowledge,
    Status,
    TargetReport,
    UsageBeacon,
    UsageMessage,
)
from catkinhollow.logs import get_logger
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.relay.admission.gate_service import GateService, Submission
from catkinhollow.relay.documents.document_sync import DocumentSync
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.follower_election import FollowerElection
from catkinhollow.relay.links.link_keeper import LinkKeeper
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.nng_link import FrameLink, LinkEvent
from catkinhollow.relay.links.peer_processes import (
    FrameOrigin,
    PeerProcess,
    PeerProcesses,
)
from catkinhollow.relay.links.peer_sender import PeerSender
from catkinhollow.relay.links.peer_watch import (
    PeerWatch,
    ResetLink,
    SendStatus,
    Silence,
)
from catkinhollow.relay.links.remote_calls import RemoteCalls, SentCall
from catkinhollow.relay.placement.peers import Peer, PeerDirectory
from catkinhollow.relay.usage.news import UsageNews
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Interval of the checks while a peer is late with an answer.
LINK_WATCH_INTERVAL_S = 0.1
# Interval of the checks while no peer is late. A check in between would only
# take processor time: no status is due and no limit can have passed.
CALM_WATCH_INTERVAL_S = 0.2
LINK_UPDATE_INTERVAL_S = 1.0
# Interval of the reports about the own target to those who decide its move.
MOVE_REPORT_INTERVAL_S = 0.5


@frozen(kw_only=True)
class PeerLinked:
    """Signal that messages can be sent to a peer."""

    address: str


@frozen(kw_only=True)
class PeerUnlinked:
    """Signal that no message can be sent to a peer."""

    address: str


@frozen(kw_only=True)
class KnowledgeReceived:
    """Signal that a peer has told how old its knowledge is."""

    sender: str
    incarnation: int
    message: Knowledge


class PeerNetwork:
    """Maintain the links to peers and dispatch the frames on them."""

    def __init__(
        self,
        *,
        incarnation: int,
        directory: PeerDirectory,
        documents: DocumentTable,
        gate: GateService,
        link: FrameLink,
        plan: LinkPlan,
        election: FollowerElection,
        timer: Timer,
        events: EventManager,
        accepts: Callable[[Document], bool],
        is_configured: Callable[[], bool],
        store_reached_s: Callable[[], float],
    ) -> None:
        self._incarnation = incarnation
        self._is_configured = is_configured
        self._store_reached_s = store_reached_s
        self._directory = directory
        self._gate = gate
        self._link = link
        self._plan = plan
        self._election = election
        self._timer = timer
        self._events = events
        self._clock = timer.clock
        self._watch = PeerWatch()
        self._sender = PeerSender(directory, link, incarnation)
        self._calls = RemoteCalls(self._sender, gate, timer, incarnation)
        self._sync = DocumentSync(
            link=self._sender,
            documents=documents,
            timer=timer,
            events=events,
            accepts=accepts,
            is_configured=is_configured,
            is_confirmed=lambda address: self._watch.is_confirmed(
                address, self._clock.monotonic()
            ),
            # Differs between daemons, also if they start together.
            random=Random(directory.own.record.address),
        )
        self._processes = PeerProcesses(incarnation)
        self._keeper = LinkKeeper()
        # Since when nothing has come from each peer whose link was replaced
        # for this.
        self._silent_since_s: dict[str, float] = {}
        self._wanted: set[str] = set()
        self._link_update_due = False
        self._early_watch_due = False
        self._usage: UsageNews | None = None

    @property
    def directory(self) -> PeerDirectory:
        """Return the known daemons."""
        return self._directory

    @property
    def linked_addresses(self) -> Collection[str]:
        """Return the addresses of all linked peers."""
        return self._sender.linked

    @property
    def linked_neighbours(self) -> Collection[str]:
        """Return the addresses of the linked neighbours on the hash rings."""
        return self._sender.neighbours

    def send_knowledge(self, address: str, message: Knowledge) -> None:
        """Send a message about the newest configuration to a linked peer."""
        self._sender.send_knowledge(address, message)

    def is_nearby(self, address: str) -> bool:
        """Return whether a peer is in the same failure domain."""
        return self._sender.is_nearby(address)

    def next_call_id(self) -> int:
        """Return an id that no other call of any process has."""
        return self._calls.next_call_id()

    def refresh_own_report(self) -> None:
        """Update the report of this daemon's own target."""
        now_s = self._clock.monotonic()
        report = self._gate.gate.report(now_s, routes=True)
        self._directory.own.update_report(report, now_s)

    def call(
        self, peer: Peer, call: Call, on_answer: Callable[[Answer], None]
    ) -> SentCall:
        """Send a call to a gate.

        The callback gets one answer, possibly before this method returns, and
        none after `cancel`.
        """
        if peer is self._directory.own:
            return self._gate.submit(call, on_answer)
        if peer.is_full:
            self._note_full_target(call.service)
        peer.sent_since_report += 1
        return self._calls.call(peer.record.address, call, on_answer)

    def cancel(self, sent: SentCall) -> None:
        """Cancel a call whose answer is no longer needed."""
        if isinstance(sent, Submission):
            self._gate.cancel(sent)
        else:
            self._calls.cancel(sent)

    def use_service(self, service: str) -> None:
        """Link to targets of a service that callers on the instance use."""
        if self._plan.use(service, self._clock.monotonic()):
            self.update_links()

    def offer_document(self, document: Document, source: str) -> None:
        """Store a newer document, signal the change and pass it on."""
        self._sync.offer(document, source)

    def schedule_link_update(self) -> None:
        """Update the links once after a series of changes in the directory."""
        if not self._link_update_due:
            self._link_update_due = True
            self._timer.call_after(0.0, self.update_links)

    def update_links(self) -> None:
        """Connect to the planned peers and disconnect from unneeded ones."""
        self._link_update_due = False
        now_s = self._clock.monotonic()
        self._wanted = self._plan.wanted(now_s)
        self._sender.set_neighbours(self._plan.neighbours(now_s))
        for address in self._wanted:
            self._keeper.need(address, now_s)
            peer = self._directory.by_address(address)
            if peer is not None and not self._sender.is_up(address):
                peer.missing_since_s = min(peer.missing_since_s, now_s)
            self._link.connect(address)
        self._disconnect_unneeded(now_s)
        for peer in self._directory:
            # The link may have come up before the peer's record arrived.
            if self._sender.is_up(peer.record.address) and not peer.linked:
                self._mark_linked(peer)
                self._send_status(peer.record.address, reply=False)

    def broadcast_status(self) -> None:
        """Send the current status to all linked peers.

        It is marked as a reply, so that the peers do not reply to it.
        """
        for address in self._sender.linked:
            self._send_status(address, reply=True)

    def attach_usage(self, news: UsageNews) -> None:
        """Pass on what peers tell about usage, and tell it in statuses."""
        self._usage = news

    def send_usage(self, address: str, message: UsageMessage) -> bool:
        """Send a message about usage, over a link of its own if needed.

        The link is kept while messages follow, without regular statuses.
        """
        self._keeper.need(address, self._clock.monotonic())
        self._link.connect(address)
        return self._sender.is_up(address) and self._sender.send_usage(address, message)

    def reset_usage(self, address: str) -> None:
        """Replace a link that carries no receipts, unless it is watched."""
        is_watched = address in self._wanted or self._calls.is_busy(address)
        if self._sender.is_up(address) and not is_watched:
            self._link.reset(address)

    async def run(self) -> None:
        """Process events of the links until cancelled."""
        self._timer.subscribe(CALM_WATCH_INTERVAL_S, self._watch_links)
        self._timer.subscribe(LINK_UPDATE_INTERVAL_S, self.update_links)
        self._timer.subscribe(MOVE_REPORT_INTERVAL_S, self._report_to_move_writers)
        await self._link.run(self._handle_event)

    def _note_full_target(self, service: str) -> None:
        if self._plan.target_full(service, self._clock.monotonic()):
            self.schedule_link_update()

    def _disconnect_unneeded(self, now_s: float) -> None:
        self._processes.forget_silent(now_s)
        unneeded = self._keeper.take_unneeded(
            self._wanted,
            self._calls.is_busy,
            lambda address: self._directory.by_address(address) is not None,
            now_s,
        )
        for address in unneeded:
            peer = self._directory.by_address(address)
            if peer is not None:
                peer.missing_since_s = inf
            self._silent_since_s.pop(address, None)
            self._watch.forget(address)
            self._link.disconnect(address)

    def _handle_event(self, event: LinkEvent) -> None:
        match event:
            case LinkUp(address=address):
                self._on_link_up(address)
            case LinkDown(address=address):
                self._on_link_down(address)
            case frame:
                self._handle_frame(frame)

    def _on_link_up(self, address: str) -> None:
        self._sender.link_up(address)
        self._watch.link_up(address, self._clock.monotonic())
        peer = self._directory.by_address(address)
        if peer is not None:
            self._mark_linked(peer)
            logger.info("link up", peer=peer.record.name, address=address)
        self._send_status(address, reply=False, resumed=True)
        self._calls.link_up(address)
        # The last link may have lost what was announced.
        self._sync.announce_all(address)
        self._events.emit(PeerLinked(address=address))

    def _mark_linked(self, peer: Peer) -> None:
        peer.linked = True
        peer.missing_since_s = inf

    def _on_link_down(self, address: str) -> None:
        self._sender.link_down(address)
        self._watch.link_down(address)
        self._calls.link_down(address)
        self._sync.link_down(address)
        self._events.emit(PeerUnlinked(address=address))
        peer = self._directory.by_address(address)
        if peer is not None:
            peer.linked = False
            peer.report = None
            if address in self._wanted:
                peer.missing_since_s = self._clock.monotonic()
            logger.info("link down", peer=peer.record.name, address=address)

    def _watch_links(self) -> None:
        now_s = self._clock.monotonic()
        self._check_links(now_s)
        if self._watch.may_be_late(CALM_WATCH_INTERVAL_S, now_s):
            self._schedule_early_watch()

    def _schedule_early_watch(self) -> None:
        """Check a late peer before the next check at the calm interval."""
        if not self._early_watch_due:
            self._early_watch_due = True
            self._timer.call_after(LINK_WATCH_INTERVAL_S, self._watch_early)

    def _watch_early(self) -> None:
        self._early_watch_due = False
        self._check_links(self._clock.monotonic())

    def _check_links(self, now_s: float) -> None:
        if not self._watch.is_due(CALM_WATCH_INTERVAL_S, now_s):
            return
        for address, progress_s in self._link.progress.items():
            self._watch.record_progress(address, progress_s)
        near = {address for address in self._wanted if self._sender.is_nearby(address)}
        far = self._wanted - near
        busy = self._calls.busy_addresses
        for command in self._watch.check(near, far, busy, now_s):
            if isinstance(command, SendStatus):
                self._send_status(command.address, reply=False)
            else:
                self._reset_dead_link(command, now_s)
        unresponsive = self._watch.find_unresponsive(now_s)
        for address in self._sender.linked:
            peer = self._directory.by_address(address)
            if peer is not None:
                peer.unresponsive = address in unresponsive

    def _reset_dead_link(self, command: ResetLink, now_s: float) -> None:
        logger.warning(
            "dead link reset",
            address=command.address,
            reason=command.silence,
            silent_ms=int(command.silent_s * 1000),
            link_age_ms=int(command.link_age_s * 1000),
        )
        if command.silence is Silence.NO_FRAMES:
            self._silent_since_s[command.address] = now_s - command.silent_s
        self._link.reset(command.address)

    def _report_to_move_writers(self) -> None:
        for address in self._plan.move_writers():
            if self._sender.is_up(address):
                self._send_status(address, reply=True)

    def _handle_frame(self, frame: Frame) -> None:
        now_s = self._clock.monotonic()
        known = self._processes.running(frame.sender)
        origin = self._processes.record(frame, now_s)
        if origin.is_late:
            self._handle_late_frame(frame, origin, now_s)
            return
        if origin is FrameOrigin.RESTARTED and known is not None:
            self._on_restart(frame, known)
        self._record_contact(frame, now_s)
        if frame.call is not None:
            self._calls.handle_call(frame.sender, frame.call)
        elif frame.answer is not None:
            self._handle_answer(frame.sender, frame.answer, now_s)
        elif frame.status is not None:
            self._handle_status(frame.sender, frame.status, now_s)
        else:
            self._handle_unordered_frame(frame)

    def _on_restart(self, frame: Frame, known: PeerProcess) -> None:
        logger.info(
            "peer restarted",
            address=frame.sender,
            incarnation=frame.incarnation,
            before=known.incarnation,
        )
        # The earlier process will not answer the open calls.
        self._calls.peer_restarted(frame.sender)

    def _handle_late_frame(
        self, frame: Frame, origin: FrameOrigin, now_s: float
    ) -> None:
        """Handle a frame that says nothing about the running process."""
        if origin is FrameOrigin.OTHER_PROCESS:
            self._ask_process(frame.sender, now_s)
        if frame.call is not None:
            self._calls.refuse_late(frame.sender, frame.call, origin)
        elif frame.answer is not None:
            # Its report about the target is out of date.
            self._calls.handle_answer(frame.sender, frame.answer)
        elif frame.status is not None:
            self._handle_departures(frame.status)
        else:
            self._handle_unordered_frame(frame)

    def _ask_process(self, address: str, now_s: float) -> None:
        """Ask whether a process runs that is not the known one of a peer."""
        self._keep_link(address, now_s)
        if not self._sender.is_up(address):
            # The first status on the link asks for an answer, too.
            return
        silent_s = self._processes.take_silence_s(address, now_s)
        reset = None
        if silent_s is not None:
            reset = self._watch.reset_undelivered(address, silent_s, now_s)
        if reset is not None:
            self._reset_dead_link(reset, now_s)
            return
        process = self._processes.take_question(address, now_s)
        if process is not None:
            self._send_status(address, reply=False, asked=process)

    def _handle_unordered_frame(self, frame: Frame) -> None:
        """Handle a message whose content tells how old it is."""
        sender = frame.sender
        if frame.cancel is not None:
            self._calls.handle_cancel(sender, frame.cancel)
        elif frame.knowledge is not None:
            received = KnowledgeReceived(
                sender=sender, incarnation=frame.incarnation, message=frame.knowledge
            )
            self._events.emit(received)
        elif frame.usage is not None:
            if self._usage is not None:
                self._usage.receive(sender, frame.incarnation, frame.usage)
        else:
            self._handle_document_frame(sender, frame)

    def _handle_document_frame(self, sender: str, frame: Frame) -> None:
        if frame.document_index is not None:
            self._sync.handle_index(sender, frame.document_index)
        elif frame.documents is not None:
            self._sync.handle_documents(sender, frame.documents)
        elif frame.announcement is not None:
            self._sync.handle_announcement(sender, frame.announcement)
        elif frame.document_request is not None:
            self._sync.handle_request(sender, frame.document_request)

    def _record_contact(self, frame: Frame, now_s: float) -> None:
        sender = frame.sender
        is_bulk = any((frame.call, frame.answer, frame.fragment))
        self._watch.record_contact(sender, now_s, is_bulk=is_bulk)
        self._silent_since_s.pop(sender, None)
        peer = self._directory.by_address(sender)
        if peer is not None and peer.linked:
            peer.unresponsive = self._watch.is_unresponsive(sender, now_s)
        self._keep_link(sender, now_s)

    def _keep_link(self, address: str, now_s: float) -> None:
        """Maintain a link to a daemon that has sent a frame."""
        if self._keeper.contacted(address, now_s):
            self._link.connect(address)
        if not self._sender.is_up(address):
            self._link.contacted(address)

    def _handle_answer(self, sender: str, answer: Answer, now_s: float) -> None:
        peer = self._directory.by_address(sender)
        if peer is not None and answer.report is not None:
            peer.update_report(answer.report, now_s)
        sent_s = self._calls.handle_answer(sender, answer)
        if sent_s is not None:
            self._watch.record_delivery(sender, sent_s)

    def _handle_status(self, sender: str, status: Status, now_s: float) -> None:
        if status.receiver == self._incarnation:
            self._record_heard(sender, status, now_s)
        if status.silent_ms:
            reset = self._watch.check_report(sender, status.silent_ms / 1000.0, now_s)
            if reset is not None:
                self._reset_dead_link(reset, now_s)
        peer = self._directory.by_address(sender)
        if peer is not None and status.report is not None:
            peer.update_report(status.report, now_s)
        if status.store_age_ms is not None:
            self._election.hear(status.store_age_ms / 1000.0, now_s)
        self._hear_usage(status.usage)
        self._handle_departures(status)
        link_works = self._calls.handle_status(sender, status)
        if (
            not link_works
            and self._sender.is_up(sender)
            and sender not in self._link.progress
        ):
            logger.warning("link reset, an answer was lost", address=sender)
            self._link.reset(sender)
        if not status.reply:
            self._send_status(sender, reply=True)
        if status.resumed and status.digest != self._sync.digest:
            # The peer may have lost its requests with the last link.
            self._sync.announce_all(sender)
        self._sync.compare(sender, status.digest, configured=status.configured)

    def _handle_departures(self, status: Status) -> None:
        for departure in status.departures:
            self._gate.depart(departure.lifetime, departure.started_ms)

    def _record_heard(self, sender: str, status: Status, now_s: float) -> None:
        """Record what a peer tells about the link to it."""
        # Earlier releases know the receiver, but not what has arrived.
        if not status.received:
            return
        self._watch.record_heard(
            sender,
            status.heard_ms,
            status.received,
            now_s,
            status.sent_ms / 1000.0,
        )
        if self._watch.is_unresponsive(sender, now_s):
            self._schedule_early_watch()

    def _hear_usage(self, beacon: UsageBeacon | None) -> None:
        if beacon is not None and self._usage is not None:
            self._usage.hear(beacon)

    def _report_for(self, address: str, *, asks: bool) -> TargetReport | None:
        """Return the report of the own target that a status carries.

        Bytes between failure domains are expensive. A far peer that needs the
        report asks for it, and its placer does without the run times.
        """
        now_s = self._clock.monotonic()
        if self.is_nearby(address):
            return self._gate.gate.report(now_s, routes=True)
        return None if asks else self._gate.gate.report(now_s)

    def _send_status(
        self,
        address: str,
        *,
        reply: bool,
        resumed: bool = False,
        asked: PeerProcess | None = None,
    ) -> None:
        """Send the current status to a peer.

        It tells what has arrived from the running process of the peer, or from
        another process that is asked whether it runs.
        """
        now_s = self._clock.monotonic()
        self._election.store_reached(self._store_reached_s())
        peer = self._directory.by_address(address)
        departure = peer.departure if peer is not None and resumed else None
        process = asked or self._processes.running(address)
        sent_ms = int(now_s * 1000)
        silent_since_s = self._silent_since_s.get(address, now_s)
        status = Status(
            departures=[departure] if departure is not None else [],
            reply=reply,
            resumed=resumed,
            receiver=process.incarnation if process else 0,
            sent_ms=sent_ms,
            heard_ms=process.status_ms if process else 0,
            received=process.messages if process else 0,
            silent_ms=int((now_s - silent_since_s) * 1000),
            digest=self._sync.digest,
            configured=self._is_configured(),
            store_age_ms=int(1000 * self._election.store_age_s(now_s)),
            open_calls=self._calls.open_calls(address),
            report=self._report_for(address, asks=not (reply or resumed)),
            usage=self._usage.beacon if self._usage is not None else None,
        )
        if self._sender.send_status(address, status):
            self._watch.record_status_sent(address, sent_ms)
