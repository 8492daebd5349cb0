"""Drive the moves that operators have ordered."""

from attrs import define

from catkinhollow.codec import to_plain
from catkinhollow.configuration.store import StoreClient
from catkinhollow.errors import StoreErrorKind
from catkinhollow.generated.relay import MoveOrder, MoveProgress
from catkinhollow.logs import get_logger
from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.kinds import ORDERS
from catkinhollow.relay.move_plan import MovePlan
from catkinhollow.relay.peers import PeerDirectory
from catkinhollow.timer import Clock

logger = get_logger(__name__)

STEP_INTERVAL_S = 0.1
# Daemons that may write a step; the second one waits for the first this long.
DRIVERS = 3
TAKEOVER_S = 1.0


@define(eq=False)
class _Driven:
    """Hold one order with its revision and the step that is due."""

    plan: MovePlan
    revision: int
    due: MoveProgress | None = None
    due_since_s: float = 0.0
    writing: bool = False


class MoveDriver:
    """Write the progress of orders; each write is conditional on the last.

    Every daemon follows every order, so a successor knows its age. The first
    daemons by rendezvous hash write, one after the other if a step stays due.
    """

    def __init__(
        self, store: StoreClient, directory: PeerDirectory, clock: Clock
    ) -> None:
        self._store = store
        self._directory = directory
        self._clock = clock
        self._driven: dict[str, _Driven] = {}

    @property
    def has_orders(self) -> bool:
        """Tell whether there is an order to follow."""
        return bool(self._driven)

    def take_order(self, order: MoveOrder, revision: int) -> None:
        """Take a new or changed order."""
        known = self._driven.get(order.service)
        same = known is not None and (
            known.plan.order.version,
            known.plan.order.order,
        ) == (order.version, order.order)
        if known is not None and same:
            known.plan.order = order
            known.revision = revision
            known.due = None
            return
        plan = MovePlan(order, self._clock.monotonic())
        self._driven[order.service] = _Driven(plan, revision)

    def drop_order(self, service: str) -> None:
        """Forget an order that is gone."""
        self._driven.pop(service, None)

    async def step(self) -> None:
        """Write each step that is due and falls to this daemon."""
        now_s = self._clock.monotonic()
        for service, driven in list(self._driven.items()):
            due = self._find_due(service, driven, now_s)
            if due is not None and not driven.writing:
                await self._write(service, driven, *due)

    def _find_due(
        self, service: str, driven: _Driven, now_s: float
    ) -> tuple[MoveProgress, str] | None:
        peers = self._directory.of_service(service)
        reports = [peer.report for peer in peers if peer.report]
        due = driven.plan.next_progress(reports, now_s)
        if due is None:
            driven.due = None
            return None
        if driven.due != due[0]:
            driven.due = due[0]
            driven.due_since_s = now_s
        rank = self._rank(service)
        if rank is None or now_s - driven.due_since_s < rank * TAKEOVER_S:
            return None
        return due

    def _rank(self, service: str) -> int | None:
        members = [peer.record.address for peer in self._directory if peer.linked]
        drivers = choose_by_rendezvous_hash(members, f"move/{service}", DRIVERS)
        own = self._directory.own.record.address
        return drivers.index(own) if own in drivers else None

    async def _write(
        self, service: str, driven: _Driven, progress: MoveProgress, reason: str
    ) -> None:
        driven.writing = True
        try:
            result = await self._store.put(
                ORDERS, service, to_plain(progress), if_revision=driven.revision
            )
        finally:
            driven.writing = False
        fields = {
            "service": service,
            "version": progress.version,
            "state": progress.state.value,
            "percent": progress.percent,
            "reason": reason,
        }
        if result.is_ok():
            logger.info("move step", revision=result.ok.revision, **fields)
            driven.revision = result.ok.revision
        elif result.error.kind is StoreErrorKind.CONFLICT:
            logger.info("move step made by another daemon", **fields)
            driven.due_since_s = self._clock.monotonic()
        else:
            logger.warning(
                "move step not written", store_error=result.error.reason, **fields
            )
            driven.due_since_s = self._clock.monotonic()
