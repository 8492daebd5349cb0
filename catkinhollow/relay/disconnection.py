"""Tell the handlers of requests when a caller has disconnected."""

import trio


class Disconnection:
    """Represent whether a caller has disconnected.

    Handlers call it to wait. Those that wait for something else as well let it
    set their own event, which takes no cancellation and no further task.
    """

    def __init__(self) -> None:
        self._event = trio.Event()
        self._subscribed: set[trio.Event] = set()

    @property
    def happened(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._event.is_set()

    async def __call__(self) -> None:
        """Wait until the caller has disconnected."""
        await self._event.wait()

    def subscribe(self, event: trio.Event) -> None:
        """Set an event when the caller has disconnected."""
        self._subscribed.add(event)
        if self.happened:
            event.set()

    def unsubscribe(self, event: trio.Event) -> None:
        """Leave an event alone from now on."""
        self._subscribed.discard(event)

    def set(self) -> None:
        """Record that the caller has disconnected."""
        self._event.set()
        for event in self._subscribed:
            event.set()
