"""Decide what a signal asks of a daemon.

The platform may send several: a restart meets a removal, or an operator stops
a process by hand that is being stopped already. Only the first request to stop
counts, because the grace period of the requests that are open has begun.
"""

from enum import StrEnum

from catkinhollow.startup.held_signals import STOP_SIGNALS


class SignalAction(StrEnum):
    """List what a daemon does about a signal."""

    STOP = "stop"
    RELOAD = "reload"
    IGNORE = "ignore"


class SignalPolicy:
    """Remember whether the daemon is stopping."""

    def __init__(self) -> None:
        self._stopping = False

    def on_signal(self, number: int) -> SignalAction:
        """Return what to do about the next signal."""
        if self._stopping:
            return SignalAction.IGNORE
        if number in STOP_SIGNALS:
            self._stopping = True
            return SignalAction.STOP
        return SignalAction.RELOAD
