"""Decide when the counts of a window are fixed, and what is sent next.

Load: one window in some seconds; after an outage of the API or of the store,
all windows since. The counts of a window are fixed once, written to the store
and only then sent. Every later holder reads them and sends the same. One call
is open at a time, and the oldest window is sent first.
"""

from collections.abc import Mapping
from enum import Enum, auto
from math import inf

from attrs import define, frozen

from catkinhollow.generated.relay import DecidedWindow, DecidedWindows

# Share of the time to the report that is left for parts to arrive. The rest is
# left for another holder and for repeated calls.
DECIDE_SHARE = 0.35
# Time that a new holder waits for parts, which daemons send again when they
# hear of it.
NEW_HOLDER_WAIT_S = 1.5
# A window that could not be reported for this long is given up. It bounds the
# windows in the store and the calls after an outage.
MAX_AGE_S = 60.0
# Repeats of one report; with the delays this lasts for about MAX_AGE_S.
MAX_TRIES = 30
RETRY_BASE_S = 0.5
RETRY_MAX_S = 2.0
# Share of the rate of the API that reports may take, also after an outage.
CALL_RATE_SHARE = 0.2
# A holder whose calls have had no answer for this long while a report waits
# lets another daemon try.
UNREACHABLE_S = 2.5
NO_WINDOW = -1


class ReportOutcome(Enum):
    """Classify the answer to a report."""

    ACCEPTED = auto()
    BUSY = auto()
    """The API accepts no more calls for now."""
    FAILED = auto()
    """The API answered with an error that may pass."""
    REFUSED = auto()
    """The API will not accept the report."""
    UNREACHABLE = auto()
    """No answer; the report may have arrived."""


@frozen(kw_only=True)
class ReportTimes:
    """Configure when windows are decided and how often reports are sent."""

    window_s: float
    late_s: float
    calls_per_s: float

    @property
    def decide_s(self) -> float:
        """Return the age of a window at which its counts are decided."""
        return DECIDE_SHARE * self.late_s

    @property
    def spacing_s(self) -> float:
        """Return the minimum time between two calls."""
        return 1.0 / (CALL_RATE_SHARE * self.calls_per_s)

    @property
    def kept_windows(self) -> int:
        """Return how many windows are kept."""
        return int(MAX_AGE_S / self.window_s) + 1


@define
class _Attempts:
    """Track the calls for the oldest window that is not reported."""

    window: int = NO_WINDOW
    tries: int = 0
    unreachable_since_s: float = inf


class ReportPlan:
    """Track the decided windows of the fleet while this daemon reports."""

    def __init__(self, times: ReportTimes) -> None:
        self._times = times
        self._decided: dict[int, DecidedWindow] = {}
        self._newest = NO_WINDOW
        self._reported = NO_WINDOW
        self._attempts = _Attempts()
        self._next_call_s = -inf
        self.loaded = False
        """Whether the decisions in the store are known."""
        self.sent = 0
        self.missed = 0

    @property
    def newest_decided(self) -> int:
        """Return the newest window that is known to be decided."""
        return self._newest

    @property
    def oldest_open(self) -> int:
        """Return the oldest window whose counts may still be decided."""
        return self._newest + 1

    @property
    def waiting(self) -> int:
        """Return how many decided windows have not been reported."""
        return sum(window > self._reported for window in self._decided)

    def load(self, stored: DecidedWindows, floor: int) -> None:
        """Take over the decisions in the store.

        Windows up to the floor are known to be decided. If the store has lost
        their counts, they can't be sent again and are not decided again.
        """
        for decided in stored.windows:
            self._decided.setdefault(decided.window, decided)
        self._reported = max(self._reported, stored.reported)
        self._newest = max(self._newest, floor, *self._decided, stored.reported)
        self.loaded = True

    def choose_due(self, first: int, window: int, age_s: float) -> list[int]:
        """Return the windows to decide now.

        The age is the time since the end of the given window. The first
        window is where counting began, if none has been decided.
        """
        late = int((age_s - self._times.decide_s) // self._times.window_s)
        newest_due = window + late
        begin = self._newest + 1 if self._newest != NO_WINDOW else first
        oldest = newest_due - self._times.kept_windows + 1
        if begin < oldest:
            self.missed += oldest - begin
            self._newest = oldest - 1
            begin = oldest
        return list(range(begin, newest_due + 1))

    def propose(
        self, counts: Mapping[int, dict[str, int]], epoch: int
    ) -> DecidedWindows:
        """Return what to write to the store to decide windows."""
        added = [
            DecidedWindow(window=window, epoch=epoch, counts=dict(counts[window]))
            for window in sorted(counts)
        ]
        kept = [self._decided[window] for window in sorted(self._decided)]
        return DecidedWindows(
            windows=[*kept, *added][-self._times.kept_windows :],
            reported=self._reported,
        )

    def written(self, stored: DecidedWindows) -> None:
        """Handle a confirmed write; the windows may be sent from now on."""
        for decided in stored.windows:
            self._decided.setdefault(decided.window, decided)
            self._newest = max(self._newest, decided.window)
        self._forget_old()

    def unload(self) -> None:
        """Read the store again before the next decision."""
        self.loaded = False

    def next_report(self, now_s: float, newest_window: int) -> DecidedWindow | None:
        """Return the report to send now, None if there is none."""
        if now_s < self._next_call_s or not self.loaded:
            return None
        oldest = newest_window - self._times.kept_windows
        for window in sorted(self._decided):
            if window <= self._reported:
                continue
            if window < oldest or self._is_spent(window):
                self._give_up(window)
                continue
            return self._decided[window]
        return None

    def record(self, window: int, outcome: ReportOutcome, now_s: float) -> None:
        """Handle the answer to a report."""
        attempts = self._attempts
        if attempts.window != window:
            attempts.window = window
            attempts.tries = 0
        attempts.tries += 1
        if outcome is not ReportOutcome.UNREACHABLE:
            attempts.unreachable_since_s = inf
        if outcome is ReportOutcome.ACCEPTED:
            self.sent += 1
            self._reported = max(self._reported, window)
            self._next_call_s = now_s + self._times.spacing_s
        elif outcome is ReportOutcome.REFUSED:
            self._give_up(window)
            self._next_call_s = now_s + self._times.spacing_s
        else:
            delay_s = min(RETRY_MAX_S, RETRY_BASE_S * 2 ** (attempts.tries - 1))
            self._next_call_s = now_s + max(delay_s, self._times.spacing_s)

    def begin_call(self, now_s: float) -> None:
        """Record that a call starts, until `record` no other one does."""
        self._next_call_s = inf
        attempts = self._attempts
        attempts.unreachable_since_s = min(attempts.unreachable_since_s, now_s)

    def is_unreachable(self, now_s: float) -> bool:
        """Return whether the API has not answered this daemon for too long."""
        return now_s - self._attempts.unreachable_since_s >= UNREACHABLE_S

    def end_term(self) -> None:
        """Forget the state of the calls, because another daemon may report."""
        self.loaded = False
        self._attempts = _Attempts()
        self._next_call_s = -inf

    def _is_spent(self, window: int) -> bool:
        attempts = self._attempts
        return attempts.window == window and attempts.tries >= MAX_TRIES

    def _give_up(self, window: int) -> None:
        self.missed += 1
        self._reported = max(self._reported, window)

    def _forget_old(self) -> None:
        excess = len(self._decided) - self._times.kept_windows
        for window in sorted(self._decided)[: max(0, excess)]:
            if window > self._reported:
                self._give_up(window)
            del self._decided[window]
