"""Keep the newest revision of the stored objects that every daemon needs.

The store revision of an object increases with every change. A daemon therefore
never returns to an older revision, whether a document comes from the store or
from a peer.

When the store has come back from a copy, a document may keep its content under
a revision of the new era. Among documents of one revision, the one whose
content is newer counts as newer, so that all daemons end with the same one.
"""

from collections.abc import Iterable
from math import inf

from attrs import define, evolve
from xxhash import xxh3_64_intdigest

from catkinhollow.generated.relay import Document, DocumentVersion, KeptContent
from catkinhollow.relay.documents.kinds import EVACUATIONS
from catkinhollow.relay.documents.store_revision import era_of, own_number

# The store delivers a change to all daemons within milliseconds; documents are
# only requested from a peer if a difference lasts longer than this.
LASTING_DIFFERENCE_S = 0.5
# The same limit for peers in another failure domain: traffic between failure
# domains is expensive, and a nearby peer usually has the document as well.
CROSS_DOMAIN_DIFFERENCE_S = 1.0
# Differences observed further apart than this do not count as one lasting
# difference. Peers send 12 statuses/s or, in a small fleet, one status per
# second each.
MAX_OBSERVATION_GAP_S = 2.0
# Minimum time between requests, so that not every peer sends the same change.
MIN_REQUEST_INTERVAL_S = 0.25
# Time after which an unanswered request is given up. A slow link needs about
# 1 s for all documents; more requests at the same time would delay them.
REQUEST_TIMEOUT_S = 2.0
EMPTY_DIGEST = 0
# Source of a document that comes from the store, not from a peer.
STORE_SOURCE = "store"


@define
class DigestComparison:
    """Decide when to request newer documents from a peer."""

    _own_digest: int = EMPTY_DIGEST
    _differs_since_s: float = inf
    _difference_seen_s: float = -inf
    _requested_s: float = -inf
    _awaits_answer: bool = False

    def is_due(
        self,
        own: int,
        other: int,
        now_s: float,
        *,
        same_domain: bool,
        is_urgent: bool = False,
    ) -> bool:
        """Return whether to request documents from the digest's sender.

        A daemon without a configuration requests them at once.
        """
        if own != self._own_digest:
            self._own_digest = own
            self._differs_since_s = inf
        if other in (own, EMPTY_DIGEST):
            return False
        if now_s - self._difference_seen_s > MAX_OBSERVATION_GAP_S:
            self._differs_since_s = inf
        self._difference_seen_s = now_s
        self._differs_since_s = min(self._differs_since_s, now_s)
        min_difference_s = (
            LASTING_DIFFERENCE_S if same_domain else CROSS_DOMAIN_DIFFERENCE_S
        )
        lasting = now_s - self._differs_since_s >= min_difference_s
        interval_s = (
            REQUEST_TIMEOUT_S if self._awaits_answer else MIN_REQUEST_INTERVAL_S
        )
        if not (lasting or is_urgent) or now_s - self._requested_s < interval_s:
            return False
        self._requested_s = now_s
        self._awaits_answer = True
        return True

    def answered(self) -> None:
        """Record the answer to a request, which may be empty."""
        self._awaits_answer = False

    def lost(self) -> None:
        """Record that a request will not be answered."""
        self._awaits_answer = False
        self._requested_s = -inf


