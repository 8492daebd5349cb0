"""Define what the reporting of usage needs, and what it offers."""

import time
from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from catkinhollow.generated.relay import UsageMessage
from catkinhollow.relay.usage.report_plan import ReportOutcome


@frozen(kw_only=True)
class UsageReport:
    """Represent the report of one window."""

    holder: str
    epoch: int
    window: int
    counts: dict[str, int]


class UsageApi(Protocol):
    """Send reports to the API."""

    async def report(
        self, report: UsageReport, may_send: Callable[[], bool]
    ) -> ReportOutcome:
        """Send a report and return how it ended.

        Nothing is written to the connection after `may_send` returns False.
        """


class UsageLinks(Protocol):
    """Send messages to other daemons."""

    def send_usage(self, address: str, message: UsageMessage) -> bool:
        """Send a message over a link of its own if needed.

        Return False if no byte of it will be sent.
        """

    def reset_usage(self, address: str) -> None:
        """Replace a link that carries no receipts."""

    def broadcast_status(self) -> None:
        """Send the current status, with the beacon, to all linked peers."""


class UsageClock(Protocol):
    """Provide the times for leases and windows."""

    def steady_s(self) -> float:
        """Return a time that advances while the machine is suspended."""

    def unix_s(self) -> float:
        """Return the wall time, which may step."""


class BootClock:
    """Read the clocks of the machine."""

    def steady_s(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix_s(self) -> float:
        """Return the wall time in seconds."""
        return time.time()
