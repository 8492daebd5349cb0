"""Decide when a daemon acquires, renews and releases the controller lease."""

from attrs import evolve, field, frozen, mutable

from catkinhollow.generated.fleet import Lease
from catkinhollow.generated.settings import LeaseSettings

# Much shorter than the time after which the holder stops deciding, so that one
# lost answer does not end its term.
RETRY_DELAY_S = 1.0
NO_HOLDER = ""


@frozen
class ReadLease:
    """Request a read of the lease."""


@frozen
class WriteLease:
    """Request a write of the lease if the stored revision is if_revision."""

    lease: Lease
    if_revision: int


LeaseCommand = ReadLease | WriteLease


@mutable
class _ObservedLease:
    lease: Lease
    revision: int
    first_seen_s: float


@mutable
class _Term:
    epoch: int
    renewed_s: float
    # Time at which each unconfirmed write was issued, by its renewals field.
    sent_s: dict[int, float] = field(factory=dict)


class LeaseManager:
    """Track the stored lease and decide which store call to make next.

    Times are read from the monotonic clock of this daemon. A renewal counts
    from the moment its write was issued, which is before any candidate can
    see it.
    """

    def __init__(self, holder: str, settings: LeaseSettings) -> None:
        self._holder = holder
        self._settings = settings
        self._observed: _ObservedLease | None = None
        self._term: _Term | None = None
        self._write_count = 0
        self._sent_s = 0.0
        self._must_read = True
        self._releasing = False
        self._next_call_s = 0.0

    @property
    def epoch(self) -> int:
        """Return the epoch of this daemon's term, 0 when there is none."""
        return self._term.epoch if self._term else 0

    def may_decide(self, now_s: float) -> bool:
        """Return whether this daemon's term is certain to be still valid."""
        if self._term is None:
            return False
        return now_s - self._term.renewed_s < self._settings.stop_deciding_s

    def next_command(self, now_s: float, *, preferred: bool) -> LeaseCommand | None:
        """Return the next store call, if one is due.

        A daemon that is not preferred for the lease ends its term immediately
        and releases the lease.
        """
        if self._term and not preferred:
            self._term = None
            self._releasing = True
            self._next_call_s = now_s
        if not preferred and not self._releasing:
            self._must_read = True
            self._observed = None
            return None
        if now_s < self._next_call_s:
            return None
        if self._must_read or self._observed is None:
            return ReadLease()
        return self._choose_command(self._observed, now_s, preferred=preferred)

    def on_read(self, now_s: float, lease: Lease | None, revision: int) -> None:
        """Handle a read of the lease, which is None if the store has none."""
        self._must_read = False
        observed = lease or Lease(holder=NO_HOLDER, epoch=0)
        if self._observed is None or self._observed.revision != revision:
            self._observed = _ObservedLease(observed, revision, now_s)
        if observed.holder != self._holder:
            self._releasing = False
        self._update_term(observed)
        if not self._can_write(now_s):
            self._next_call_s = now_s + self._settings.renew_interval_s

    def on_written(self, now_s: float, command: WriteLease, revision: int) -> None:
        """Handle a confirmed write."""
        lease = command.lease
        self._observed = _ObservedLease(lease, revision, now_s)
        if lease.holder == NO_HOLDER:
            self._releasing = False
            self._next_call_s = now_s + self._settings.renew_interval_s
            return
        self._term = _Term(lease.epoch, self._sent_s)
        self._next_call_s = self._sent_s + self._settings.renew_interval_s

    def on_conflict(self, now_s: float) -> None:
        """Handle a write that the store refused because of its revision."""
        self._must_read = True
        self._next_call_s = now_s

    def on_unavailable(self, now_s: float) -> None:
        """Handle a call without an answer; a write may have taken effect."""
        self._must_read = True
        self._next_call_s = now_s + RETRY_DELAY_S

    def _choose_command(
        self, observed: _ObservedLease, now_s: float, *, preferred: bool
    ) -> LeaseCommand:
        if self._releasing and not preferred:
            released = evolve(observed.lease, holder=NO_HOLDER)
            return WriteLease(released, observed.revision)
        if not self._can_write(now_s):
            return ReadLease()
        self._write_count += 1
        self._sent_s = now_s
        epoch = observed.lease.epoch + 1
        if self._term:
            epoch = self._term.epoch
            self._term.sent_s[self._write_count] = now_s
        lease = Lease(holder=self._holder, epoch=epoch, renewals=self._write_count)
        return WriteLease(lease, observed.revision)

    def _can_write(self, now_s: float) -> bool:
        if self._term or self._observed is None:
            return True
        # If this daemon is the stored holder but has no term, the answer to
        # its takeover was lost. No daemon decides in that epoch, so the next
        # one can start immediately.
        if self._observed.lease.holder in (NO_HOLDER, self._holder):
            return True
        return now_s - self._observed.first_seen_s >= self._settings.takeover_s

    def _update_term(self, lease: Lease) -> None:
        if self._term is None:
            return
        if lease.holder != self._holder or lease.epoch != self._term.epoch:
            self._term = None
            return
        sent_s = self._term.sent_s.get(lease.renewals, self._term.renewed_s)
        self._term.renewed_s = max(self._term.renewed_s, sent_s)
