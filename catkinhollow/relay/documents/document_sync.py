"""Exchange documents with the other daemons."""

from collections.abc import Callable, Collection
from typing import Protocol

from attrs import frozen

from catkinhollow.events import EventManager
from catkinhollow.generated.relay import (
    Document,
    DocumentAnnouncement,
    DocumentIndex,
    DocumentRequest,
    Documents,
    DocumentVersion,
)
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents.document_flood import (
    ChangeDamper,
    DocumentFlood,
    DocumentPulls,
)
from catkinhollow.relay.documents.document_table import DigestComparison, DocumentTable
from catkinhollow.relay.documents.document_transfer import (
    pack_documents,
    unpack_documents,
)
from catkinhollow.relay.documents.kept_documents import DocumentKeeper
from catkinhollow.relay.documents.kinds import DAEMONS
from catkinhollow.timer import Timer

logger = get_logger(__name__)

# Changes within this time are passed on together.
FLOOD_INTERVAL_S = 0.02
PULL_INTERVAL_S = 0.1
RELEASE_INTERVAL_S = 0.05
# Time from the announcement of a document to its arrival that is logged.
LATE_DOCUMENT_S = 0.5


@frozen(kw_only=True)
class DocumentChanged:
    """Signal that a document is new, changed or deleted."""

    document: Document
    source: str
    """The store, or the address of the peer that has sent the document."""


class DocumentLink(Protocol):
    """Send the messages that documents need."""

    @property
    def neighbours(self) -> Collection[str]:
        """Return the addresses of the linked neighbours on the hash rings."""

    @property
    def linked(self) -> Collection[str]:
        """Return the addresses of all linked peers."""

    def is_nearby(self, address: str) -> bool:
        """Return whether a peer is in the same failure domain."""

    def send_documents(self, address: str, message: Documents) -> bool:
        """Send documents; return False if no byte of them will be sent."""

    def send_index(self, address: str, message: DocumentIndex) -> bool:
        """Send an index; return False if no byte of it will be sent."""

    def send_announcement(self, address: str, message: DocumentAnnouncement) -> bool:
        """Announce documents; return False if no byte of it will be sent."""

    def send_request(self, address: str, message: DocumentRequest) -> bool:
        """Request documents; return False if no byte of it will be sent."""


