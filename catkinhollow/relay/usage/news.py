"""Define what the links pass to the reporting of usage."""

from typing import Protocol

from catkinhollow.generated.relay import UsageBeacon, UsageMessage


class UsageNews(Protocol):
    """Receive what other daemons tell about usage."""

    @property
    def beacon(self) -> UsageBeacon | None:
        """Return the newest known renewal, for the statuses."""

    def hear(self, beacon: UsageBeacon) -> None:
        """Handle the beacon of a status."""

    def receive(self, address: str, incarnation: int, message: UsageMessage) -> None:
        """Handle a message of a peer."""
