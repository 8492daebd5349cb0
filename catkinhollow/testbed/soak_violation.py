"""Represent what a soak test finds."""

from attrs import frozen


@frozen(kw_only=True)
class Violation:
    """Represent a violated invariant."""

    kind: str
    at_s: float
    instance: str
    """Name of the daemon, empty if it concerns all of them."""
    reason: str

    def describe(self, started_s: float) -> str:
        """Return a line with the time since the start of the faults."""
        where = self.instance or "all daemons"
        return f"{self.at_s - started_s:6.2f} s: {self.kind}: {where}: {self.reason}"
