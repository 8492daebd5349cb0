"""Decide which calls a service admits when it is near its capacity."""

from collections.abc import Iterable
from typing import TypeAlias, TypeVar

from attrs import define, field

from catkinhollow.generated.fleet import RequestKind, Route, Service

# Callers without a known backer use the share that is not guaranteed to any
# backer, and more only while the service stays below this fraction of its
# capacity.
DEFAULT_ACCOUNT_CEILING = 0.7
# A backer beyond its share, and calls below the highest priority, are admitted
# only up to this fraction of the capacity. The rest stays free for the first
# calls that go before them. At 0.8, a simulation with 67 % of the slots in use
# and no call of higher priority shed 2 % of the lookups.
LOWER_CEILING = 0.95
# Recorded demand decays to 0 over this time, so an unused share stays reserved
# about this long after its last use.
DEMAND_DECAY_S = 2.0
# Account of the callers that name no known backer.
DEFAULT_ACCOUNT = ""
# Shares such as 1 - 0.9 are not exact in binary.
ROUNDING_TOLERANCE = 1e-6

# Orders and claims go before all other kinds, then the route's worth decides.
Priority: TypeAlias = tuple[bool, float]

KeyT = TypeVar("KeyT")

_PRIORITY_KINDS = (RequestKind.ORDER, RequestKind.CLAIM)


def call_priority(route: Route) -> Priority:
    """Return the priority of a route's calls; the lowest is shed first."""
    return route.kind in _PRIORITY_KINDS, route.worth


@define
class _Usage:
    """Track the slots that a group of calls uses and its recent demand."""

    in_flight: int = 0
    share: float = 0.0
    demand: float = 0.0
    demand_at_s: float = 0.0

    def recent_demand(self, now_s: float) -> float:
        """Return the highest recent demand, decayed linearly, in slots."""
        age = (now_s - self.demand_at_s) / DEMAND_DECAY_S
        return max(float(self.in_flight), self.demand * (1.0 - age))

    def unused_demand(self, now_s: float, bound: float) -> float:
        """Return the recent demand that is not in use now, up to the bound."""
        return max(0.0, min(bound, self.recent_demand(now_s)) - self.in_flight)

    def record_demand(self, demand: float, now_s: float) -> None:
        """Record a demand that is higher than the decayed one."""
        self.demand = max(self.recent_demand(now_s), demand)
        self.demand_at_s = now_s


@define
class ServiceAdmission:
    """Admit the calls of one service by backer share and priority.

    Calls in flight are counted per backer account and per priority. Slots that
    a backer or a higher priority recently used or was refused stay reserved
    for it.
    """

    in_flight: int = 0
    _backers: dict[str, _Usage] = field(factory=dict)
    _priorities: dict[Priority, _Usage] = field(factory=dict)

    def configure(self, service: Service, routes: Iterable[Route]) -> None:
        """Apply the guaranteed shares; calls in flight stay counted."""
        shares = {backer.name: backer.share_percent / 100 for backer in service.backers}
        shares[DEFAULT_ACCOUNT] = max(0.0, 1.0 - sum(shares.values()))
        self._backers = _merge_usage(self._backers, shares)
        for name, usage in self._backers.items():
            usage.share = shares.get(name, 0.0)
        self._priorities = _merge_usage(self._priorities, map(call_priority, routes))

    def account(self, backer: str) -> str:
        """Return the account to which a caller's calls are charged."""
        usage = self._backers.get(backer)
        return backer if usage and usage.share else DEFAULT_ACCOUNT

    def admit(
        self, account: str, priority: Priority, capacity: float, now_s: float
    ) -> bool:
        """Count the call as in flight; return False if there is no room.

        The capacity is the sum of the targets' limits, in calls.
        """
        # A waiting call may outlive its backer or route in the configuration.
        backer = self._backers.setdefault(account, _Usage())
        same_priority = self._priorities.setdefault(priority, _Usage())
        admitted = self._has_room(account, priority, capacity, now_s)
        if admitted:
            self._count(account, priority, 1)
        else:
            # Slots that others release stay reserved for a refused backer up
            # to its share, and one more slot for calls of this priority.
            backer.record_demand(backer.share * capacity, now_s)
            same_priority.record_demand(same_priority.recent_demand(now_s) + 1.0, now_s)
        return admitted

    def release(self, account: str, priority: Priority, now_s: float) -> None:
        """Count the call as no longer in flight."""
        for usage in (self._backers[account], self._priorities[priority]):
            usage.record_demand(float(usage.in_flight), now_s)
        self._count(account, priority, -1)

    def _count(self, account: str, priority: Priority, change: int) -> None:
        self._backers[account].in_flight += change
        self._priorities[priority].in_flight += change
        self.in_flight += change

    def _has_room(
        self, account: str, priority: Priority, capacity: float, now_s: float
    ) -> bool:
        total = self.in_flight + 1
        if total == 1:
            return True
        if total > capacity:
            return False
        backer = self._backers[account]
        higher = self._reserved_for_higher(priority, capacity, now_s)
        ceiling = 1.0 if priority == max(self._priorities) else LOWER_CEILING
        guaranteed = backer.share * (capacity * ceiling - higher)
        if backer.in_flight + 1 <= guaranteed + ROUNDING_TOLERANCE:
            return True
        is_known = account != DEFAULT_ACCOUNT and backer.share > 0.0
        bound = LOWER_CEILING if is_known else DEFAULT_ACCOUNT_CEILING
        others = self._reserved_for_others(account, capacity, now_s)
        return total + max(higher, others) <= bound * capacity + ROUNDING_TOLERANCE

    def _reserved_for_higher(
        self, priority: Priority, capacity: float, now_s: float
    ) -> float:
        return sum(
            usage.unused_demand(now_s, capacity)
            for other, usage in self._priorities.items()
            if other > priority
        )

    def _reserved_for_others(
        self, account: str, capacity: float, now_s: float
    ) -> float:
        return sum(
            usage.unused_demand(now_s, usage.share * capacity)
            for name, usage in self._backers.items()
            if name != account
        )


def _merge_usage(old: dict[KeyT, _Usage], keys: Iterable[KeyT]) -> dict[KeyT, _Usage]:
    wanted = {key: old.get(key) or _Usage() for key in keys}
    used = {key: usage for key, usage in old.items() if usage.in_flight}
    return used | wanted
