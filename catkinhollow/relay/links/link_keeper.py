"""Decide how long the link to a peer is kept that is not planned any more.

Load: one entry for each connected peer, checked once a second.
"""

from collections.abc import Callable, Collection
from math import inf

from attrs import define, field

# Links to peers that this daemon does not need, but that call it, are kept for
# this long after the last frame. Callers send a status every few seconds.
KEEP_CONTACTED_S = 20.0
# Links that are not needed any more are closed after this time, because the
# choice of peers may change back.
KEEP_UNWANTED_S = 10.0


@define(eq=False)
class _KeptLink:
    """Represent why the link to a peer is kept."""

    needed_s: float
    """When it was last wanted, needed for a message, or opened."""
    contacted_s: float = -inf
    """When the peer last sent a frame."""


@define(eq=False)
class LinkKeeper:
    """Track which peers have a link, and since when it is not needed."""

    _links: dict[str, _KeptLink] = field(factory=dict)

    def need(self, address: str, now_s: float) -> None:
        """Record that a link is wanted or needed for a message."""
        kept = self._links.get(address)
        if kept is None:
            self._links[address] = _KeptLink(now_s)
        else:
            kept.needed_s = now_s

    def contacted(self, address: str, now_s: float) -> bool:
        """Record a frame of a peer; return whether it had no link."""
        kept = self._links.get(address)
        if kept is None:
            self._links[address] = _KeptLink(now_s, contacted_s=now_s)
            return True
        kept.contacted_s = now_s
        return False

    def take_unneeded(
        self,
        wanted: Collection[str],
        is_busy: Callable[[str], bool],
        is_known: Callable[[str], bool],
        now_s: float,
    ) -> list[str]:
        """Return the peers whose links are to be closed, and forget them.

        The link to a daemon that is not known any more is closed at once.
        """
        unneeded = [
            address
            for address, kept in self._links.items()
            if address not in wanted
            and now_s - kept.contacted_s > KEEP_CONTACTED_S
            and not is_busy(address)
            and (not is_known(address) or now_s - kept.needed_s > KEEP_UNWANTED_S)
        ]
        for address in unneeded:
            del self._links[address]
        return unneeded
