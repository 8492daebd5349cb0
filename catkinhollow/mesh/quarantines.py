"""Maintain the set of quarantined target versions."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest

from catkinhollow.generated.messages import Quarantine

# Far more than the number of concurrent moves; limits memory and message size.
_MAX_QUARANTINES = 256
_DIGEST_MASK = (1 << 64) - 1

_Key = tuple[int, str, str]


def _key(quarantine: Quarantine) -> _Key:
    return (quarantine.move_started_ms, quarantine.service, quarantine.version)


class QuarantineSet:
    """Retain the newest quarantines, independent of the order of arrival."""

    def __init__(self) -> None:
        self._items: dict[_Key, Quarantine] = {}
        self._digest = 0

    @property
    def items(self) -> list[Quarantine]:
        """Return all quarantines."""
        return list(self._items.values())

    @property
    def digest(self) -> int:
        """Return the sum of the key hashes."""
        return self._digest

    def add(self, quarantine: Quarantine) -> bool:
        """Add a quarantine and return whether it is new and was retained."""
        key = _key(quarantine)
        if key in self._items:
            return False
        self._items[key] = quarantine
        if len(self._items) > _MAX_QUARANTINES:
            oldest = min(self._items)
            del self._items[oldest]
            if oldest == key:
                return False
        self._digest = self._digest_of(self._items)
        return True

    def _digest_of(self, keys: Iterable[_Key]) -> int:
        hashes = (xxh3_64_intdigest(repr(key).encode()) for key in keys)
        return sum(hashes) & _DIGEST_MASK
