"""Decide which target versions of a service may get a call."""

from collections.abc import Iterable, Sequence
from random import Random

from catkinhollow.generated.relay import MoveOrder, OrderState, TargetReport
from catkinhollow.relay.moves.move_plan import VersionSums
from catkinhollow.relay.placement.peers import Peer

# This daemon stops sending calls to a new version, without waiting for the
# order's state, after this many failed runs. They must also be at least this
# share of its runs, and this share must be at least this many times that of
# the old version, because an outage that affects both makes both fail.
STOP_MIN_FAILURES = 12
STOP_MIN_FAILURE_SHARE = 0.25
STOP_MIN_FAILURE_RATIO = 3.0


def is_failing(new: Iterable[TargetReport], old: Iterable[TargetReport]) -> bool:
    """Return whether a new version fails too often to get more calls."""
    new_sums, old_sums = VersionSums.of(new), VersionSums.of(old)
    return (
        new_sums.failures >= STOP_MIN_FAILURES
        and new_sums.failure_share >= STOP_MIN_FAILURE_SHARE
        and new_sums.failure_share >= STOP_MIN_FAILURE_RATIO * old_sums.failure_share
    )


class VersionPolicy:
    """Choose between the old and the new version of a service that moves."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._orders: dict[str, MoveOrder] = {}
        # Accumulated share of the new version by service; it gets a call when
        # this reaches 1.
        self._credits: dict[str, float] = {}

    @property
    def orders(self) -> dict[str, MoveOrder]:
        """Return the orders by service."""
        return self._orders

    def set_orders(self, orders: Iterable[MoveOrder]) -> None:
        """Replace all orders."""
        self._orders = {order.service: order for order in orders}

    def candidates(self, service: str, peers: Sequence[Peer]) -> list[Peer]:
        """Return the peers that the next call of the service may go to."""
        order = self._orders.get(service)
        if order is None:
            return list(peers)
        new = [peer for peer in peers if _version(peer) == order.version]
        old = [peer for peer in peers if _version(peer) not in ("", order.version)]
        progress = order.progress
        if progress is None or progress.version != order.version:
            return old
        if progress.state is OrderState.WITHDRAWN:
            return old
        if progress.state is OrderState.DONE:
            return new or old
        if is_failing(_reports(new), _reports(old)):
            return old
        return new if new and self._picks_new(service, progress.percent) else old

    def _picks_new(self, service: str, percent: float) -> bool:
        if percent >= 100.0:
            return True
        if percent <= 0.0:
            return False
        credit = self._credits.get(service)
        if credit is None:
            # A random initial value, so that daemons that start together do
            # not choose the new version at the same time.
            credit = self._random.random()
        credit += percent / 100.0
        picked = credit >= 1.0
        self._credits[service] = credit - 1.0 if picked else credit
        return picked


def _reports(peers: Sequence[Peer]) -> list[TargetReport]:
    return [peer.report for peer in peers if peer.report]


def _version(peer: Peer) -> str:
    return peer.report.version if peer.report else ""
