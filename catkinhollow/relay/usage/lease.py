"""Decide which daemon reports usage, with which epoch and until when.

Load: one renewal of the holder in half a lease, and no call of the store by
the others while the holder is heard. The lease is one object of the store
that is written with its revision. A renewal counts from the moment at which
its write was issued, and a holder stops by its own clock before another
daemon may take the lease. All times are read from a clock that advances while
the machine is suspended.

A daemon knows the newest renewal from the beacons that pass along the links.
Only when no newer one is heard for a lease does a candidate read the store.
The term of a lease is over when its renewal has been known for longer than
the lease lasts, either from a beacon or from the own reading, and the stored
object is still the same.
"""

from math import inf

from attrs import define, evolve, field, frozen

from catkinhollow.generated.relay import UsageBeacon, UsageLease

# Later candidates wait longer, so that mostly one of them reads the store.
CANDIDATES = 8
RANK_DELAY_S = 0.4
# A holder that resigned is no candidate for this time, so that others try
# whether they reach what it does not.
RESIGNED_S = 15.0
# Epochs of a later era of the store are higher than all of the eras before,
# also where the store has lost some of those.
ERA_EPOCHS = 1_000_000
_EPOCH_NONE = -1


@frozen(kw_only=True)
class LeaseTimes:
    """Configure how long a lease lasts."""

    lease_s: float
    slack_s: float

    @property
    def stop_s(self) -> float:
        """Return the age of a renewal at which the holder stops."""
        return self.lease_s - self.slack_s

    @property
    def takeover_s(self) -> float:
        """Return the age of a known renewal at which the term is over."""
        return self.lease_s + self.slack_s

    @property
    def renew_s(self) -> float:
        """Return the interval of the renewals."""
        return self.lease_s / 2.0

    @property
    def call_s(self) -> float:
        """Return how long a call of the store may take.

        After a lost answer there is time for a read and another write.
        """
        return self.lease_s / 5.0

    @property
    def retry_s(self) -> float:
        """Return the delay of a holder after a call without an answer."""
        return self.lease_s / 30.0

    @property
    def candidate_retry_s(self) -> float:
        """Return the delay of a candidate after a call without an answer."""
        return self.lease_s / 2.0


@frozen
class ReadLease:
    """Request a read of the lease."""


@frozen(kw_only=True)
class WriteLease:
    """Request a write of the lease if it still has the revision."""

    lease: UsageLease
    if_revision: int


LeaseCommand = ReadLease | WriteLease


@define
class _Term:
    """Represent the own term."""

    epoch: int
    renewed_s: float
    """When the newest confirmed write was issued."""
    taken_s: float
    """When the term was confirmed."""
    sent_s: dict[int, float] = field(factory=dict)
    """When each unconfirmed renewal was issued."""


@define
class _Stored:
    """Represent the stored lease as this daemon knows it."""

    revision: int
    epoch: int
    over_s: float
    """When the term of its holder is over."""


