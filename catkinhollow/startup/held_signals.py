"""Hold the signals of a process while no loop handles them.

Their default actions would end the process, without a traceback at best: while
it imports its libraries, and after its loop has closed.
"""

import signal
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class HeldSignals:
    """Record signals until they are taken."""

    def __init__(self) -> None:
        self._numbers: list[int] = []

    @property
    def stop_requested(self) -> bool:
        """Return whether one of the held signals asks the process to stop."""
        return any(number in STOP_SIGNALS for number in self._numbers)

    def install(self) -> None:
        """Hold the signals of this process from now on."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._hold)

    def take(self) -> list[int]:
        """Return the held signals in the order of their arrival."""
        numbers, self._numbers = self._numbers, []
        return numbers

    def ignore(self) -> None:
        """Ignore the signals of this process, which is about to exit.

        Python restores the default actions of handled signals before it exits.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _hold(self, number: int, frame: FrameType | None) -> None:
        self._numbers.append(number)
