"""Receive the signals of a process in its loop."""

import signal
from collections.abc import Callable

import trio

from catkinhollow.logs import get_logger
from catkinhollow.signal_policy import SignalAction, SignalPolicy
from catkinhollow.startup.held_signals import HANDLED_SIGNALS, HeldSignals

logger = get_logger(__name__)


class ProcessSignals:
    """Carry out what signals ask for, until the process exits."""

    def __init__(
        self,
        held: HeldSignals,
        *,
        on_stop: Callable[[str], None],
        on_reload: Callable[[], None],
    ) -> None:
        self._held = held
        self._on_stop = on_stop
        self._on_reload = on_reload
        self._policy = SignalPolicy()
        self._stop_requested = trio.Event()

    @property
    def stop_requested(self) -> bool:
        """Return whether the daemon has been asked to stop."""
        return self._stop_requested.is_set()

    async def wait_for_stop(self) -> None:
        """Wait until the daemon is asked to stop."""
        await self._stop_requested.wait()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Handle signals until cancelled, those that were held first."""
        with trio.open_signal_receiver(*HANDLED_SIGNALS) as received:
            for number in self._held.take():
                self._handle(number)
            task_status.started()
            async for number in received:
                self._handle(number)

    def _handle(self, number: int) -> None:
        name = signal.Signals(number).name
        action = self._policy.on_signal(number)
        if action is SignalAction.STOP:
            self._on_stop(name)
            self._stop_requested.set()
        elif action is SignalAction.RELOAD:
            self._on_reload()
        else:
            logger.info("signal ignored", signal=name, reason="stopping")
