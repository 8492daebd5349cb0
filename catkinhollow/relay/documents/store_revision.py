"""Order revisions of a store that may come back from a copy.

The store's revisions go back when it comes back from a copy, and are assigned
again. Each return begins a new era. A revision of this project holds both
numbers, the era first, so that every comparison orders by era and revision.
In era 0 it equals the store's own revision.
"""

# Larger than any revision of the store, which counts writes: at 10,000 writes
# per second it lasts for 300 years. A power of ten keeps both numbers legible
# in logs.
ERA_FACTOR = 10**14
# Messages hold integers of up to 63 bits.
MAX_ERA = 90_000


def join_revision(era: int, own: int) -> int:
    """Return the revision of an era and the store's own number."""
    return era * ERA_FACTOR + own


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // ERA_FACTOR


def own_number(revision: int) -> int:
    """Return the number that the store itself has assigned."""
    return revision % ERA_FACTOR