class DocumentTable:
    """Keep the newest known revision of each document."""

    def __init__(self) -> None:
        self._documents: dict[str, Document] = {}
        self._digest = EMPTY_DIGEST
        self._era = 0

    @property
    def digest(self) -> int:
        """Return a hash of all revisions."""
        return self._digest

    @property
    def era(self) -> int:
        """Return the newest era of the store that a document has shown."""
        return self._era

    @property
    def versions(self) -> list[DocumentVersion]:
        """Return the revision of each document."""
        return [
            DocumentVersion(name=document.name, revision=document.revision)
            for document in self._documents.values()
        ]

    def get(self, name: str) -> Document | None:
        """Return a document, None if it is unknown or deleted."""
        document = self._documents.get(name)
        return None if document is None or document.deleted else document

    def find(self, name: str) -> Document | None:
        """Return a document or its deletion, None if it is unknown."""
        return self._documents.get(name)

    def revision(self, name: str) -> int:
        """Return the revision of a document, -1 if it is unknown."""
        document = self._documents.get(name)
        return -1 if document is None else document.revision

    def named(self, names: Iterable[str]) -> list[Document]:
        """Return the documents with these names, deleted ones included."""
        return [self._documents[name] for name in names if name in self._documents]

    def of_kind(self, kind: str) -> list[Document]:
        """Return the existing documents of a kind."""
        prefix = f"{kind}/"
        return [
            document
            for document in self._documents.values()
            if document.name.startswith(prefix) and not document.deleted
        ]

    def is_newer(self, document: Document) -> bool:
        """Return whether a document is newer than the known one."""
        known = self._documents.get(document.name)
        return known is None or position(known) < position(document)

    def offer(self, document: Document) -> bool:
        """Store a document if it is newer; return whether it was stored."""
        if not self.is_newer(document):
            return False
        known = self._documents.get(document.name)
        if known is not None:
            self._digest ^= _hash(known)
        self._documents[document.name] = document
        self._digest ^= _hash(document)
        self._era = max(self._era, era_of(document.revision))
        return True

    def find_deletions(
        self, kind: str, names: set[str], revision: int
    ) -> list[Document]:
        """Return the changes of documents that a complete listing lacks.

        Documents newer than the listing's revision are kept. A document of an
        older era may be missing because the store has lost it: it keeps its
        content until its writer writes it again. An evacuation whose number
        the store has reached may as well have been removed since, and nobody
        could remove it again; it counts as removed.
        """
        changes = []
        for document in self.of_kind(kind):
            if document.name in names or document.revision >= revision:
                continue
            is_of_older_era = era_of(document.revision) < era_of(revision)
            is_reached = own_number(document.revision) <= own_number(revision)
            if is_of_older_era and not (
                kind == EVACUATIONS and document.kept is None and is_reached
            ):
                changes.append(keep_content(document, revision, unstored=True))
            elif not is_unstored(document):
                changes.append(
                    Document(
                        name=document.name, revision=revision, deleted=True, body=b""
                    )
                )
        return changes

    def newer_than(self, versions: Iterable[DocumentVersion]) -> list[Document]:
        """Return the documents that a peer with these versions lacks.

        The versions do not tell which content they stand for, so that kept
        content is always returned.
        """
        known = {version.name: version.revision for version in versions}
        return [
            document
            for document in self._documents.values()
            if document.kept is not None
            or document.revision > known.get(document.name, -1)
        ]


def content_revision(document: Document) -> int:
    """Return the revision at which the store held a document's content."""
    return document.revision if document.kept is None else document.kept.revision


def keep_content(document: Document, revision: int, *, unstored: bool) -> Document:
    """Return a document with the same content under a later revision."""
    kept = KeptContent(revision=content_revision(document), unstored=unstored)
    return evolve(document, revision=revision, kept=kept)


def is_unstored(document: Document) -> bool:
    """Return whether the store shows no object that the content belongs to."""
    return document.kept is not None and document.kept.unstored


def delete_kept(document: Document) -> Document:
    """Return the deletion of a document that only the daemons hold."""
    kept = KeptContent(revision=content_revision(document) + 1, unstored=True)
    return evolve(document, deleted=True, body=b"", kept=kept)


def position(document: Document) -> tuple[int, int]:
    """Return by what documents of one name are ordered."""
    kept = document.kept
    return document.revision, 0 if kept is None else kept.revision


def _hash(document: Document) -> int:
    kept = "" if document.kept is None else f" {document.kept.revision}"
    return xxh3_64_intdigest(f"{document.name} {document.revision}{kept}".encode())
