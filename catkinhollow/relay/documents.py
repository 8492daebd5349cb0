"""Hold the stored objects that every daemon needs, newest revision first.

Each object is ordered by its own store revision, which grows with every
change. A daemon therefore never goes back, whichever way a document came.
"""

from collections.abc import Iterable
from math import inf

from attrs import define
from xxhash import xxh3_64_intdigest

from catkinhollow.generated.relay import Document, DocumentVersion

# The store brings a change to all daemons within milliseconds; only a
# difference that lasts longer is worth a transfer between them.
LASTING_S = 0.5
# The same where the peer is in another failure domain, as bytes between
# failure domains are dear and a peer nearby mostly has the document too.
FAR_LASTING_S = 1.0
# Differences further apart are not one that lasts. Peers send 12 statuses/s
# or, in a small fleet, one a second each.
CONTINUED_S = 2.0
# Time between two requests, so that a change does not come from every peer.
ASK_INTERVAL_S = 0.25
EMPTY_DIGEST = 0


@define
class DigestComparison:
    """Decide when to ask a peer for newer documents."""

    _own: int = EMPTY_DIGEST
    _since_s: float = inf
    _seen_s: float = -inf
    _asked_s: float = -inf

    def is_due(self, own: int, other: int, now_s: float, *, same_domain: bool) -> bool:
        """Tell whether to ask the peer whose digest has come."""
        if own != self._own:
            self._own = own
            self._since_s = inf
        if own == other:
            return False
        if now_s - self._seen_s > CONTINUED_S:
            self._since_s = inf
        self._seen_s = now_s
        self._since_s = min(self._since_s, now_s)
        least_s = LASTING_S if same_domain else FAR_LASTING_S
        lasting = own == EMPTY_DIGEST or now_s - self._since_s >= least_s
        if not lasting or now_s - self._asked_s < ASK_INTERVAL_S:
            return False
        self._asked_s = now_s
        return True


class DocumentTable:
    """Keep the newest known revision of each document."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._digest = EMPTY_DIGEST

    @property
    def digest(self) -> int:
        """Return a hash of all revisions."""
        return self._digest

    @property
    def versions(self) -> list[DocumentVersion]:
        """Return the revision of each document."""
        return [
            DocumentVersion(name=document.name, revision=document.revision)
            for document in self._documents.values()
        ]

    def get(self, name: str) -> Document | None:
        """Return a document that exists."""
        document = self._documents.get(name)
        return None if document is None or document.deleted else document

    def of_kind(self, kind: str) -> list[Document]:
        """Return the existing documents of a kind."""
        prefix = f"{kind}/"
        return [
            document
            for document in self._documents.values()
            if document.name.startswith(prefix) and not document.deleted
        ]

    def is_newer(self, document: Document) -> bool:
        """Tell whether a document is newer than the known one."""
        known = self._documents.get(document.name)
        return known is None or known.revision < document.revision

    def offer(self, document: Document) -> bool:
        """Take a document if it is newer than the known one."""
        if not self.is_newer(document):
            return False
        known = self._documents.get(document.name)
        if known is not None:
            self._digest ^= _hash(known)
        self._documents[document.name] = document
        self._digest ^= _hash(document)
        return True

    def missing_from(self, kind: str, names: set[str], revision: int) -> list[Document]:
        """Return deletions of what a whole listing at a revision lacks."""
        return [
            Document(name=document.name, revision=revision, deleted=True, body=b"")
            for document in self.of_kind(kind)
            if document.name not in names and document.revision < revision
        ]

    def newer_than(self, versions: Iterable[DocumentVersion]) -> list[Document]:
        """Return the documents that a peer with these versions lacks."""
        known = {version.name: version.revision for version in versions}
        return [
            document
            for document in self._documents.values()
            if document.revision > known.get(document.name, -1)
        ]


def _hash(document: Document) -> int:
    return xxh3_64_intdigest(f"{document.name} {document.revision}".encode())
