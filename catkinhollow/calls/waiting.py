"""Queue the calls of one service that wait for free capacity."""

from typing import Generic, NamedTuple, TypeVar

from catkinhollow.calls.admission import Priority

# A service with two slots and 10 ms per call serves 100 in half a second.
MAX_WAITING = 100
# A caller that is refused within this time can still use another daemon.
MAX_WAIT_S = 1.0
WAIT_FRACTION = 0.25

ItemT = TypeVar("ItemT")


class WaitClass(NamedTuple):
    """Identify calls that admission and balancer treat alike."""

    priority: Priority
    route: str
    account: str


def wait_time_s(remaining_s: float) -> float:
    """Return how long a call may wait in seconds, well under its deadline."""
    return min(MAX_WAIT_S, WAIT_FRACTION * remaining_s)


class WaitingList(Generic[ItemT]):
    """Queue a bounded number of items, first in first out in each class."""

    def __init__(self, max_waiting: int = MAX_WAITING) -> None:
        self._max_waiting = max_waiting
        self._classes: dict[WaitClass, dict[ItemT, None]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def outranks(self, key: WaitClass) -> bool:
        """Return whether a waiting item goes before a new one."""
        return key in self._classes or any(
            other.priority > key.priority for other in self._classes
        )

    def add(self, key: WaitClass, item: ItemT) -> ItemT | None:
        """Add an item and return the one that the full list drops, if any.

        The newest item of the lowest class is dropped in favour of an item of
        a higher priority; otherwise the new item itself is dropped.
        """
        dropped = None
        if self._count >= self._max_waiting:
            least = min(self._classes, key=lambda other: other.priority)
            if least.priority >= key.priority:
                return item
            dropped = next(reversed(self._classes[least]))
            self.remove(least, dropped)
        self._classes.setdefault(key, {})[item] = None
        self._count += 1
        return dropped

    def remove(self, key: WaitClass, item: ItemT) -> None:
        """Remove an item from its class."""
        items = self._classes[key]
        del items[item]
        self._count -= 1
        if not items:
            del self._classes[key]

    def by_priority(self) -> list[list[ItemT]]:
        """Return the items of each class, the highest priority first."""
        # The sort is stable: of classes with the same priority, the one that
        # was added first leads.
        classes = sorted(self._classes, key=lambda key: key.priority, reverse=True)
        return [list(self._classes[key]) for key in classes]
