"""Store the responses to keyed requests, so that repeats do not run again."""

from collections import OrderedDict
from collections.abc import Callable

from attrs import define, field, frozen
from xxhash import xxh3_128_digest

from catkinhollow.calls.exchange import Outcome, Response

RETENTION_S = 600.0
# These bounds keep the table within a quarter of a daemon's 32 MB.
MAX_ENTRIES = 10_000
MAX_BYTES = 4_000_000


@frozen(kw_only=True)
class Fresh:
    """Represent a new key: send the request, then finish the key."""


@frozen(kw_only=True)
class InFlight:
    """Represent a key in flight: wait for the request that has it."""


@frozen(kw_only=True)
class Replay:
    """Represent a finished key whose response is stored."""

    response: Response


@frozen(kw_only=True)
class Unknown:
    """Represent a request that may have run and must not be sent again."""


@frozen(kw_only=True)
class Conflict:
    """Represent a key that belongs to a different request."""


@frozen(kw_only=True)
class TableFull:
    """Represent a full table of keys that must all be kept.

    The request is not sent, so it did not run.
    """


Step = Fresh | InFlight | Replay | Unknown | Conflict | TableFull


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return a hash of a request; the path includes the query."""
    return xxh3_128_digest(f"{method} {path}\n".encode() + xxh3_128_digest(body))


@define(kw_only=True)
class _KeyedRequest:
    fingerprint: bytes
    retained_since_s: float
    outcome: Outcome | None = None
    response: Response | None = None
    size_bytes: int = 0
    waiters: list[Callable[[], None]] = field(factory=list)


class IdempotencyTable:
    """Store keyed requests for the retention time, within bounds."""

    def __init__(
        self, max_entries: int = MAX_ENTRIES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._entries: OrderedDict[str, _KeyedRequest] = OrderedDict()
        self._stored: OrderedDict[str, int] = OrderedDict()
        self._bytes = 0

    @property
    def stored_bytes(self) -> int:
        """Return the size of all stored responses."""
        return self._bytes

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, key: str, fingerprint: bytes, now_s: float) -> Step:
        """Return how to handle a keyed request; `Fresh` puts it in flight."""
        self._expire(now_s)
        known = self._entries.get(key)
        if known is not None:
            return _repeat(known, fingerprint)
        if len(self._entries) >= self._max_entries and not self._drop_oldest():
            return TableFull()
        self._entries[key] = _KeyedRequest(
            fingerprint=fingerprint, retained_since_s=now_s
        )
        return Fresh()

    def wait(self, key: str, waiter: Callable[[], None]) -> None:
        """Register a function to call once when the key is finished."""
        self._entries[key].waiters.append(waiter)

    def finish(
        self, key: str, outcome: Outcome, response: Response | None, now_s: float
    ) -> None:
        """Store the outcome of a request; remove its key if it did not run."""
        entry = self._entries[key]
        if outcome is Outcome.NOT_RUN:
            del self._entries[key]
        else:
            entry.outcome = outcome
            entry.retained_since_s = now_s
            self._entries.move_to_end(key)
            if outcome is Outcome.ANSWERED and response is not None:
                self._store(key, entry, response)
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            waiter()

    def _store(self, key: str, entry: _KeyedRequest, response: Response) -> None:
        size = len(response.body)
        size += sum(len(name) + len(value) for name, value in response.headers)
        if size > self._max_bytes:
            return
        entry.response, entry.size_bytes = response, size
        self._stored[key] = size
        self._bytes += size
        while self._bytes > self._max_bytes:
            # The key stays, so that a repeat gets `Unknown` and does not run.
            oldest = next(iter(self._stored))
            self._drop_response(oldest)

    def _drop_response(self, key: str) -> None:
        self._bytes -= self._stored.pop(key, 0)
        self._entries[key].response = None

    def _drop_oldest(self) -> bool:
        # Keys of requests that are running or have an unknown outcome are
        # kept. A dropped key was answered, and the target still knows it.
        for key, entry in self._entries.items():
            if entry.outcome is Outcome.ANSWERED:
                self._drop_response(key)
                del self._entries[key]
                return True
        return False

    def _expire(self, now_s: float) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if now_s - entry.retained_since_s < RETENTION_S:
                return
            if entry.outcome is None:
                # A request in flight is checked again a retention time later.
                entry.retained_since_s = now_s
                self._entries.move_to_end(key)
                continue
            self._drop_response(key)
            del self._entries[key]


def _repeat(known: _KeyedRequest, fingerprint: bytes) -> Step:
    if known.fingerprint != fingerprint:
        return Conflict()
    if known.outcome is None:
        return InFlight()
    return Replay(response=known.response) if known.response else Unknown()
