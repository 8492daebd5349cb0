"""Define the error types that results carry."""

from enum import StrEnum

from attrs import frozen


@frozen(kw_only=True)
class DecodeError:
    """Report data that could not be decoded as the expected type."""

    reason: str


@frozen(kw_only=True)
class Problem:
    """Report one problem of a file, with its line and path.

    The file is empty and the line is 0 if they are not known.
    """

    path: str
    reason: str
    file: str = ""
    line: int = 0

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        line = f":{self.line}" if self.line else ""
        parts = (f"{self.file}{line}" if self.file else "", self.path, self.reason)
        return ": ".join(part for part in parts if part)


class StoreErrorKind(StrEnum):
    """Classify why a store call failed."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    REFUSED = "refused"


@frozen(kw_only=True)
class StoreError:
    """Report a failed store call.

    The revision is that of the stored object or of its deletion, as far as the
    store reported it, else 0.
    """

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
