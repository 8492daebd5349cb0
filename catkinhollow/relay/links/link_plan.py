"""Decide which daemons this one is linked to.

The number of links of a daemon must not grow with the fleet. A daemon is
linked to its neighbours on hash rings, which pass changes on, and to some
targets of each service that its callers use. Rendezvous hashing chooses these
targets, those of the own failure domain first, so that all daemons together
use all targets about equally. A service gets more links while its calls have
to wait, and fewer afterwards.
"""

from collections.abc import Iterable, Iterator
from math import inf

from attrs import define

from catkinhollow.generated.relay import MoveOrder, OrderState
from catkinhollow.mesh.rings import choose_by_rendezvous_hash
from catkinhollow.relay.placement.peers import Peer, PeerDirectory

# Targets of a service that a daemon is linked to, if the service is large.
MAX_SUBSET = 6
# With fewer, one slow target takes more than a third of a daemon's calls.
MIN_SUBSET = 3
# Daemons that are linked to one target, on average. Small services are called
# by the whole fleet.
MAX_CALLERS = 24
# Targets in other failure domains, which take calls that find no slot nearby.
MIN_REMOTE = 2
# Links to targets that accept no calls, as a multiple of those that do. They
# are kept, because their state may change.
MAX_UNUSABLE_RATIO = 2
# Growth of the subset while its targets are full, and its limit.
GROWTH_STEP = 2
MAX_GROWTH = 16
GROWTH_INTERVAL_S = 0.5
# A grown subset shrinks after this time without full targets.
SHRINK_AFTER_S = 10.0
# Services whose targets are linked before they are called; with more services
# a daemon calls only some of them.
MAX_PRELINKED_SERVICES = 6
# Links to the targets of a service are kept for this long after a call.
UNUSED_SERVICE_S = 60.0
# Ring neighbours that can't be reached and are passed over on each ring.
MAX_PASSED_NEIGHBOURS = 3
# Daemons that may write the steps of a move; each later one waits longer.
MOVE_WRITERS = 4


@define
class _ServiceUse:
    """Represent how the callers of this daemon use a service."""

    used_s: float = -inf
    growth: int = 0
    changed_s: float = -inf
    full_s: float = -inf


class LinkPlan:
    """Choose the peers to which this daemon maintains a link."""

    def __init__(self, directory: PeerDirectory) -> None:
        self._directory = directory
        self._uses: dict[str, _ServiceUse] = {}
        self._configured: tuple[str, ...] = ()
        self._orders: dict[str, MoveOrder] = {}

    def set_services(self, names: Iterable[str]) -> None:
        """Replace the services of the configuration."""
        self._configured = tuple(names)

    def set_orders(self, orders: dict[str, MoveOrder]) -> None:
        """Replace the move orders by service."""
        self._orders = orders

    def use(self, service: str, now_s: float) -> bool:
        """Record a call; return whether the service was not used before."""
        use = self._uses.setdefault(service, _ServiceUse())
        is_new = now_s - use.used_s > UNUSED_SERVICE_S
        use.used_s = now_s
        return is_new and service not in self._prelinked

    def target_full(self, service: str, now_s: float) -> bool:
        """Record that a call has to wait; return whether the subset grows."""
        use = self._uses.setdefault(service, _ServiceUse())
        use.full_s = now_s
        if now_s - use.changed_s < GROWTH_INTERVAL_S or use.growth >= MAX_GROWTH:
            return False
        use.changed_s = now_s
        use.growth += GROWTH_STEP
        return True

    def wanted(self, now_s: float) -> set[str]:
        """Return the addresses of the peers to be linked to."""
        wanted = set(self.neighbours(now_s))
        for service in self._used_services(now_s):
            wanted.update(self._subset(service, now_s))
        wanted.update(self.move_writers())
        wanted.discard(self._directory.own.record.address)
        return wanted

    def neighbours(self, now_s: float) -> list[str]:
        """Return the addresses of the neighbours on the hash rings.

        Those that can't be reached are included with the ones behind them.
        """
        found: dict[str, None] = {}
        for walk in self._directory.ring_walks():
            for address in self._pass_failed(walk, now_s):
                found[address] = None
        return list(found)

    def move_writers(self) -> list[str]:
        """Return who needs the reports of the own target during a move."""
        service = self._directory.own.record.service
        order = self._orders.get(service)
        if order is None or not is_running(order):
            return []
        return choose_move_writers(self._directory, service)

    @property
    def _prelinked(self) -> tuple[str, ...]:
        few = len(self._configured) <= MAX_PRELINKED_SERVICES
        return self._configured if few else ()

    def _used_services(self, now_s: float) -> set[str]:
        used = {
            service
            for service, use in self._uses.items()
            if now_s - use.used_s <= UNUSED_SERVICE_S
        }
        return used.union(self._prelinked)

    def _pass_failed(self, walk: Iterator[str], now_s: float) -> Iterator[str]:
        for passed, address in enumerate(walk):
            yield address
            peer = self._directory.by_address(address)
            failed = peer is not None and peer.is_failed(now_s)
            if not failed or passed >= MAX_PASSED_NEIGHBOURS:
                return

    def _subset(self, service: str, now_s: float) -> set[str]:
        own_domain = self._directory.own.record.failure_domain
        near: list[Peer] = []
        far: list[Peer] = []
        for peer in self._directory.ranked(service):
            is_near = peer.record.failure_domain == own_domain
            (near if is_near else far).append(peer)
        size = subset_size(len(self._directory), len(near) + len(far))
        growth = self._growth(service, now_s)
        chosen, usable = self._take(near, size + growth, service, now_s)
        count = max(MIN_REMOTE + growth, size + growth - usable)
        chosen_far, _ = self._take(far, count, service, now_s)
        return chosen | chosen_far

    def _take(
        self, ranked: list[Peer], count: int, service: str, now_s: float
    ) -> tuple[set[str], int]:
        """Return the first peers until enough of them can take calls."""
        order = self._orders.get(service)
        # During a move calls are split between two versions.
        needed = {True: count, False: count if order is not None else 0}
        chosen: set[str] = set()
        unusable = usable = 0
        for peer in ranked:
            if all(left <= 0 for left in needed.values()):
                break
            if peer.is_usable(now_s):
                is_new = order is None or peer.version in ("", order.version)
                needed[is_new] -= 1
                usable += 1
            else:
                unusable += 1
            if unusable > MAX_UNUSABLE_RATIO * count:
                break
            chosen.add(peer.record.address)
        return chosen, usable

    def _growth(self, service: str, now_s: float) -> int:
        use = self._uses.get(service)
        if use is None:
            return 0
        last_s = max(use.full_s, use.changed_s)
        if use.growth and now_s - last_s > SHRINK_AFTER_S:
            use.growth -= GROWTH_STEP
            use.changed_s = now_s
        return use.growth


def subset_size(daemons: int, targets: int) -> int:
    """Return how many targets of a service a daemon is linked to."""
    share = MAX_CALLERS * targets // max(1, daemons)
    return max(MIN_SUBSET, min(MAX_SUBSET, share))


def is_running(order: MoveOrder) -> bool:
    """Return whether a move has been ordered and has not ended."""
    progress = order.progress
    return (
        progress is None
        or progress.version != order.version
        or progress.state is OrderState.RUNNING
    )


def choose_move_writers(directory: PeerDirectory, service: str) -> list[str]:
    """Return the daemons that may write the steps of a service's move."""
    addresses = [peer.record.address for peer in directory]
    return choose_by_rendezvous_hash(addresses, f"move/{service}", MOVE_WRITERS)