class DocumentSync:
    """Pass changes on, request what is missing and repair differences."""

    def __init__(
        self,
        *,
        link: DocumentLink,
        documents: DocumentTable,
        timer: Timer,
        events: EventManager,
        accepts: Callable[[Document], bool],
        is_configured: Callable[[], bool],
        is_confirmed: Callable[[str], bool],
    ) -> None:
        self._link = link
        self._documents = documents
        self._timer = timer
        self._clock = timer.clock
        self._events = events
        self._accepts = accepts
        self._is_configured = is_configured
        self._comparison = DigestComparison()
        # Peer that was last asked for all newer documents.
        self._index_address = ""
        self._flood = DocumentFlood()
        self._pulls = DocumentPulls(is_confirmed)
        self._damper = ChangeDamper()
        self._keeper = DocumentKeeper()
        self._flush_due = self._pull_due = self._release_due = False

    @property
    def digest(self) -> int:
        """Return a hash of the revisions of all documents."""
        return self._documents.digest

    def offer(self, document: Document, source: str) -> None:
        """Store a newer document, signal the change and pass it on."""
        now_s = self._clock.monotonic()
        delay = self._pulls.received(document.name, document.revision, now_s)
        if delay is not None and delay.waited_s > LATE_DOCUMENT_S:
            logger.info(
                "document late",
                name=document.name,
                revision=document.revision,
                waited_ms=int(delay.waited_s * 1000),
                requests=delay.requests,
                source=source,
            )
        if not self._documents.is_newer(document):
            return
        known = self._documents.find(document.name)
        document = self._keeper.choose(known, document)
        if not self._accepts(document):
            return
        if not self._damper.passes(document, source, now_s):
            self._schedule_release()
            return
        era = self._documents.era
        if not self._documents.offer(document):
            return
        if known is not None:
            self._keeper.record_replaced(known, document)
        self._keeper.record_stored(document)
        if self._documents.era > era:
            logger.warning(
                "store came back from a copy",
                era=self._documents.era,
                name=document.name,
                source=source,
            )
        logger.debug(
            "document changed",
            name=document.name,
            revision=document.revision,
            deleted=document.deleted,
            kept=document.kept is not None,
            source=source,
        )
        # Records of daemons come in bursts, and a late one does no harm.
        is_record = document.name.startswith(f"{DAEMONS}/")
        others = () if is_record else self._link.linked
        self._flood.add(document, self._link.neighbours, others, source)
        self._schedule_flush()
        self._events.emit(DocumentChanged(document=document, source=source))

    def compare(self, sender: str, digest: int, *, configured: bool) -> None:
        """Request all newer documents if a difference to a peer lasts."""
        if self._comparison.is_due(
            self._documents.digest,
            digest,
            self._clock.monotonic(),
            same_domain=self._link.is_nearby(sender),
            is_urgent=configured and not self._is_configured(),
        ):
            index = DocumentIndex(
                versions=self._documents.versions, accepts_compressed=True
            )
            self._index_address = sender
            if not self._link.send_index(sender, index):
                self._comparison.lost()

    def handle_index(self, sender: str, index: DocumentIndex) -> None:
        """Send the documents that a peer lacks."""
        newer = self._documents.newer_than(index.versions)
        message = pack_documents(newer, compressed=index.accepts_compressed)
        self._link.send_documents(sender, message)

    def handle_documents(self, sender: str, message: Documents) -> None:
        """Store the documents that a peer has sent."""
        if sender == self._index_address:
            self._comparison.answered()
        unpacked = unpack_documents(message)
        if unpacked.is_error():
            reason = unpacked.error.reason
            logger.warning("documents dropped", peer=sender, reason=reason)
            return
        for document in unpacked.ok:
            self._flood.informed(sender, document.name)
            self.offer(document, sender)

    def handle_announcement(self, sender: str, message: DocumentAnnouncement) -> None:
        """Request the announced documents that are newer."""
        now_s = self._clock.monotonic()
        near = self._link.is_nearby(sender)
        for version in message.versions:
            known = self._documents.revision(version.name)
            if known >= version.revision:
                self._flood.informed(sender, version.name)
            else:
                self._pulls.announced(version, sender, now_s, same_domain=near)
        self._pull()

    def handle_request(self, sender: str, message: DocumentRequest) -> None:
        """Send the documents that a peer has requested by name."""
        documents = self._documents.named(message.names)
        self._link.send_documents(sender, pack_documents(documents, compressed=True))

    def announce_all(self, address: str) -> None:
        """Announce the documents that must not be late to one peer."""
        versions = [
            version
            for version in self._documents.versions
            if not version.name.startswith(f"{DAEMONS}/")
        ]
        if versions:
            message = DocumentAnnouncement(versions=versions)
            self._link.send_announcement(address, message)

    def link_down(self, address: str) -> None:
        """Ask other peers for what was requested from this one."""
        self._pulls.lost(address)
        if address == self._index_address:
            self._comparison.lost()

    def _schedule_flush(self) -> None:
        if self._flood.pending and not self._flush_due:
            self._flush_due = True
            self._timer.call_after(FLOOD_INTERVAL_S, self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        for address, changes in self._flood.take().items():
            if changes.pushed:
                documents = self._documents.named(changes.pushed)
                message = pack_documents(documents, compressed=len(documents) > 1)
                self._link.send_documents(address, message)
            if changes.announced:
                versions = [
                    DocumentVersion(name=document.name, revision=document.revision)
                    for document in self._documents.named(changes.announced)
                ]
                announcement = DocumentAnnouncement(versions=versions)
                self._link.send_announcement(address, announcement)

    def _schedule_release(self) -> None:
        if self._damper.pending and not self._release_due:
            self._release_due = True
            self._timer.call_after(RELEASE_INTERVAL_S, self._release)

    def _release(self) -> None:
        self._release_due = False
        for document, source in self._damper.take_due(self._clock.monotonic()):
            self.offer(document, source)
        self._schedule_release()

    def _pull(self) -> None:
        now_s = self._clock.monotonic()
        for address, names in self._pulls.take_due(now_s).items():
            if not self._link.send_request(address, DocumentRequest(names=names)):
                self._pulls.lost(address)
        if self._pulls.pending and not self._pull_due:
            self._pull_due = True
            self._timer.call_after(PULL_INTERVAL_S, self._on_pull_due)

    def _on_pull_due(self) -> None:
        self._pull_due = False
        self._pull()
