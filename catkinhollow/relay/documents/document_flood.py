"""Decide to which neighbours a changed document is passed on.

Every daemon passes a change to its neighbours on the hash rings, once. Small
documents are sent at once. Large ones are announced, so that each daemon
transfers them once, from the first neighbour that has them. Documents that
must not be late are also announced on all other links: when most daemons have
just ended, the neighbours of a daemon may all be among them. These
announcements wait a little, and none is sent to a peer that has announced the
document meanwhile: usually all peers have it by then.
"""

from collections.abc import Callable, Collection
from math import inf

from attrs import define, field, frozen

from catkinhollow.generated.relay import Document, DocumentVersion
from catkinhollow.relay.documents.document_table import position
from catkinhollow.relay.documents.kinds import CONFIGURATION

# Documents up to this size are sent without being requested. An announcement
# and a request take 150 bytes together.
MAX_PUSHED_BYTES = 2048
# Time without an answer after which the next neighbour is asked.
REQUEST_TIMEOUT_S = 0.5
# Minimum time between two revisions of a large document. In a series of
# changes some are skipped, because each one costs every daemon milliseconds.
MIN_REVISION_INTERVAL_S = 0.5
# The same for a small version of the configuration, which all daemons get.
MIN_VERSION_INTERVAL_S = 0.1
# Held revisions of a document beyond this number are decoded to find those
# that may be forgotten.
MAX_HELD_REVISIONS = 8
# Time that a neighbour in the same failure domain has to announce a document
# before it is requested from another failure domain, where traffic is
# expensive.
CROSS_DOMAIN_DELAY_S = 0.25


@define(eq=False)
class PendingChanges:
    """Collect what one neighbour has to be told."""

    pushed: set[str] = field(factory=set)
    """Names of documents to send."""
    announced: set[str] = field(factory=set)
    """Names of documents to announce."""


class DocumentFlood:
    """Collect changes for the neighbours and for other peers in batches."""

    def __init__(self) -> None:
        self._pending: dict[str, PendingChanges] = {}
        # Names of the documents to announce to peers that are no neighbours.
        self._others: dict[str, set[str]] = {}

    @property
    def pending(self) -> bool:
        """Return whether there is something to send to neighbours."""
        return bool(self._pending)

    @property
    def others_pending(self) -> bool:
        """Return whether there is something to announce to other peers."""
        return bool(self._others)

    def add(
        self,
        document: Document,
        neighbours: Collection[str],
        others: Collection[str],
        source: str,
    ) -> None:
        """Queue a changed document for all these peers except its source."""
        is_small = len(document.body) <= MAX_PUSHED_BYTES
        for address in {*neighbours} - {source}:
            changes = self._pending.setdefault(address, PendingChanges())
            if is_small:
                changes.pushed.add(document.name)
            else:
                changes.announced.add(document.name)
        for address in {*others} - {*neighbours, source}:
            self._others.setdefault(address, set()).add(document.name)

    def informed(self, address: str, name: str) -> None:
        """Record that a peer has the newest known revision already."""
        changes = self._pending.get(address)
        if changes is not None:
            changes.pushed.discard(name)
            changes.announced.discard(name)
        names = self._others.get(address)
        if names is not None:
            names.discard(name)
            if not names:
                del self._others[address]

    def take(self) -> dict[str, PendingChanges]:
        """Return and clear the queued changes by neighbour."""
        pending, self._pending = self._pending, {}
        return pending

    def take_others(self) -> dict[str, set[str]]:
        """Return and clear what is to be announced to other peers."""
        others, self._others = self._others, {}
        return others


@frozen
class PullDelay:
    """Describe how a document arrived that had been announced."""

    waited_s: float
    """Time since the first announcement of a newer revision."""
    requests: int


@define(eq=False)
class _Wanted:
    """Represent a newer document that neighbours have announced."""

    revision: int
    announced_s: float
    """When the first revision was announced that has not arrived since."""
    sources: dict[str, float] = field(factory=dict)
    """Earliest time of a request by the address of each neighbour."""
    requests: int = 0
    """Requests since then."""
    asked: str = ""
    """Address of the neighbour that was asked last."""
    requested_s: float = -inf


