"""Define the typed errors that results carry."""

from enum import StrEnum

from attrs import frozen


@frozen(kw_only=True)
class DecodeError:
    """Report bytes that do not hold the expected message."""

    reason: str


@frozen(kw_only=True)
class Problem:
    """Report one fault of a file, with its line and path."""

    path: str
    reason: str
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        """Return the fault on one line."""
        line = f":{self.line}" if self.line else ""
        parts = (f"{self.file}{line}" if self.file else "", self.path, self.reason)
        return ": ".join(part for part in parts if part)


class StoreErrorKind(StrEnum):
    """Classify why a call to the store has no usable answer."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    REFUSED = "refused"


@frozen(kw_only=True)
class StoreError:
    """Report a store call without a usable answer."""

    kind: StoreErrorKind
    reason: str
    revision: int = 0


class RejectionKind(StrEnum):
    """Classify why a configuration version was refused."""

    STALE = "stale"
    INVALID = "invalid"


@frozen(kw_only=True)
class SnapshotRejected:
    """Report a configuration version that was refused as a whole."""

    kind: RejectionKind
    revision: int
    reason: str
