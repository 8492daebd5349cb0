"""Send messages to the daemons that are linked."""

from collections.abc import Collection, Iterable
from itertools import count

from catkinhollow.generated.relay import (
    Answer,
    Call,
    Cancel,
    DocumentAnnouncement,
    DocumentIndex,
    DocumentRequest,
    Documents,
    Frame,
    Knowledge,
    Status,
    UsageMessage,
)
from catkinhollow.relay.links.nng_link import FrameLink
from catkinhollow.relay.placement.peers import PeerDirectory


class PeerSender:
    """Put messages into frames, and know which links carry them.

    Each method that sends returns False if no byte of the message will be
    sent.
    """

    def __init__(
        self, directory: PeerDirectory, link: FrameLink, incarnation: int
    ) -> None:
        self._directory = directory
        self._link = link
        self._address = directory.own.record.address
        self._incarnation = incarnation
        self._link_numbers = count(1)
        # Number of the link to each linked peer.
        self._up: dict[str, int] = {}
        self._neighbours: set[str] = set()

    @property
    def linked(self) -> list[str]:
        """Return the addresses of the peers whose link is up."""
        return list(self._up)

    @property
    def neighbours(self) -> Collection[str]:
        """Return the addresses of the linked neighbours on the hash rings."""
        return self._neighbours & self._up.keys()

    def set_neighbours(self, addresses: Iterable[str]) -> None:
        """Replace the neighbours on the hash rings."""
        self._neighbours = set(addresses)

    def link_up(self, address: str) -> None:
        """Record that messages can be sent to a peer."""
        self._up[address] = next(self._link_numbers)

    def link_down(self, address: str) -> None:
        """Record that no message can be sent to a peer."""
        self._up.pop(address, None)

    def is_up(self, address: str) -> bool:
        """Return whether the link to a peer is up."""
        return address in self._up

    def is_nearby(self, address: str) -> bool:
        """Return whether a peer is in the same failure domain."""
        peer = self._directory.by_address(address)
        own = self._directory.own.record
        return peer is not None and peer.record.failure_domain == own.failure_domain

    def send_call(self, address: str, call: Call, expires_s: float) -> bool:
        """Send a call to a gate, unless it waits beyond the given time."""
        return self._link.send(address, self._frame(address, call=call), expires_s)

    def send_answer(self, address: str, answer: Answer, expires_s: float) -> bool:
        """Send the answer to a call, unless it waits beyond the given time."""
        return self._link.send(address, self._frame(address, answer=answer), expires_s)

    def send_cancel(self, address: str, cancel: Cancel) -> bool:
        """Cancel a call."""
        return self._link.send(address, self._frame(address, cancel=cancel))

    def send_status(self, address: str, status: Status) -> bool:
        """Send the status of this daemon."""
        return self._link.send(address, self._frame(address, status=status))

    def send_documents(self, address: str, message: Documents) -> bool:
        """Send documents."""
        return self._link.send(address, self._frame(address, documents=message))

    def send_index(self, address: str, message: DocumentIndex) -> bool:
        """Send the revisions of all documents, to get newer ones."""
        return self._link.send(address, self._frame(address, document_index=message))

    def send_announcement(self, address: str, message: DocumentAnnouncement) -> bool:
        """Announce new revisions of documents."""
        return self._link.send(address, self._frame(address, announcement=message))

    def send_request(self, address: str, message: DocumentRequest) -> bool:
        """Request documents by name."""
        return self._link.send(address, self._frame(address, document_request=message))

    def send_knowledge(self, address: str, message: Knowledge) -> bool:
        """Tell how old the knowledge of the newest configuration is."""
        return self._link.send(address, self._frame(address, knowledge=message))

    def send_usage(self, address: str, message: UsageMessage) -> bool:
        """Send counts of runs, or their receipts."""
        return self._link.send(address, self._frame(address, usage=message))

    def _frame(
        self,
        address: str,
        *,
        call: Call | None = None,
        answer: Answer | None = None,
        cancel: Cancel | None = None,
        status: Status | None = None,
        document_index: DocumentIndex | None = None,
        documents: Documents | None = None,
        announcement: DocumentAnnouncement | None = None,
        document_request: DocumentRequest | None = None,
        knowledge: Knowledge | None = None,
        usage: UsageMessage | None = None,
    ) -> Frame:
        return Frame(
            sender=self._address,
            incarnation=self._incarnation,
            link=self._up.get(address, 0),
            call=call,
            answer=answer,
            cancel=cancel,
            status=status,
            document_index=document_index,
            documents=documents,
            announcement=announcement,
            document_request=document_request,
            knowledge=knowledge,
            usage=usage,
        )
