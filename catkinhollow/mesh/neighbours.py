"""Track the links of a daemon and the silence of watched peers."""

from collections.abc import Iterable


class Neighbours:
    """Track wanted and open links, and when watched peers last sent."""

    def __init__(self, max_silence_s: float) -> None:
        self._max_silence_s = max_silence_s
        self._wanted: set[str] = set()
        self._up: set[str] = set()
        self._last_heard_s: dict[str, float] = {}
        # When each open link was opened or last carried a ping and its answer.
        self._confirmed_s: dict[str, float] = {}
        self._temporary_until_s: dict[str, float] = {}

    @property
    def up(self) -> frozenset[str]:
        """Return the addresses with an open link."""
        return frozenset(self._up)

    def is_up(self, address: str) -> bool:
        """Return whether messages can be sent to the address."""
        return address in self._up

    def is_wanted(self, address: str) -> bool:
        """Return whether this daemon keeps a link to the address."""
        return address in self._wanted

    def set_wanted(
        self, addresses: Iterable[str], now_s: float
    ) -> tuple[list[str], list[str]]:
        """Replace the wanted links and return those to close and to open.

        Temporary links that have not expired stay wanted.
        """
        self._temporary_until_s = {
            address: until_s
            for address, until_s in self._temporary_until_s.items()
            if until_s > now_s
        }
        wanted = {*addresses, *self._temporary_until_s}
        added, removed = wanted - self._wanted, self._wanted - wanted
        self._wanted = wanted
        # Sorted, as the iteration order of a set differs between processes.
        return sorted(removed), sorted(added)

    def keep_until(self, address: str, until_s: float) -> None:
        """Keep a link until a time, starting with the next set_wanted call."""
        self._temporary_until_s[address] = until_s

    def link_up(self, address: str, now_s: float) -> None:
        """Record that a link can carry messages."""
        self._up.add(address)
        self._confirmed_s[address] = now_s

    def link_down(self, address: str) -> None:
        """Record that a link is closed."""
        self._up.discard(address)
        self._confirmed_s.pop(address, None)

    def confirm_link(self, address: str, now_s: float) -> None:
        """Record that a link has carried a ping and its answer."""
        if address in self._confirmed_s:
            self._confirmed_s[address] = now_s

    def link_silence_s(self, address: str, now_s: float) -> float:
        """Return how long an open link has carried no answer, in seconds."""
        return now_s - self._confirmed_s.get(address, now_s)

    def note_message(self, address: str, now_s: float) -> None:
        """Record a message if its sender is watched."""
        if address in self._last_heard_s:
            self._last_heard_s[address] = now_s

    def update_watched(self, addresses: Iterable[str], now_s: float) -> list[str]:
        """Replace the watched peers and return those that are silent."""
        self._last_heard_s = {
            address: self._last_heard_s.get(address, now_s) for address in addresses
        }
        return [
            address
            for address, last_heard_s in self._last_heard_s.items()
            if now_s - last_heard_s > self._max_silence_s
        ]

    def restart_silence_timers(self, now_s: float) -> None:
        """Restart the silence timeouts of peers and links after a pause."""
        self._last_heard_s = dict.fromkeys(self._last_heard_s, now_s)
        self._confirmed_s = dict.fromkeys(self._confirmed_s, now_s)
