"""Decide how a daemon joins, and when it may serve."""

from collections.abc import Iterable
from math import inf
from random import Random

from catkinhollow.generated.messages import JoinReply

# Spreads the first requests of daemons that restart together.
_FIRST_DELAY_S = 0.5
# A seed answers in milliseconds; the rest covers a slow connection.
_REPLY_TIMEOUT_S = 1.0
# After an answer the ring neighbours get one ping interval and a half to
# report a higher floor; a dead neighbour must not block the start.
_NEIGHBOUR_GRACE_S = 1.5


class JoinRateLimiter:
    """Admit a bounded number of joiners per second."""

    def __init__(self, max_joins_per_s: int) -> None:
        self._max_joins_per_s = max_joins_per_s
        self._window_start_s = -inf
        self._admitted = 0
        self._refused = 0

    def retry_delay_s(self, now_s: float) -> float:
        """Return 0 to admit the joiner, else when it should ask again."""
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._admitted = self._refused = 0
        if self._admitted < self._max_joins_per_s:
            self._admitted += 1
            return 0.0
        self._refused += 1
        # Later askers wait longer, so that they do not return all at once.
        return 1.0 + self._refused / self._max_joins_per_s


class Joiner:
    """Ask seeds in turn and collect the floors of the answers."""

    def __init__(self, seeds: Iterable[str], random: Random, now_s: float) -> None:
        self._random = random
        self._seeds: list[str] = []
        self._next_seed = 0
        self._asked_seed: str | None = None
        self._request_id = 0
        self._due_s = now_s + random.uniform(0.0, _FIRST_DELAY_S)
        self._joined = False
        self._ready = False
        self._floor = 0
        self._answered_at_s = inf
        self._acked_neighbours: set[str] = set()
        self.add_seeds(seeds)

    @property
    def due_s(self) -> float:
        """Return when to ask the next seed."""
        return self._due_s if self._seeds and not self._joined else inf

    @property
    def seeds(self) -> list[str]:
        """Return the addresses to ask."""
        return list(self._seeds)

    @property
    def asked_seed(self) -> str | None:
        """Return the seed that is being asked."""
        return self._asked_seed

    @property
    def request_id(self) -> int:
        """Return the number of the request in flight."""
        return self._request_id

    @property
    def joined(self) -> bool:
        """Tell whether a peer has sent its table."""
        return self._joined

    @property
    def ready(self) -> bool:
        """Tell whether the daemon may serve."""
        return self._ready

    @property
    def floor(self) -> int:
        """Return the lowest revision to serve with."""
        return self._floor

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Ask these addresses too, in random order."""
        new = [seed for seed in dict.fromkeys(seeds) if seed not in self._seeds]
        self._random.shuffle(new)
        self._seeds.extend(new)

    def poll(self, now_s: float) -> str | None:
        """Return the seed to ask now, if one is due."""
        if now_s < self.due_s:
            return None
        self._asked_seed = self._seeds[self._next_seed % len(self._seeds)]
        self._next_seed += 1
        self._request_id += 1
        self._due_s = now_s + _REPLY_TIMEOUT_S * self._random.uniform(1.0, 1.5)
        return self._asked_seed

    def on_reply(self, reply: JoinReply, now_s: float) -> bool:
        """Take an answer and tell whether the daemon has joined by it."""
        if self._joined or reply.request_id != self._request_id:
            return False
        self._asked_seed = None
        if reply.retry_after_ms:
            delay_s = reply.retry_after_ms / 1000
            self._due_s = now_s + delay_s * self._random.uniform(0.5, 1.5)
            return False
        self._joined = True
        return True

    def mark_joined(self) -> bool:
        """Stop asking seeds and tell whether that ends the joining."""
        if self._joined:
            return False
        self._asked_seed = None
        self._joined = True
        return True

    def raise_floor(self, revision: int) -> bool:
        """Require a revision and tell whether that raised the floor."""
        if self._ready or revision <= self._floor:
            return False
        self._floor = revision
        return True

    def on_answer(self, now_s: float) -> None:
        """Note that a ready peer or the store has answered."""
        self._answered_at_s = min(self._answered_at_s, now_s)

    def on_ack(self, neighbour: str) -> None:
        """Note that a ring neighbour has told the floor that it knows."""
        if not self._ready:
            self._acked_neighbours.add(neighbour)

    def check_ready(
        self, revision: int, neighbours: Iterable[str], now_s: float
    ) -> bool:
        """Tell whether the daemon becomes ready now."""
        if self._ready or revision <= 0 or revision < self._floor:
            return False
        if self._answered_at_s == inf:
            return False
        complete = self._acked_neighbours.issuperset(neighbours) and (
            self._joined or not self._seeds
        )
        if not complete and now_s - self._answered_at_s < _NEIGHBOUR_GRACE_S:
            return False
        self._ready = True
        self._acked_neighbours.clear()
        return True
