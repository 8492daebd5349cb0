"""Exchange calls, statuses and documents with the other daemons."""

from collections.abc import Callable
from typing import TypeAlias

from attrs import frozen

from catkinhollow.events import EventManager
from catkinhollow.generated.relay import (
    Answer,
    Call,
    CallOutcome,
    Cancel,
    Document,
    DocumentIndex,
    Documents,
    Frame,
    Status,
)
from catkinhollow.logs import get_logger
from catkinhollow.mesh.links import LinkDown, LinkUp
from catkinhollow.relay.document_transfer import pack_documents, unpack_documents
from catkinhollow.relay.documents import DigestComparison, DocumentTable
from catkinhollow.relay.exchange_table import ExchangeTable, OpenCall
from catkinhollow.relay.gate_service import GateService, Submission
from catkinhollow.relay.links import FrameLink, LinkEvent
from catkinhollow.relay.peer_watch import PeerWatch, SendStatus
from catkinhollow.relay.peers import Peer, PeerDirectory
from catkinhollow.timer import Timer

logger = get_logger(__name__)

LINK_WATCH_INTERVAL_S = 0.2

SentCall: TypeAlias = OpenCall | Submission


@frozen(kw_only=True)
class DocumentChanged:
    """Signal that a document is new, changed or deleted."""

    document: Document
    source: str
    """The store, or the address of the peer that has sent the document."""


