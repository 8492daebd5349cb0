"""Replace documents of a restored store by those that remain in force.

`restored_store` decides; this module decodes the documents for it.
"""

from collections.abc import Callable
from typing import Any, TypeVar

from attrs import evolve
from xxhash import xxh3_64_intdigest

from catkinhollow.codec import decode_message, encode_message
from catkinhollow.generated.relay import (
    Document,
    KeptContent,
    MoveOrder,
    RelayConfiguration,
)
from catkinhollow.relay.documents.document_table import (
    content_revision,
    is_unstored,
    keep_content,
)
from catkinhollow.relay.documents.kinds import (
    CONFIGURATION,
    DAEMONS,
    EVACUATIONS,
    ORDERS,
)
from catkinhollow.relay.documents.restored_store import (
    ContentHistory,
    SettledMoves,
    carry_progress,
    is_same_move,
    keeps_configuration,
)
from catkinhollow.relay.documents.store_revision import era_of

T = TypeVar("T")


class DocumentKeeper:
    """Choose the content of documents that begin a new era.

    Outside the change of an era documents pass unchanged and undecoded.
    """

    def __init__(self) -> None:
        self._history = ContentHistory()
        self._settled = SettledMoves()
        self._choices: dict[str, Callable[[Document, Document], Document]] = {
            CONFIGURATION: self._choose_configuration,
            ORDERS: self._choose_order,
            EVACUATIONS: self._choose_evacuation,
            DAEMONS: self._choose_record,
        }

    def record_stored(self, document: Document) -> None:
        """Remember the outcome of a move, or forget it with its order."""
        kind, _, name = document.name.partition("/")
        if kind != ORDERS:
            return
        if document.deleted:
            self._settled.forget(name)
            return
        order = decode_message(document.body, MoveOrder)
        if order.is_ok():
            self._settled.record(order.ok, content_revision(document))

    def record_replaced(self, known: Document, document: Document) -> None:
        """Remember a document that another one replaces."""
        if known.kept is not None or known.deleted:
            return
        is_new_era = era_of(document.revision) > era_of(known.revision)
        if is_new_era and known.body == document.body:
            return
        self._history.record(known.name, known.revision, _hash(known))

    def choose(self, known: Document | None, offered: Document) -> Document:
        """Return the document that takes the place of the known one."""
        if known is None:
            return offered
        kind = offered.name.partition("/")[0]
        choose = self._choices.get(kind)
        if choose is not None and _is_disputed(known, offered):
            offered = choose(known, offered)
        return self._settle(offered) if kind == ORDERS else offered

    def _settle(self, offered: Document) -> Document:
        """Return an order with the outcome that it had in an older era."""
        if offered.deleted or offered.kept is not None:
            return offered
        order = decode_message(offered.body, MoveOrder)
        found = order.is_ok() and self._settled.find(order.ok, offered.revision)
        if not found:
            return offered
        settled = carry_progress(found[0], order.ok)
        if settled is None:
            return offered
        kept = KeptContent(revision=found[1])
        return evolve(offered, body=encode_message(settled), kept=kept)

    def _choose_configuration(self, known: Document, offered: Document) -> Document:
        both = _decode_both(known, offered, RelayConfiguration)
        if both is not None and keeps_configuration(*both):
            return _keep(known, offered)
        return offered

    def _choose_order(self, known: Document, offered: Document) -> Document:
        both = _decode_both(known, offered, MoveOrder)
        if both is None or not is_same_move(*both):
            if offered.kept is not None or self._is_of_copy(known, offered):
                return _keep(known, offered, unstored=True)
            return offered
        order = carry_progress(*both)
        if order is None:
            return offered
        revision = content_revision(known)
        kept = KeptContent(revision=revision, unstored=is_unstored(offered))
        return evolve(offered, body=encode_message(order), kept=kept)

    def _choose_evacuation(self, known: Document, offered: Document) -> Document:
        if offered.kept is not None:
            return _keep(known, offered)
        is_undone = known.deleted and self._is_of_copy(known, offered)
        return _keep(known, offered) if is_undone else offered

    def _choose_record(self, known: Document, offered: Document) -> Document:
        if known.deleted:
            # The record of a daemon that is gone is deleted again as stale.
            return offered
        if offered.kept is not None or self._is_of_copy(known, offered):
            return _keep(known, offered)
        return offered

    def _is_of_copy(self, known: Document, offered: Document) -> bool:
        """Return whether the store shows a content that it had before."""
        if era_of(offered.revision) == era_of(known.revision):
            return False
        return self._history.contains(offered.name, offered.revision, _hash(offered))


def _is_disputed(known: Document, offered: Document) -> bool:
    """Return whether the known content may have to be kept."""
    is_new_era = era_of(offered.revision) > era_of(known.revision)
    if not is_new_era and known.kept is None:
        return False
    if offered.kept is not None:
        # A peer has decided, perhaps from an older content.
        return offered.kept.revision < content_revision(known)
    # The store has told this deletion. Documents that are missing from its
    # listings are no deletions in a new era.
    return not offered.deleted


def _keep(known: Document, offered: Document, *, unstored: bool = False) -> Document:
    unstored = unstored or is_unstored(offered)
    return keep_content(known, offered.revision, unstored=unstored)


def _decode_both(
    known: Document, offered: Document, body_type: type[T]
) -> tuple[T, T] | None:
    """Return both bodies, None if one is missing or cannot be decoded."""
    if known.deleted or offered.deleted:
        return None
    bodies: list[Any] = [
        decode_message(document.body, body_type) for document in (known, offered)
    ]
    if any(body.is_error() for body in bodies):
        return None
    return bodies[0].ok, bodies[1].ok


def _hash(document: Document) -> int:
    return xxh3_64_intdigest(document.body)
