"""Decide whether this daemon may still admit requests with a key.

A key must stop working within a bound after the store has acknowledged the
version that revokes it, also at a daemon that hears of no version. The daemon
therefore keeps the latest time at which the configuration that it enforces was
known to be the newest one, and admits requests with a key only for a share of
the bound after it. That time is a lower bound of the own clock: when the
daemon asked the store, or what a peer's knowledge is worth here. A message
that is lost, late or repeated, or a pause of the process, can only make it
older than the truth, never newer.

Load: read for each request with a key, twice; changed a few times a second.
"""

from math import inf

from attrs import define, field, frozen

# Share of the bound after which no run starts any more. The rest is the time
# that a started run may take to a slot of its target, as one call waits in the
# target's own queue. Requests are expected to be served until 0.6 of the bound
# without contact; the knowledge of a daemon in contact is younger than 0.2 of
# the bound, so that 0.1 is left for queues.
ADMISSION_SHARE = 0.9


@frozen
class _Proof:
    """Represent that a revision was the newest one at a time."""

    revision: int
    known_s: float


@define(eq=False)
class Freshness:
    """Track when the configuration in force was last known to be the newest.

    All times are of a clock that advances while the machine is suspended.
    """

    bound_s: float
    """Time within which a revoked key stops working."""
    _known_s: float = -inf
    _enforced: int = 0
    """Revision of the configuration in force."""
    _settled: int = 0
    """Newest revision that is in force or was refused for its content."""
    _pending: _Proof | None = field(default=None)
    """Latest proof about a revision that has not arrived here yet."""

    @property
    def known_s(self) -> float:
        """Return when the configuration in force was known as the newest."""
        return self._known_s

    @property
    def enforced_revision(self) -> int:
        """Return the revision of the configuration in force, 0 if none is."""
        return self._enforced

    def age_s(self, now_s: float) -> float:
        """Return the age of the knowledge, infinity if there is none."""
        return now_s - self._known_s

    def admits(self, now_s: float) -> bool:
        """Return whether a request with a key may be admitted or run."""
        return self.age_s(now_s) <= ADMISSION_SHARE * self.bound_s

    def enforced(self, revision: int) -> None:
        """Record that a configuration has come into force."""
        self._enforced = max(self._enforced, revision)
        self.settled(revision)

    def settled(self, revision: int) -> None:
        """Record a configuration that is in force or is refused for good.

        A version that can't be applied revokes no key: the one before it
        stays in force, and its knowledge does not age for that.
        """
        self._settled = max(self._settled, revision)
        if self._pending is not None:
            pending, self._pending = self._pending, None
            self.prove(pending.revision, pending.known_s)

    def prove(self, revision: int, known_s: float) -> bool:
        """Record that a revision was the newest one at a time.

        Return whether the knowledge became younger. If the revision has not
        arrived yet, the proof counts once it has.
        """
        if known_s <= self._known_s:
            return False
        if revision > self._settled:
            if self._pending is None or known_s > self._pending.known_s:
                self._pending = _Proof(revision, known_s)
            return False
        self._known_s = known_s
        return True


def may_run(
    freshness: Freshness,
    now_s: float,
    *,
    checked_revision: int,
    key_is_known: bool,
) -> bool:
    """Return whether a gate may start the run of a request with a key.

    The ingress daemon has checked the key against a revision. If that is newer
    than the one in force here, it was written after the time of the knowledge
    here, and so was any version that revokes the key; the bound holds.
    """
    if not freshness.admits(now_s):
        return False
    return key_is_known or checked_revision > freshness.enforced_revision
