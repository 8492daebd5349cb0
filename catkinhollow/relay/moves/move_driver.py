"""Write the steps of the moves that operators have ordered."""

from attrs import define

from catkinhollow.codec import to_plain
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import MoveOrder, MoveProgress
from catkinhollow.logs import get_logger
from catkinhollow.relay.documents.kinds import ORDERS
from catkinhollow.relay.links.link_plan import choose_move_writers
from catkinhollow.relay.moves.move_plan import MovePlan
from catkinhollow.relay.placement.peers import PeerDirectory
from catkinhollow.timer import Clock

logger = get_logger(__name__)

STEP_INTERVAL_S = 0.1
# Delay of each writer after the previous one, while the step is still due.
TAKEOVER_S = 1.0


@define(eq=False)
class _TrackedOrder:
    """Represent an order with its revision and the step that is due."""

    plan: MovePlan
    revision: int
    due: MoveProgress | None = None
    due_since_s: float = 0.0
    writing: bool = False
    kept: bool = False
    """Whether the store, back from a copy, lacks the progress."""
    unstored: bool = False
    """Whether the store lacks the order, so that no step can be written."""


class MoveDriver:
    """Write the progress of orders.

    Each write is conditional on the revision of the previous one. Every daemon
    tracks every order, so that a daemon that takes over knows the order's age.
    The first daemons by rendezvous hash may write a step; each waits longer
    than the one before it.

    Progress that the store lost when it came back from a copy is written again
    before the next step.
    """

    def __init__(
        self, store: StoreClient, directory: PeerDirectory, clock: Clock
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._orders: dict[str, _TrackedOrder] = {}

    @property
    def has_orders(self) -> bool:
        """Return whether there are orders."""
        return bool(self._orders)

    def update_order(
        self,
        order: MoveOrder,
        revision: int,
        *,
        kept: bool = False,
        unstored: bool = False,
    ) -> None:
        """Track a new or changed order, or one that the store has lost."""
        known = self._orders.get(order.service)
        same = known is not None and (
            known.plan.order.version,
            known.plan.order.order,
        ) == (order.version, order.order)
        if known is not None and same:
            known.plan.order = order
            known.revision = revision
            known.due = None
            known.kept = kept
            known.unstored = unstored
            return
        plan = MovePlan(order, self._clock.monotonic())
        self._orders[order.service] = _TrackedOrder(
            plan, revision, kept=kept, unstored=unstored
        )

    def remove_order(self, service: str) -> None:
        """Stop tracking a deleted order."""
        self._orders.pop(service, None)

    async def step(self) -> None:
        """Write each due step for which this daemon is responsible."""
        now_s = self._clock.monotonic()
        for service, tracked in list(self._orders.items()):
            due = self._find_due_step(service, tracked, now_s)
            if due is not None and not tracked.writing:
                await self._write(service, tracked, *due)

    def _find_due_step(
        self, service: str, tracked: _TrackedOrder, now_s: float
    ) -> tuple[MoveProgress, str] | None:
        due = self._find_next_progress(service, tracked, now_s)
        if due is None:
            tracked.due = None
            return None
        if tracked.due != due[0]:
            tracked.due = due[0]
            tracked.due_since_s = now_s
        rank = self._own_rank(service)
        if rank is None or now_s - tracked.due_since_s < rank * TAKEOVER_S:
            return None
        return due

    def _find_next_progress(
        self, service: str, tracked: _TrackedOrder, now_s: float
    ) -> tuple[MoveProgress, str] | None:
        if tracked.unstored:
            return None
        progress = tracked.plan.order.progress
        if tracked.kept and progress is not None:
            return progress, "the store has lost it"
        peers = self._directory.for_service(service)
        reports = [peer.report for peer in peers if peer.report]
        return tracked.plan.next_progress(reports, now_s)

    def _own_rank(self, service: str) -> int | None:
        writers = choose_move_writers(self._directory, service)
        own = self._directory.own.record.address
        return writers.index(own) if own in writers else None

    async def _write(
        self, service: str, tracked: _TrackedOrder, progress: MoveProgress, reason: str
    ) -> None:
        tracked.writing = True
        try:
            result = await self._store.put(
                ORDERS, service, to_plain(progress), if_revision=tracked.revision
            )
        finally:
            tracked.writing = False
        fields = {
            "service": service,
            "version": progress.version,
            "state": progress.state.value,
            "percent": progress.percent,
            "reason": reason,
        }
        if result.is_ok():
            logger.info("move step written", revision=result.ok.revision, **fields)
            tracked.revision = result.ok.revision
            tracked.kept = False
        elif result.error.kind is StoreErrorKind.CONFLICT:
            logger.info("move step written by another daemon", **fields)
            tracked.due_since_s = self._clock.monotonic()
        else:
            logger.warning(
                "move step not written", store_error=result.error.reason, **fields
            )
            tracked.due_since_s = self._clock.monotonic()