class UsageLeaseManager:
    """Track the lease and decide which call of the store is made next.

    At most one command is carried out at a time.
    """

    def __init__(
        self, holder: str, address: str, times: LeaseTimes, now_s: float
    ) -> None:
        self._holder = holder
        self._address = address
        self._times = times
        self._beacon: UsageBeacon | None = None
        self._era = 0
        # When a newer renewal was last heard, at first the start.
        self._heard_s = now_s
        self._term: _Term | None = None
        self._stored: _Stored | None = None
        self._own_epoch = _EPOCH_NONE
        self._renewal = 0
        # When and in which era the last write was issued.
        self._issued_s = -inf
        self._issued_era = 0
        self._next_call_s = -inf
        self._barred_until_s = -inf

    @property
    def beacon(self) -> UsageBeacon | None:
        """Return the newest known renewal, None if none is known."""
        return self._beacon

    @property
    def beacon_decided(self) -> int:
        """Return the newest window that is known to be decided."""
        return self._beacon.decided if self._beacon else -1

    @property
    def epoch(self) -> int:
        """Return the epoch of the own term, -1 if there is none."""
        return self._term.epoch if self._term else _EPOCH_NONE

    @property
    def taken_s(self) -> float:
        """Return when the own term began, infinity if there is none."""
        return self._term.taken_s if self._term else inf

    def stop_s(self) -> float:
        """Return when this daemon must stop unless it renews the lease."""
        return self._term.renewed_s + self._times.stop_s if self._term else -inf

    def may_act(self, now_s: float) -> bool:
        """Return whether the own term is certain not to be over."""
        return now_s < self.stop_s()

    def silence_s(self, now_s: float) -> float:
        """Return for how long no newer renewal has been heard."""
        return now_s - self._heard_s

    def hear(self, beacon: UsageBeacon, now_s: float) -> bool:
        """Handle the news of a peer; return whether the holder changed."""
        known = self._beacon
        self.decided(beacon.decided)
        if known is not None and _order(beacon) <= _order(known):
            return False
        decided = max(beacon.decided, known.decided if known else -1)
        self._beacon = evolve(beacon, decided=decided)
        self._heard_s = now_s
        if self._term is not None and beacon.epoch > self._term.epoch:
            self._end_term()
        return known is None or beacon.epoch > known.epoch

    def resign(self, now_s: float) -> None:
        """End the own term without a successor; the lease has to run out."""
        self._end_term()
        self._barred_until_s = now_s + RESIGNED_S

    def next_command(self, now_s: float, rank: int | None) -> LeaseCommand | None:
        """Return the call of the store that is due.

        The rank is the own place among the candidates, None if this daemon is
        no candidate.
        """
        if self._term is not None and not self.may_act(now_s):
            self._end_term()
        if self._term is None and not self._is_candidate(rank, now_s):
            self._stored = None
            return None
        if now_s < self._next_call_s:
            return None
        if self._stored is None:
            return ReadLease()
        if self._term is None:
            if now_s < self._stored.over_s:
                return None
            floor = self._beacon.epoch if self._beacon else _EPOCH_NONE
            newest = max(self._stored.epoch, floor, self._own_epoch)
            self._own_epoch = max(newest, self._era * ERA_EPOCHS) + 1
            self._renewal = 0
        self._renewal += 1
        self._issued_s = now_s
        self._issued_era = self._era
        if self._term is not None:
            self._term.sent_s[self._renewal] = now_s
        lease = UsageLease(
            holder=self._holder,
            address=self._address,
            epoch=self._own_epoch,
            renewal=self._renewal,
        )
        return WriteLease(lease=lease, if_revision=self._stored.revision)

    def on_read(
        self, now_s: float, lease: UsageLease | None, revision: int, era: int = 0
    ) -> None:
        """Handle a read of the lease, which is None if there is none."""
        epoch = lease.epoch if lease else _EPOCH_NONE
        own = lease is not None and lease.holder == self._holder
        if lease is not None and self._term is None and self._is_own(lease):
            self._on_own_read(now_s, lease, revision, era)
            return
        if self._term is not None:
            if epoch < self._term.epoch or (own and epoch == self._term.epoch):
                # The store may have come back from a copy from before the
                # term; the next renewal writes the own epoch again.
                self._era = max(self._era, era)
                self._stored = _Stored(revision, epoch, inf)
                if lease is not None and epoch == self._term.epoch:
                    self._confirm(self._term, lease.renewal)
                return
            self._end_term()
        over_s = now_s + self._times.takeover_s
        if lease is not None:
            if self._is_known(lease, era):
                over_s = self._heard_s + self._times.takeover_s
            self.hear(_make_beacon(lease, era), now_s)
        self._era = max(self._era, era)
        self._stored = _Stored(revision, epoch, over_s)
        self._next_call_s = over_s

    def _on_own_read(
        self, now_s: float, lease: UsageLease, revision: int, era: int
    ) -> None:
        """Handle a read that shows a write of this process."""
        self._era = max(self._era, era)
        # A term that has stopped may be followed by the next one at once. A
        # write of an earlier era may have replaced the lease of another.
        is_same_era = era == self._issued_era
        over_s = now_s if is_same_era else now_s + self._times.takeover_s
        self._stored = _Stored(revision, lease.epoch, over_s)
        self._next_call_s = over_s
        issued_s = self._issued_s + self._times.stop_s
        if is_same_era and lease.renewal == self._renewal and now_s < issued_s:
            # The answer to this write was lost.
            self._begin_term(lease, self._issued_s, now_s)

    def on_written(
        self, now_s: float, command: WriteLease, revision: int, era: int = 0
    ) -> None:
        """Handle a confirmed write."""
        lease = command.lease
        self._era = max(self._era, era)
        if self._era != self._issued_era and self._term is None:
            self._stored = None
            return
        self._stored = _Stored(revision, lease.epoch, inf)
        if self._term is not None:
            self._confirm(self._term, lease.renewal)
            self._set_beacon(lease, now_s)
        elif now_s >= self._barred_until_s and not self._is_outdated(lease):
            self._begin_term(lease, self._issued_s, now_s)
        self._next_call_s = self._issued_s + self._times.renew_s

    def on_conflict(self, now_s: float) -> None:
        """Handle a write that was refused because of its revision."""
        self._stored = None
        self._next_call_s = now_s

    def on_unavailable(self, now_s: float) -> None:
        """Handle a call without an answer; a write may have taken effect."""
        self._stored = None
        times = self._times
        delay_s = times.retry_s if self._term else times.candidate_retry_s
        self._next_call_s = now_s + delay_s

    def decided(self, window: int) -> None:
        """Tell in the own beacons up to which window counts are decided."""
        if self._beacon is not None and self._beacon.decided < window:
            self._beacon = evolve(self._beacon, decided=window)

    def _is_candidate(self, rank: int | None, now_s: float) -> bool:
        if rank is None or rank >= CANDIDATES or now_s < self._barred_until_s:
            return False
        patience_s = self._times.takeover_s + rank * RANK_DELAY_S
        return self.silence_s(now_s) >= patience_s

    def _is_own(self, lease: UsageLease) -> bool:
        """Return whether this process has written the lease."""
        return lease.holder == self._holder and lease.epoch == self._own_epoch

    def _is_known(self, lease: UsageLease, era: int) -> bool:
        """Return whether the stored renewal is the newest one heard."""
        beacon = self._beacon
        return beacon is not None and (beacon.epoch, beacon.renewal, beacon.era) == (
            lease.epoch,
            lease.renewal,
            era,
        )

    def _is_outdated(self, lease: UsageLease) -> bool:
        return self._beacon is not None and self._beacon.epoch > lease.epoch

    def _begin_term(self, lease: UsageLease, renewed_s: float, now_s: float) -> None:
        if self._is_outdated(lease):
            return
        self._term = _Term(lease.epoch, renewed_s, now_s)
        self._set_beacon(lease, now_s)

    def _set_beacon(self, lease: UsageLease, now_s: float) -> None:
        decided = self._beacon.decided if self._beacon else -1
        self._beacon = _make_beacon(lease, self._era, decided)
        self._heard_s = now_s

    def _confirm(self, term: _Term, renewal: int) -> None:
        sent_s = term.sent_s.get(renewal, term.renewed_s)
        term.renewed_s = max(term.renewed_s, sent_s)
        term.sent_s = {key: at for key, at in term.sent_s.items() if key > renewal}

    def _end_term(self) -> None:
        if self._term is not None:
            self._term = None
            self._stored = None


def _order(beacon: UsageBeacon) -> tuple[int, int]:
    return (beacon.epoch, beacon.renewal)


def _make_beacon(lease: UsageLease, era: int, decided: int = -1) -> UsageBeacon:
    return UsageBeacon(
        address=lease.address,
        epoch=lease.epoch,
        renewal=lease.renewal,
        era=era,
        decided=decided,
    )
