"""Keep the knowledge of the newest configuration young."""

from collections.abc import Callable, Collection, Iterable
from math import inf
from typing import Protocol

import trio
from expression import Result

from catkinhollow.errors import StoreError
from catkinhollow.generated.relay import Document, Knowledge
from catkinhollow.generated.store import ObjectList, StoredObject
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents.document_sync import DocumentChanged
from catkinhollow.relay.documents.document_table import DocumentTable
from catkinhollow.relay.documents.kinds import CONFIGURATION, CONFIGURATION_NAME
from catkinhollow.relay.links.network import (
    KnowledgeReceived,
    PeerLinked,
    PeerUnlinked,
)
from catkinhollow.relay.organisations.knowledge_plan import (
    Command,
    KnowledgePlan,
    PollStore,
)
from catkinhollow.timer import Clock

logger = get_logger(__name__)

DOCUMENT_NAME = f"{CONFIGURATION}/{CONFIGURATION_NAME}"
# The store answers a watch without changes after this time, for the price of a
# call. A listing would transfer the whole configuration each time.
POLL_WAIT_S = 0.02
# Share of the bound after which a call of the store is given up. Later calls
# are sent meanwhile, as the connection may be silent.
POLL_TIMEOUT_SHARE = 0.5
# Calls of the store that may be open at the same time. The watches and writes
# of the daemon share the connections with them.
MAX_OPEN_POLLS = 3
# Longest time between two checks, as a share of the bound, because the role of
# a follower may change.
CHECK_SHARE = 0.1
# The same while nothing is known, as all requests with keys are refused.
FIRST_CHECK_SHARE = 0.01


class WatchedStore(Protocol):
    """Return changes of the configuration."""

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ObjectList, StoreError]:
        """Return the objects changed after a revision."""


class KnowledgeNetwork(Protocol):
    """Send messages to linked peers."""

    @property
    def linked_addresses(self) -> Iterable[str]:
        """Return the addresses of all linked peers."""

    @property
    def linked_neighbours(self) -> Collection[str]:
        """Return the addresses of the linked neighbours on the hash rings."""

    def send_knowledge(self, address: str, message: Knowledge) -> None:
        """Send a message unless the link is down."""


class KnowledgeService:
    """Carry out the commands of a knowledge plan."""

    def __init__(
        self,
        *,
        plan: KnowledgePlan,
        store: WatchedStore,
        network: KnowledgeNetwork,
        table: DocumentTable,
        apply_object: Callable[[StoredObject], bool],
        is_follower: Callable[[], bool],
        has_organisations: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._plan = plan
        self._store = store
        self._network = network
        self._table = table
        self._apply_object = apply_object
        self._is_follower = is_follower
        self._has_organisations = has_organisations
        self._clock = clock
        self._nursery: trio.Nursery | None = None
        self._admits = False
        self._open_polls = 0
        self._configured = trio.Event()
        self._polled_revision = 0
        # Newest revision that the store has told.
        self._newest = 0

    async def run(self) -> None:
        """Ask the store and the peers until cancelled."""
        freshness = self._plan.freshness
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                self._configured = trio.Event()
                delay_s = CHECK_SHARE * freshness.bound_s
                if self._has_organisations():
                    self._check()
                    if freshness.known_s == -inf:
                        delay_s = FIRST_CHECK_SHARE * freshness.bound_s
                    due_s = self._plan.next_check_s(is_follower=self._is_follower())
                    delay_s = min(delay_s, due_s - self._clock.boottime())
                with trio.move_on_after(max(0.01, delay_s)):
                    await self._configured.wait()

    def on_link_up(self, event: PeerLinked) -> None:
        """Exchange the knowledge with a peer that was not linked."""
        self._execute(self._plan.link_up(event.address, self._clock.boottime()))

    def on_link_down(self, event: PeerUnlinked) -> None:
        """Forget a peer whose link is down."""
        self._plan.forget(event.address)

    def on_knowledge(self, event: KnowledgeReceived) -> None:
        """Process the message of a peer."""
        commands = self._plan.heard(
            event.sender,
            event.incarnation,
            event.message,
            self._clock.boottime(),
            self._network.linked_neighbours,
        )
        self._execute(commands)

    def on_document(self, event: DocumentChanged) -> None:
        """Process a configuration that is in force now."""
        self._settle(event.document, enforced=True)

    def on_refused(self, document: Document) -> None:
        """Process a document that is refused for its content."""
        self._settle(document, enforced=False)

    def _settle(self, document: Document, *, enforced: bool) -> None:
        if document.name == DOCUMENT_NAME:
            self._settle_revision(document.revision, enforced=enforced)
            self._configured.set()

    def _settle_revision(self, revision: int, *, enforced: bool) -> None:
        now_s = self._clock.boottime()
        neighbours = self._network.linked_neighbours
        self._execute(
            self._plan.settled(revision, now_s, neighbours, enforced=enforced)
        )

    def _check(self) -> None:
        now_s = self._clock.boottime()
        commands = self._plan.check(
            now_s,
            self._network.linked_addresses,
            is_follower=self._is_follower(),
        )
        self._execute(commands)
        freshness = self._plan.freshness
        if freshness.admits(now_s) != self._admits:
            self._admits = not self._admits
            if self._admits:
                logger.info("requests with keys admitted")
            else:
                age_ms = int(1000 * freshness.age_s(now_s))
                logger.warning("requests with keys refused", age_ms=age_ms)

    def _execute(self, commands: Iterable[Command]) -> None:
        for command in commands:
            if not isinstance(command, PollStore):
                self._network.send_knowledge(command.address, command.message)
            elif self._nursery is not None and self._open_polls < MAX_OPEN_POLLS:
                self._open_polls += 1
                self._nursery.start_soon(self._poll)

    async def _poll(self) -> None:
        try:
            await self._ask_store()
        finally:
            self._open_polls -= 1

    async def _ask_store(self) -> None:
        asked_s = self._clock.boottime()
        after = max(self._polled_revision, self._table.revision(DOCUMENT_NAME))
        timeout_s = POLL_TIMEOUT_SHARE * self._plan.freshness.bound_s
        with trio.move_on_after(timeout_s):
            result = await self._store.watch(
                CONFIGURATION, after=after, wait_s=POLL_WAIT_S
            )
            if result.is_ok():
                self._process_answer(result.ok, asked_s)

    def _process_answer(self, answer: ObjectList, asked_s: float) -> None:
        for stored in answer.objects:
            if stored.name != CONFIGURATION_NAME:
                continue
            self._newest = max(self._newest, stored.revision)
            if not self._apply_object(stored):
                self._settle_revision(stored.revision, enforced=False)
        self._polled_revision = max(self._polled_revision, answer.revision)
        newest = max(self._newest, self._table.revision(DOCUMENT_NAME))
        now_s = self._clock.boottime()
        neighbours = self._network.linked_neighbours
        self._execute(self._plan.store_answered(newest, asked_s, now_s, neighbours))
