"""Follow the objects of the store if this daemon passes changes on.

All daemons read the records of the others once when they start.
"""

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, Protocol

import trio
from attrs import define, field
from expression import Error, Result

from catkinhollow.codec import try_encode_message
from catkinhollow.configuration.backoff import Backoff
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import DecodeError, StoreError, StoreErrorKind
from catkinhollow.generated.relay import Document
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents.document_table import STORE_SOURCE, DocumentTable
from catkinhollow.relay.documents.kinds import DAEMONS, KINDS
from catkinhollow.relay.documents.store_monitor import ProbedStore, StoreMonitor
from catkinhollow.relay.documents.store_revision import era_of, join_revision
from catkinhollow.relay.relay_metrics import RelayMetrics
from catkinhollow.timer import Clock

logger = get_logger(__name__)

# A longer wait needs fewer calls; silent connections are detected by probes,
# not by the end of the wait.
WATCH_TIMEOUT_S = 25.0
# Pause after changes of daemon records, which come in bursts: without it the
# start of 90 daemons cost each of them one call per other daemon.
RECORDS_PAUSE_S = 0.3
# Changes are expected in force within 2 s after the store's return, which
# limits the delay between retries.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 1.2
# A follower that is turned away tries less often while others reach the store.
QUIET_RETRY_S = 4.0
# News of the store from this time after a failure show that others reach it;
# earlier news may be older than they seem, as statuses wait on full links.
FRESH_NEWS_S = 1.0
# A watch is dead if a peer had a change for this long that the watch has not
# returned. The store may lose an answer without closing its connection, and a
# large object on a slow link takes about 1 s.
DEAD_WATCH_S = 2.0
# Longest time between answers of a store that is slow, but answers.
MAX_ANSWER_AGE_S = 4.0
# Interval of the checks whether this daemon should follow the store.
ELECTION_INTERVAL_S = 0.5
# Time after its start in which a daemon may get the configuration from a peer
# before it reads the store itself.
PEER_WAIT_S = 1.0

OLDER_ERA = "answer of an older era"

OnDocument = Callable[[Document, str], None]


class RelayStore(StoreClient, ProbedStore, Protocol):
    """Extend the store by listings that may be some seconds old."""

    async def list_cached(self, kind: str) -> Result[ObjectList, StoreError]:
        """Return the objects of a kind as they were some seconds ago."""


class ObjectDecoder(Protocol):
    """Decode the value of a stored object to one of this package's types."""

    def __call__(self, stored: StoredObject) -> Result[Any, DecodeError]:
        """Return the typed value of an object that is not deleted."""


class FollowerRole(Protocol):
    """Decide what this daemon reads from the store."""

    def should_follow(self, now_s: float) -> bool:
        """Return whether this daemon should follow the store."""

    def is_reached_since(self, time_s: float) -> bool:
        """Return whether a daemon is known to have reached the store later."""


@define(eq=False)
class _FollowedKind:
    """Track what the own calls and the peers have told about a kind."""

    revision: int | None = None
    """Revision up to which the store has told all changes."""
    missing_revision: int = 0
    """Newest revision that a peer has sent."""
    missing_since_s: float = inf
    """When a peer sent the first change that the store has not told."""
    call: trio.CancelScope = field(factory=trio.CancelScope)

    def set_revision(self, revision: int) -> None:
        """Record the answer to a call."""
        self.revision = revision
        if revision >= self.missing_revision:
            self.missing_since_s = inf

    def expect(self, revision: int, now_s: float) -> None:
        """Record a change that a peer has sent."""
        if self.revision is not None and revision > self.revision:
            self.missing_revision = max(self.missing_revision, revision)
            self.missing_since_s = min(self.missing_since_s, now_s)


