"""Derive the numbers of report windows from a clock without steps.

Load: one reading for each run that ends. The wall clock of an instance may be
set while the daemon runs. A step must neither count runs twice nor drop the
runs of whole windows, so the windows follow a clock that never steps, plus an
offset that is corrected slowly. A large difference is adopted only when it has
lasted, and the time of the windows never goes back.
"""

from math import floor, inf

# Differences up to this are corrected slowly; both sides of a boundary between
# two windows then differ by a small share of a window at most.
MAX_SLEW_S = 1.0
# Correction of the offset for each second, as for a clock that is slewed.
SLEW_RATIO = 0.005
# A larger difference is adopted when it has lasted for this long.
STEP_CONFIRM_S = 5.0


class WindowClock:
    """Convert times of the steady clock to wall time and to windows."""

    def __init__(self, window_s: float, steady_s: float, unix_s: float) -> None:
        self._window_s = window_s
        self._offset_s = unix_s - steady_s
        self._corrected_s = steady_s
        # Difference of the wall clock that may be adopted, and since when.
        self._step_s = 0.0
        self._step_since_s = inf
        # Times before the last adopted step keep their wall time.
        self._stepped_s = -inf
        self._before_step_s = self._offset_s
        self._floor_s = -inf

    @property
    def window_s(self) -> float:
        """Return the length of a window in seconds."""
        return self._window_s

    def correct(self, steady_s: float, unix_s: float) -> float:
        """Compare with the wall clock; return the step if one was adopted."""
        elapsed_s = max(0.0, steady_s - self._corrected_s)
        self._corrected_s = steady_s
        difference_s = unix_s - steady_s - self._offset_s
        if abs(difference_s) <= MAX_SLEW_S:
            self._step_since_s = inf
            limit_s = SLEW_RATIO * elapsed_s
            self._offset_s += max(-limit_s, min(limit_s, difference_s))
            return 0.0
        if abs(difference_s - self._step_s) > MAX_SLEW_S:
            self._step_since_s = inf
        self._step_s = difference_s
        self._step_since_s = min(self._step_since_s, steady_s)
        if steady_s - self._step_since_s < STEP_CONFIRM_S:
            return 0.0
        self._floor_s = self.unix_s(steady_s)
        self._before_step_s = self._offset_s
        self._stepped_s = steady_s
        self._offset_s += difference_s
        self._step_since_s = inf
        return difference_s

    def unix_s(self, steady_s: float) -> float:
        """Return the wall time that belongs to a steady time."""
        if steady_s < self._stepped_s:
            return steady_s + self._before_step_s
        return max(steady_s + self._offset_s, self._floor_s)

    def window(self, steady_s: float) -> int:
        """Return the window that a steady time is in."""
        return floor(self.unix_s(steady_s) / self._window_s)

    def age_s(self, window: int, steady_s: float) -> float:
        """Return the time since the end of a window, negative before it."""
        return self.unix_s(steady_s) - (window + 1) * self._window_s
