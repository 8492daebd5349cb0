"""Count runs by window and organisation, at each gate and at the holder.

Load: one count for each run; a few parts a second of each daemon at the
holder. A part holds all runs that one process of a daemon has counted in a
window so far, so that lost, repeated and reordered parts change nothing. What
a daemon keeps and sends depends on the organisations that its target served,
not on the size of the fleet.
"""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from catkinhollow.generated.relay import UsagePart, UsageReceipt

# Parts for windows further in the future come from a wrong clock.
MAX_AHEAD = 2


@define
class _OwnWindow:
    """Count the own runs in one window."""

    counts: dict[str, int] = field(factory=dict)
    runs: int = 0
    received: int = 0
    """Runs that the holder is known to have."""


class RunCounter:
    """Count the runs of the own target until the holder has them."""

    def __init__(self) -> None:
        self._windows: dict[int, _OwnWindow] = {}

    def count(self, organisation: str, window: int) -> None:
        """Count one run."""
        counted = self._windows.setdefault(window, _OwnWindow())
        counted.counts[organisation] = counted.counts.get(organisation, 0) + 1
        counted.runs += 1

    def unreceived(self) -> list[UsagePart]:
        """Return the parts of which the holder lacks runs, oldest first."""
        return [
            UsagePart(window=window, counts=dict(counted.counts))
            for window, counted in sorted(self._windows.items())
            if counted.runs > counted.received
        ]

    def receive(self, receipts: Iterable[UsageReceipt]) -> None:
        """Handle the receipts of the current holder."""
        for receipt in receipts:
            counted = self._windows.get(receipt.window)
            if counted is not None:
                counted.received = max(counted.received, receipt.runs)

    def change_holder(self, decided: int) -> None:
        """Send the windows again that the next holder has to decide."""
        for window, counted in self._windows.items():
            if window > decided:
                counted.received = 0

    def forget_before(self, window: int) -> int:
        """Drop older windows; return the runs that no holder has received."""
        old = [self._windows.pop(key) for key in list(self._windows) if key < window]
        return sum(
            counted.runs - min(counted.runs, counted.received) for counted in old
        )


@frozen
class Source:
    """Identify one process of a daemon, whose counts begin at zero."""

    address: str
    incarnation: int


@define
class _FleetWindow:
    """Hold the parts of all daemons for one window."""

    parts: dict[Source, dict[str, int]] = field(factory=dict)


class FleetCounts:
    """Merge the parts of all daemons at the holder."""

    def __init__(self) -> None:
        self._windows: dict[int, _FleetWindow] = {}
        self.late_runs = 0
        """Runs that arrived after their window had been decided."""

    @property
    def first_window(self) -> int | None:
        """Return the oldest window with counts, None if there is none."""
        return min(self._windows, default=None)

    def merge(
        self, source: Source, parts: Iterable[UsagePart], decided: int, current: int
    ) -> list[UsageReceipt]:
        """Add the parts of one process; return their receipts.

        Runs of windows up to the decided one are too late to be reported.
        """
        return [
            self._merge_part(source, part, decided)
            for part in parts
            if part.window <= current + MAX_AHEAD
        ]

    def totals(self, window: int) -> dict[str, int]:
        """Return the runs in a window by organisation."""
        totals: dict[str, int] = {}
        found = self._windows.get(window)
        for counts in found.parts.values() if found else ():
            for organisation, runs in counts.items():
                totals[organisation] = totals.get(organisation, 0) + runs
        return totals

    def forget_before(self, window: int) -> None:
        """Drop older windows."""
        for key in list(self._windows):
            if key < window:
                del self._windows[key]

    def clear(self) -> None:
        """Drop all windows, because this daemon is not the holder any more."""
        self._windows.clear()

    def _merge_part(
        self, source: Source, part: UsagePart, decided: int
    ) -> UsageReceipt:
        found = self._windows.setdefault(part.window, _FleetWindow())
        counts = found.parts.setdefault(source, {})
        added = _merge_counts(counts, part.counts)
        if part.window <= decided:
            self.late_runs += added
        return UsageReceipt(window=part.window, runs=sum(counts.values()))


def _merge_counts(counts: dict[str, int], newer: Mapping[str, int]) -> int:
    """Raise the counts to the newer ones; return the sum of the increases."""
    added = 0
    for organisation, runs in newer.items():
        known = counts.get(organisation, 0)
        if runs > known:
            counts[organisation] = runs
            added += runs - known
    return added