class ChangeDamper:
    """Hold back versions and large documents that follow too soon.

    The first revision after a calm time passes at once. Of those that follow
    the newest one passes when it is due, or an older one if it is refused.
    """

    def __init__(self) -> None:
        self._passed_s: dict[str, float] = {}
        # Of each document, with the newest revision first.
        self._held: dict[str, list[tuple[Document, str]]] = {}

    @property
    def pending(self) -> bool:
        """Return whether documents are held back."""
        return bool(self._held)

    def is_too_soon(self, document: Document, now_s: float) -> bool:
        """Return whether a document would be held back now."""
        held = self._held.get(document.name)
        if held and position(held[0][0]) >= position(document):
            return True
        passed_s = self._passed_s.get(document.name, -inf)
        return now_s - passed_s < _min_interval_s(document)

    def passes(self, document: Document, source: str, now_s: float) -> bool:
        """Return whether a document passes now; hold it back otherwise."""
        if self.is_too_soon(document, now_s):
            held = self._held.setdefault(document.name, [])
            if all(position(known) != position(document) for known, _ in held):
                held.append((document, source))
                held.sort(key=lambda item: position(item[0]), reverse=True)
            return False
        self._held.pop(document.name, None)
        self._passed_s[document.name] = now_s
        return True

    def held(self, name: str) -> list[tuple[Document, str]]:
        """Return the revisions held back of a document, newest first."""
        return list(self._held.get(name, []))

    def drop(self, document: Document) -> None:
        """Forget a revision that was held back."""
        held = self._held[document.name]
        held[:] = [item for item in held if item[0] is not document]

    def take_due(self, now_s: float) -> list[tuple[Document, str]]:
        """Return the newest revisions, with their sources, that may pass now.

        The next older ones are due at once, if the newer ones do not pass.
        """
        due = [
            name
            for name, held in self._held.items()
            if now_s - self._passed_s[name] >= _min_interval_s(held[0][0])
        ]
        taken = [self._held[name].pop(0) for name in due]
        self._held = {name: held for name, held in self._held.items() if held}
        return taken


def _min_interval_s(document: Document) -> float:
    """Return the minimum time between a revision and the one before."""
    if len(document.body) > MAX_PUSHED_BYTES:
        return MIN_REVISION_INTERVAL_S
    is_version = document.name.startswith(f"{CONFIGURATION}/")
    return MIN_VERSION_INTERVAL_S if is_version else 0.0


class DocumentPulls:
    """Choose the neighbour that an announced document is requested from.

    The link to a neighbour may be dead although its announcement arrived.
    """

    def __init__(self, is_confirmed: Callable[[str], bool]) -> None:
        self._is_confirmed = is_confirmed
        self._wanted: dict[str, _Wanted] = {}
        self._received_s: dict[str, float] = {}

    @property
    def pending(self) -> bool:
        """Return whether documents are missing."""
        return bool(self._wanted)

    def announced(
        self, version: DocumentVersion, source: str, now_s: float, *, same_domain: bool
    ) -> None:
        """Record that a neighbour has a newer document."""
        wanted = self._wanted.get(version.name)
        if wanted is None:
            wanted = _Wanted(version.revision, now_s)
            self._wanted[version.name] = wanted
        elif wanted.revision < version.revision:
            wanted.revision = version.revision
            wanted.sources = {}
        if wanted.revision == version.revision:
            delay_s = 0.0 if same_domain else CROSS_DOMAIN_DELAY_S
            wanted.sources.setdefault(source, now_s + delay_s)

    def received(self, name: str, revision: int, now_s: float) -> PullDelay | None:
        """Record that a document has arrived; return how long it took."""
        wanted = self._wanted.get(name)
        if wanted is None:
            return None
        self._received_s[name] = now_s
        delay = PullDelay(now_s - wanted.announced_s, wanted.requests)
        if wanted.revision <= revision:
            del self._wanted[name]
        else:
            wanted.requested_s = -inf
        return delay

    def lost(self, source: str) -> None:
        """Forget a neighbour whose link is down."""
        for wanted in self._wanted.values():
            wanted.sources.pop(source, None)
            if wanted.asked == source:
                wanted.requested_s = -inf

    def take_due(self, now_s: float) -> dict[str, list[str]]:
        """Return the names to request now by the address of a neighbour.

        A document without any remaining source is given up; the comparison of
        digests finds it again.
        """
        due: dict[str, list[str]] = {}
        for name, wanted in list(self._wanted.items()):
            if now_s - wanted.requested_s < REQUEST_TIMEOUT_S:
                continue
            received_s = self._received_s.get(name, -inf)
            if now_s - received_s < MIN_REVISION_INTERVAL_S:
                continue
            if not wanted.sources:
                del self._wanted[name]
                continue
            source = self._choose_source(wanted.sources, now_s)
            if source is not None:
                del wanted.sources[source]
                wanted.asked = source
                wanted.requested_s = now_s
                wanted.requests += 1
                due.setdefault(source, []).append(name)
        return due

    def _choose_source(self, sources: dict[str, float], now_s: float) -> str | None:
        ready = [address for address, at_s in sources.items() if at_s <= now_s]
        return min(
            ready,
            key=lambda address: (not self._is_confirmed(address), sources[address]),
            default=None,
        )