class PeerNetwork:
    """Connect the gate, the ingress and the documents with the peers."""

    def __init__(
        self,
        *,
        incarnation: int,
        directory: PeerDirectory,
        documents: DocumentTable,
        gate: GateService,
        link: FrameLink,
        timer: Timer,
        events: EventManager,
        accepts: Callable[[Document], bool],
        is_store_lost: Callable[[], bool],
    ) -> None:
        self._accepts = accepts
        self._is_store_lost = is_store_lost
        self._address = directory.own.record.address
        self._incarnation = incarnation
        self._directory = directory
        self._documents = documents
        self._gate = gate
        self._link = link
        self._timer = timer
        self._clock = timer.clock
        self._events = events
        self._watch = PeerWatch()
        self._exchanges = ExchangeTable()
        self._last_call_id = 1
        self._incoming_calls: dict[tuple[str, int], Submission] = {}
        # Incarnation of each connected daemon by address, 0 until its first
        # frame arrives.
        self._incarnations: dict[str, int] = {}
        self._digest_comparison = DigestComparison()
        # Peer that was last asked for documents.
        self._index_address = ""
        self._linked_addresses: set[str] = set()
        self._link_update_due = False

    @property
    def directory(self) -> PeerDirectory:
        """Return the known daemons."""
        return self._directory

    def next_call_id(self) -> int:
        """Return an id that is unique among the calls of this daemon."""
        self._last_call_id += 1
        return self._last_call_id

    def refresh_own_report(self) -> None:
        """Update the report of this daemon's own target."""
        now_s = self._clock.monotonic()
        self._directory.own.update_report(self._gate.gate.report(now_s), now_s)

    def call(
        self, peer: Peer, call: Call, on_answer: Callable[[Answer], None]
    ) -> SentCall:
        """Send a call to a gate.

        The callback gets one answer, possibly before this method returns, and
        none after `cancel`.
        """
        if peer is self._directory.own:
            return self._gate.submit(call, on_answer)
        address = peer.record.address
        opened = self._exchanges.open(call.call_id, address, on_answer)
        peer.sent_since_report += 1
        if not self._send(address, call=call):
            self._exchanges.remove(opened)
            on_answer(
                Answer(
                    call_id=call.call_id,
                    outcome=CallOutcome.NOT_RUN,
                    body=b"",
                    reason="no link to the gate",
                )
            )
        return opened

    def cancel(self, sent: SentCall) -> None:
        """Cancel a call whose answer is no longer needed."""
        if isinstance(sent, Submission):
            self._gate.cancel(sent)
        elif self._exchanges.remove(sent):
            self._send(sent.address, cancel=Cancel(call_id=sent.call_id))

    def schedule_link_update(self) -> None:
        """Update the links once after a series of changes in the directory."""
        if not self._link_update_due:
            self._link_update_due = True
            self._timer.call_after(0.0, self.update_links)

    def update_links(self) -> None:
        """Connect to all known daemons and disconnect from all others."""
        self._link_update_due = False
        wanted = self._directory.addresses
        for address in self._incarnations.keys() - wanted:
            self._link.disconnect(address)
            del self._incarnations[address]
        for address in wanted:
            self._incarnations.setdefault(address, 0)
            self._link.connect(address)
        for peer in self._directory:
            # The link may have come up before the peer's record arrived.
            if peer.record.address in self._linked_addresses and not peer.linked:
                peer.linked = True
                self._send_status(peer.record.address, reply=False)

    def broadcast_status(self) -> None:
        """Send the current status to all linked peers.

        It is marked as a reply, so that the peers do not reply to it.
        """
        for peer in self._directory:
            if peer.linked and peer is not self._directory.own:
                self._send_status(peer.record.address, reply=True)

    async def run(self) -> None:
        """Process events of the links until cancelled."""
        self._timer.subscribe(LINK_WATCH_INTERVAL_S, self._watch_links)
        await self._link.run(self._handle_event)

    def _handle_event(self, event: LinkEvent) -> None:
        match event:
            case LinkUp(address=address):
                self._on_link_up(address)
            case LinkDown(address=address):
                self._on_link_down(address)
            case frame:
                self._handle_frame(frame)

    def _on_link_up(self, address: str) -> None:
        self._linked_addresses.add(address)
        self._watch.link_up(address, self._clock.monotonic())
        peer = self._directory.by_address(address)
        if peer is not None:
            peer.linked = True
            logger.info("link up", peer=peer.record.name, address=address)
        self._send_status(address, reply=False)

    def _on_link_down(self, address: str) -> None:
        self._linked_addresses.discard(address)
        self._watch.link_down(address)
        lost = self._exchanges.fail_calls(address)
        if address == self._index_address:
            self._digest_comparison.lost()
        peer = self._directory.by_address(address)
        if peer is not None:
            peer.linked = False
            peer.report = None
            peer.disconnected_s = self._clock.monotonic()
            logger.info(
                "link down", peer=peer.record.name, address=address, calls_lost=lost
            )

    def _watch_links(self) -> None:
        now_s = self._clock.monotonic()
        for command in self._watch.check(self._exchanges.addresses, now_s):
            if isinstance(command, SendStatus):
                self._send_status(command.address, reply=False)
            else:
                logger.warning("dead link reset", address=command.address)
                self._link.reset(command.address)
        for peer in self._directory:
            address = peer.record.address
            if peer.linked and peer is not self._directory.own:
                peer.unresponsive = self._watch.is_unresponsive(address, now_s)

    def _handle_frame(self, frame: Frame) -> None:
        sender = frame.sender
        now_s = self._clock.monotonic()
        self._record_contact(sender, frame.incarnation, now_s)
        if frame.call is not None:
            self._handle_call(sender, frame.call)
        elif frame.answer is not None:
            self._handle_answer(sender, frame.answer, now_s)
        elif frame.cancel is not None:
            submission = self._incoming_calls.pop((sender, frame.cancel.call_id), None)
            if submission is not None:
                self._gate.cancel(submission)
        elif frame.status is not None:
            self._handle_status(sender, frame.status, now_s)
        elif frame.document_index is not None:
            self._send_documents(sender, frame.document_index)
        elif frame.documents is not None:
            self._handle_documents(sender, frame.documents)

    def _send_documents(self, address: str, index: DocumentIndex) -> None:
        newer = self._documents.newer_than(index.versions)
        message = pack_documents(newer, compressed=index.accepts_compressed)
        self._send(address, documents=message)

    def _handle_documents(self, sender: str, message: Documents) -> None:
        self._digest_comparison.answered()
        unpacked = unpack_documents(message)
        if unpacked.is_error():
            reason = unpacked.error.reason
            logger.warning("documents dropped", peer=sender, reason=reason)
            return
        for document in unpacked.ok:
            self.offer_document(document, source=sender)

    def offer_document(self, document: Document, source: str) -> None:
        """Store a document and signal the change if it is newer and valid."""
        if not self._documents.is_newer(document) or not self._accepts(document):
            return
        if self._documents.offer(document):
            logger.debug(
                "document changed",
                name=document.name,
                revision=document.revision,
                deleted=document.deleted,
                source=source,
            )
            self._events.emit(DocumentChanged(document=document, source=source))

    def _record_contact(self, sender: str, incarnation: int, now_s: float) -> None:
        self._watch.record_contact(sender, now_s)
        peer = self._directory.by_address(sender)
        if peer is not None:
            peer.unresponsive = False
        known = self._incarnations.get(sender)
        if known is None:
            # This daemon has not received the peer's record yet, and therefore
            # has no connection to it.
            self._link.connect(sender)
        elif known and known != incarnation:
            # The peer has restarted and will not answer the open calls to it.
            self._exchanges.fail_calls(sender)
        self._incarnations[sender] = incarnation
        if sender not in self._linked_addresses:
            self._link.contacted(sender)

    def _handle_call(self, sender: str, call: Call) -> None:
        key = (sender, call.call_id)

        def send_answer(answer: Answer) -> None:
            self._incoming_calls.pop(key, None)
            self._send(sender, answer=answer)

        submission = self._gate.submit(call, send_answer)
        if not submission.answered:
            self._incoming_calls[key] = submission

    def _handle_answer(self, sender: str, answer: Answer, now_s: float) -> None:
        peer = self._directory.by_address(sender)
        if peer is not None and answer.report is not None:
            peer.update_report(answer.report, now_s)
        self._exchanges.complete(sender, answer)

    def _handle_status(self, sender: str, status: Status, now_s: float) -> None:
        peer = self._directory.by_address(sender)
        if peer is not None and status.report is not None:
            peer.update_report(status.report, now_s)
        if not status.reply:
            self._send_status(sender, reply=True)
        self._compare_documents(sender, status.digest)

    def _compare_documents(self, sender: str, digest: int) -> None:
        now_s = self._clock.monotonic()
        peer = self._directory.by_address(sender)
        same_domain = peer is not None and (
            peer.record.failure_domain == self._directory.own.record.failure_domain
        )
        if self._digest_comparison.is_due(
            self._documents.digest,
            digest,
            now_s,
            same_domain=same_domain,
            store_lost=self._is_store_lost(),
        ):
            index = DocumentIndex(
                versions=self._documents.versions, accepts_compressed=True
            )
            self._index_address = sender
            if not self._send(sender, document_index=index):
                self._digest_comparison.lost()

    def _send_status(self, address: str, *, reply: bool) -> None:
        status = Status(
            reply=reply,
            digest=self._documents.digest,
            report=self._gate.gate.report(self._clock.monotonic()),
        )
        self._send(address, status=status)

    def _send(
        self,
        address: str,
        *,
        call: Call | None = None,
        answer: Answer | None = None,
        cancel: Cancel | None = None,
        status: Status | None = None,
        document_index: DocumentIndex | None = None,
        documents: Documents | None = None,
    ) -> bool:
        frame = Frame(
            sender=self._address,
            incarnation=self._incarnation,
            call=call,
            answer=answer,
            cancel=cancel,
            status=status,
            document_index=document_index,
            documents=documents,
        )
        return self._link.send(address, frame)
