"""Order members on hash rings and choose members by rendezvous hash."""

from bisect import bisect_left, insort
from collections.abc import Iterable
from functools import lru_cache
from heapq import nlargest

from xxhash import xxh3_64_intdigest

# The union of four rings is an expander with a degree of about 8.
RING_COUNT = 4

# More than the members of any planned fleet; an entry takes about 300 bytes.
_CACHED_POSITIONS = 4096


@lru_cache(maxsize=_CACHED_POSITIONS)
def _positions(address: str) -> tuple[tuple[int, str], ...]:
    return tuple(
        (xxh3_64_intdigest(address.encode(), seed=ring), address)
        for ring in range(RING_COUNT)
    )


class Rings:
    """Maintain the sorted positions of the members on every ring."""

    def __init__(self) -> None:
        self._members: set[str] = set()
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(RING_COUNT)]

    @property
    def members(self) -> frozenset[str]:
        """Return the addresses on the rings."""
        return frozenset(self._members)

    def add(self, address: str) -> None:
        """Insert a member into every ring."""
        if address in self._members:
            return
        self._members.add(address)
        for ring, position in zip(self._rings, _positions(address), strict=True):
            insort(ring, position)

    def discard(self, address: str) -> None:
        """Remove a member from every ring."""
        if address not in self._members:
            return
        self._members.remove(address)
        for ring, position in zip(self._rings, _positions(address), strict=True):
            del ring[bisect_left(ring, position)]

    def successors(self, address: str) -> list[str]:
        """Return the next member on each ring, without duplicates."""
        return self._neighbours(address, 1)

    def predecessors(self, address: str) -> list[str]:
        """Return the previous member on each ring, without duplicates."""
        return self._neighbours(address, -1)

    def _neighbours(self, address: str, step: int) -> list[str]:
        found: dict[str, None] = {}
        for ring, position in zip(self._rings, _positions(address), strict=True):
            if not ring:
                continue
            index = bisect_left(ring, position)
            present = index < len(ring) and ring[index] == position
            offset = step if present or step < 0 else 0
            neighbour = ring[(index + offset) % len(ring)][1]
            if neighbour != address:
                found[neighbour] = None
        return list(found)


def choose_by_rendezvous_hash(
    members: Iterable[str], key: str, count: int
) -> list[str]:
    """Return the members with the highest hashes for a key."""
    seed = xxh3_64_intdigest(key.encode())
    return nlargest(
        count,
        members,
        key=lambda member: (xxh3_64_intdigest(member.encode(), seed), member),
    )
