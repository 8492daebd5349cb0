"""Order members on hash rings and choose members by rendezvous hash."""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
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
    """Maintain the sorted positions of the members on up to four rings."""

    def __init__(self, count: int = RING_COUNT) -> None:
        self._members: set[str] = set()
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(count)]

    @property
    def members(self) -> frozenset[str]:
        """Return the addresses on the rings."""
        return frozenset(self._members)

    def add(self, address: str) -> None:
        """Insert a member into every ring."""
        if address in self._members:
            return
        self._members.add(address)
        for ring, position in zip(self._rings, _positions(address), strict=False):
            insort(ring, position)

    def discard(self, address: str) -> None:
        """Remove a member from every ring."""
        if address not in self._members:
            return
        self._members.remove(address)
        for ring, position in zip(self._rings, _positions(address), strict=False):
            del ring[bisect_left(ring, position)]

    def successors(self, address: str) -> list[str]:
        """Return the next member on each ring, without duplicates."""
        return self._neighbours(address, 1)

    def predecessors(self, address: str) -> list[str]:
        """Return the previous member on each ring, without duplicates."""
        return self._neighbours(address, -1)

    def _neighbours(self, address: str, step: int) -> list[str]:
        found: dict[str, None] = {}
        for walk in self.walks(address, step):
            neighbour = next(walk, None)
            if neighbour is not None:
                found[neighbour] = None
        return list(found)

    def walks(self, address: str, step: int) -> list[Iterator[str]]:
        """Return the other members on each ring, the nearest first.

        The step is 1 for the members after the address, -1 for those before.
        """
        return [
            self._walk(ring, position, step)
            for ring, position in zip(self._rings, _positions(address), strict=False)
        ]

    def _walk(
        self, ring: list[tuple[int, str]], position: tuple[int, str], step: int
    ) -> Iterator[str]:
        index = bisect_left(ring, position)
        present = index < len(ring) and ring[index] == position
        offset = step if present or step < 0 else 0
        for _ in range(len(ring) - present):
            yield ring[(index + offset) % len(ring)][1]
            offset += step


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
