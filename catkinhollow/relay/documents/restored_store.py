"""Decide what remains in force when the store has come back from a copy.

The copy lacks what was written after it: a newer configuration, the progress
of move orders, changes of evacuations, records of daemons. Daemons keep what
they enforce until its writer has written it again. Load: a store that is away
for a moment and comes back some seconds older, with up to 300 daemons.
"""

from collections import deque

from attrs import evolve, frozen

from catkinhollow.generated.relay import (
    MoveOrder,
    MoveProgress,
    OrderState,
    RelayConfiguration,
)
from catkinhollow.relay.documents.store_revision import era_of, own_number

# Contents that are remembered for each object. A move takes six steps, and the
# copy is some seconds old.
MAX_REMEMBERED = 32


@frozen
class _Shown:
    """Identify one content of an object by the store's number and a hash."""

    number: int
    digest: int


class ContentHistory:
    """Remember what the store showed before the current content.

    An object of a new era that equals such a content is part of the copy. Any
    other one has been written in the new era.
    """

    def __init__(self) -> None:
        self._shown: dict[str, deque[_Shown]] = {}

    def record(self, name: str, revision: int, digest: int) -> None:
        """Remember a content that is about to be replaced."""
        shown = self._shown.setdefault(name, deque(maxlen=MAX_REMEMBERED))
        shown.append(_Shown(own_number(revision), digest))

    def contains(self, name: str, revision: int, digest: int) -> bool:
        """Return whether the store has shown this content in an older era."""
        return _Shown(own_number(revision), digest) in self._shown.get(name, ())


class SettledMoves:
    """Remember the outcomes of moves, in case their orders are repeated.

    Operators who repeat lost writes may order several moves one after another.
    A move counts as repeated if its outcome is from an older era and the store
    has told no deletion of the order since.
    """

    def __init__(self) -> None:
        self._settled: dict[tuple[str, str], tuple[MoveOrder, int]] = {}

    def record(self, order: MoveOrder, revision: int) -> None:
        """Remember an order that is done or withdrawn, and its revision."""
        progress = _find_current(order)
        if progress is not None and progress.state is not OrderState.RUNNING:
            self._settled[order.service, order.version] = order, revision

    def forget(self, service: str) -> None:
        """Forget the outcomes of a service whose order was deleted."""
        for key in [key for key in self._settled if key[0] == service]:
            del self._settled[key]

    def find(self, offered: MoveOrder, revision: int) -> tuple[MoveOrder, int] | None:
        """Return the outcome that an order repeats, and its revision."""
        found = self._settled.get((offered.service, offered.version))
        if found is None or era_of(found[1]) >= era_of(revision):
            return None
        return found


def keeps_configuration(known: RelayConfiguration, offered: RelayConfiguration) -> bool:
    """Return whether the known configuration remains in force."""
    return offered.version < known.version


def is_same_move(known: MoveOrder, offered: MoveOrder) -> bool:
    """Return whether two orders move a service to the same version.

    An order that the operator has written again has another id.
    """
    return (known.service, known.version) == (offered.service, offered.version)


def carry_progress(known: MoveOrder, offered: MoveOrder) -> MoveOrder | None:
    """Return the order with the known progress, None if it shows as much."""
    progress = _find_current(known)
    if progress is None:
        return None
    shown = _find_current(offered)
    if shown is not None and not _is_further(progress, shown):
        return None
    return evolve(offered, progress=evolve(progress, order=offered.order))


def _find_current(order: MoveOrder) -> MoveProgress | None:
    """Return the progress of an order, None if it is of an earlier one."""
    progress = order.progress
    if progress is None:
        return None
    is_current = (progress.version, progress.order) == (order.version, order.order)
    return progress if is_current else None


def _is_further(known: MoveProgress, shown: MoveProgress) -> bool:
    """Return whether the known progress must not be given up.

    A move that was reported done or withdrawn stays so.
    """
    if known.state is not OrderState.RUNNING:
        return shown.state is not known.state
    return shown.state is OrderState.RUNNING and shown.percent < known.percent