class StoreFollower:
    """Pass on the changes of the followed kinds while that is its role."""

    def __init__(
        self,
        *,
        store: RelayStore,
        decode: ObjectDecoder,
        table: DocumentTable,
        role: FollowerRole,
        on_document: OnDocument,
        clock: Clock,
        random: Random,
        metrics: RelayMetrics,
    ) -> None:
        self._store = store
        self._decode = decode
        self._table = table
        self._role = role
        self._on_document = on_document
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._monitor = StoreMonitor(store, clock)
        self._reachable: dict[str, bool] = {}
        self._followed: dict[str, _FollowedKind] = {}
        self._following = False
        self._answered_s = -inf
        self._configured = trio.Event()
        self._daemons_listed = trio.Event()

    @property
    def daemons_listed(self) -> trio.Event:
        """Return the event that is set once the other daemons are known."""
        return self._daemons_listed

    @property
    def following(self) -> bool:
        """Return whether the store answers this daemon."""
        return self._clock.monotonic() - self.reached_s <= MAX_ANSWER_AGE_S

    @property
    def reached_s(self) -> float:
        """Return when the store last answered, -inf if a kind is not read."""
        if not self._following or not all(
            self._reachable.get(kind, False) for kind in KINDS
        ):
            return -inf
        return self._last_answer_s

    @property
    def answer_age_s(self) -> float:
        """Return the seconds since the last answer, 0 if not following."""
        if not self._following:
            return 0.0
        return self._clock.monotonic() - self._last_answer_s

    @property
    def _last_answer_s(self) -> float:
        return max(self._answered_s, self._monitor.answered_s)

    def set_configured(self) -> None:
        """Record that a configuration is in force."""
        self._configured.set()

    def expect(self, kind: str, revision: int) -> None:
        """Expect a change that a peer has sent from the own watch as well."""
        followed = self._followed.get(kind)
        if followed is not None:
            followed.expect(revision, self._clock.monotonic())

    async def run(self) -> None:
        """Find the other daemons, then follow the store as long as needed."""
        await self._find_daemons()
        self._daemons_listed.set()
        await self._wait_for_configuration()
        while True:
            if not self._is_needed():
                await trio.sleep(ELECTION_INTERVAL_S)
                continue
            logger.info("store followed")
            self._following = True
            self._answered_s = self._clock.monotonic()
            await self._follow_while_needed()
            self._following = False
            self._reachable.clear()
            logger.info("store no longer followed")

    def _is_needed(self) -> bool:
        return self._role.should_follow(self._clock.monotonic())

    async def _find_daemons(self) -> None:
        """Read the records of the daemons, which may be some seconds old."""
        backoff = self._new_backoff()
        while not self._configured.is_set():
            if await self._read_once(DAEMONS):
                return
            with trio.move_on_after(backoff.next_delay()):
                await self._configured.wait()

    async def _wait_for_configuration(self) -> None:
        """Read the store if no peer sends the configuration in time."""
        backoff = self._new_backoff()
        delay_s = PEER_WAIT_S
        while not self._configured.is_set() and not self._is_needed():
            with trio.move_on_after(delay_s):
                await self._configured.wait()
                return
            for kind in KINDS:
                await self._read_once(kind)
            delay_s = PEER_WAIT_S + backoff.next_delay()

    async def _read_once(self, kind: str) -> bool:
        """Read objects that may be some seconds old; return if it worked."""
        result = await self._store.list_cached(kind)
        if result.is_error():
            logger.warning("store not read", kind=kind, reason=result.error.reason)
            return False
        if self._is_of_older_era(result.ok):
            logger.warning("store not read", kind=kind, reason=OLDER_ERA)
            return False
        self._apply_listing(kind, result.ok)
        return True

    async def _follow_while_needed(self) -> None:
        self._followed = {kind: _FollowedKind() for kind in KINDS}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._monitor.run)
            for kind, followed in self._followed.items():
                nursery.start_soon(self._follow, kind, followed)
            while self._is_needed():
                await trio.sleep(ELECTION_INTERVAL_S)
                self._end_dead_watches()
            nursery.cancel_scope.cancel()
        self._followed.clear()

    def _end_dead_watches(self) -> None:
        now_s = self._clock.monotonic()
        for kind, followed in self._followed.items():
            is_late = now_s - followed.missing_since_s > DEAD_WATCH_S
            if is_late and self._reachable.get(kind, False):
                logger.warning("dead watch ended", kind=kind)
                followed.missing_since_s = inf
                followed.call.cancel()

    def _new_backoff(self) -> Backoff:
        return Backoff(base_s=RETRY_BASE_S, max_s=RETRY_MAX_S, random=self._random)

    def _retry_delay_s(self, backoff: Backoff, lost_s: float) -> float:
        """Return the delay before the next call.

        All followers may have lost the store at the same moment, so that only
        news from the time after it justify a long delay.
        """
        delay_s = backoff.next_delay()
        if self._role.is_reached_since(lost_s + FRESH_NEWS_S):
            return max(delay_s, self._random.uniform(0.5, 1.0) * QUIET_RETRY_S)
        return delay_s

    async def _follow(self, kind: str, followed: _FollowedKind) -> None:
        backoff = self._new_backoff()
        lost_s = inf
        # Objects that change faster than their versions arrive. A watch would
        # return each version, a listing returns the newest one only.
        fast_changing: dict[str, int] = {}
        while True:
            result = await self._call_store(
                kind, followed, is_listing=bool(fast_changing)
            )
            if result.is_error():
                self._record_failure(kind, result.error.reason)
                lost_s = min(lost_s, self._clock.monotonic())
                await trio.sleep(self._retry_delay_s(backoff, lost_s))
                continue
            lost_s = inf
            backoff.reset()
            self._record_success(kind)
            self._expect_era(followed, result.ok.revision)
            fast_changing = self._find_fast_changing(result.ok, fast_changing)
            followed.set_revision(self._apply_listing(kind, result.ok))
            if kind == DAEMONS and result.ok.objects:
                await trio.sleep(RECORDS_PAUSE_S)

    async def _call_store(
        self, kind: str, followed: _FollowedKind, *, is_listing: bool
    ) -> Result[ObjectList, StoreError]:
        """Watch a kind, or list it if changes may have been missed."""
        result = await self._read_changes(kind, followed, is_listing=is_listing)
        if result.is_ok() and self._is_of_older_era(result.ok):
            error = StoreError(kind=StoreErrorKind.UNAVAILABLE, reason=OLDER_ERA)
            return Error(error)
        return result

    async def _read_changes(
        self, kind: str, followed: _FollowedKind, *, is_listing: bool
    ) -> Result[ObjectList, StoreError]:
        with trio.CancelScope() as followed.call:
            if followed.revision is None or is_listing:
                return await self._store.list_objects(kind)
            return await self._store.watch(
                kind, after=followed.revision, wait_s=WATCH_TIMEOUT_S
            )
        error = StoreError(kind=StoreErrorKind.UNAVAILABLE, reason="no answer")
        return Error(error)

    def _is_of_older_era(self, listing: ObjectList) -> bool:
        """Return whether a document has shown a newer era of the store."""
        return era_of(listing.revision) < self._table.era

    def _expect_era(self, answered: _FollowedKind, revision: int) -> None:
        """Expect the other kinds to show the era of an answer as well.

        Their watches may wait on connections that the store has lost.
        """
        if era_of(revision) <= era_of(answered.revision or 0):
            return
        now_s = self._clock.monotonic()
        for followed in self._followed.values():
            is_older = era_of(followed.revision or 0) < era_of(revision)
            if followed is not answered and is_older:
                followed.expect(join_revision(era_of(revision), 0), now_s)

    def _find_fast_changing(
        self, listing: ObjectList, known: dict[str, int]
    ) -> dict[str, int]:
        """Return the objects that are worth a listing, with their revision."""
        newest = {stored.name: stored.revision for stored in listing.objects}
        if listing.complete:
            return {
                name: newest[name]
                for name, revision in known.items()
                if newest.get(name, 0) > revision
            }
        changes = Counter(stored.name for stored in listing.objects)
        return {name: newest[name] for name, count in changes.items() if count > 1}

    def _apply_listing(self, kind: str, listing: ObjectList) -> int:
        newest = {stored.name: stored for stored in listing.objects}
        for stored in listing.objects:
            # The revision of a deletion may be higher than that of a later
            # change in the same response.
            if not stored.deleted or stored is newest[stored.name]:
                self.apply_object(stored)
        if listing.complete:
            names = {f"{kind}/{stored.name}" for stored in listing.objects}
            deletions = self._table.find_deletions(kind, names, listing.revision)
            for document in deletions:
                self._on_document(document, STORE_SOURCE)
        return listing.revision

    def apply_object(self, stored: StoredObject) -> bool:
        """Pass on one object of the store; return False if it is malformed."""
        name = f"{stored.kind}/{stored.name}"
        body = b""
        if not stored.deleted:
            decoded = self._decode(stored).bind(try_encode_message)
            if decoded.is_error():
                logger.error(
                    "object refused",
                    name=name,
                    revision=stored.revision,
                    reason=decoded.error.reason,
                )
                return False
            body = decoded.ok
        document = Document(
            name=name, revision=stored.revision, deleted=stored.deleted, body=body
        )
        self._on_document(document, STORE_SOURCE)
        return True

    def _record_failure(self, kind: str, reason: str) -> None:
        self._metrics.store_failures.inc({"kind": kind})
        if self._reachable.get(kind, True):
            age_ms = int(1000 * self.answer_age_s)
            logger.warning("store lost", kind=kind, reason=reason, answer_age_ms=age_ms)
        self._reachable[kind] = False

    def _record_success(self, kind: str) -> None:
        self._answered_s = self._clock.monotonic()
        if not self._reachable.get(kind, False):
            logger.info("store answers", kind=kind)
        self._reachable[kind] = True
