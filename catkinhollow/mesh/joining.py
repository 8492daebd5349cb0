"""Decide how a daemon joins the mesh and when it may serve calls."""

from collections.abc import Iterable
from math import inf
from random import Random

from catkinhollow.generated.messages import JoinReply

# Upper limit of the random delay that spreads the first requests of daemons
# that restart together.
_FIRST_DELAY_S = 0.5
# A seed answers within milliseconds; the rest allows for a slow connection.
_REPLY_TIMEOUT_S = 1.0
# Time for the ring neighbours to report a higher floor after the first answer:
# one and a half ping intervals. A dead neighbour must not block the start.
_NEIGHBOUR_GRACE_S = 1.5


class JoinRateLimiter:
    """Limit the number of joining daemons admitted per second."""

    def __init__(self, max_joins_per_s: int) -> None:
        self._max_joins_per_s = max_joins_per_s
        self._window_start_s = -inf
        self._admitted_count = 0
        self._refused_count = 0

    def retry_delay_s(self, now_s: float) -> float:
        """Return 0 to admit a daemon, or the delay before its retry."""
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._admitted_count = self._refused_count = 0
        if self._admitted_count < self._max_joins_per_s:
            self._admitted_count += 1
            return 0.0
        self._refused_count += 1
        # Each further refused daemon waits longer, so that they do not all
        # return at the same time.
        return 1.0 + self._refused_count / self._max_joins_per_s


class Joiner:
    """Ask the seeds in turn, track the floor and decide when to serve.

    The floor is the lowest revision that the daemon may start to serve with.
    """

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
        self._first_answer_s = inf
        self._acked_neighbours: set[str] = set()
        self.add_seeds(seeds)

    @property
    def due_s(self) -> float:
        """Return the time at which to ask the next seed."""
        return self._due_s if self._seeds and not self._joined else inf

    @property
    def seeds(self) -> list[str]:
        """Return the addresses of the seeds."""
        return list(self._seeds)

    @property
    def asked_seed(self) -> str | None:
        """Return the seed that is being asked."""
        return self._asked_seed

    @property
    def request_id(self) -> int:
        """Return the identifier of the request in flight."""
        return self._request_id

    @property
    def joined(self) -> bool:
        """Return whether the daemon has the member table of a peer."""
        return self._joined

    @property
    def ready(self) -> bool:
        """Return whether the daemon may serve calls."""
        return self._ready

    @property
    def floor(self) -> int:
        """Return the lowest revision to start serving with."""
        return self._floor

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Append these seeds in random order, unless already known."""
        new = [seed for seed in dict.fromkeys(seeds) if seed not in self._seeds]
        self._random.shuffle(new)
        self._seeds.extend(new)

    def poll(self, now_s: float) -> str | None:
        """Return the seed to ask now, if a request is due."""
        if now_s < self.due_s:
            return None
        self._asked_seed = self._seeds[self._next_seed % len(self._seeds)]
        self._next_seed += 1
        self._request_id += 1
        self._due_s = now_s + _REPLY_TIMEOUT_S * self._random.uniform(1.0, 1.5)
        return self._asked_seed

    def on_reply(self, reply: JoinReply, now_s: float) -> bool:
        """Handle a reply and return whether the daemon joined through it."""
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
        """Stop asking seeds and return whether the daemon joined just now."""
        if self._joined:
            return False
        self._asked_seed = None
        self._joined = True
        return True

    def raise_floor(self, revision: int) -> bool:
        """Raise the floor to a revision and return whether it changed."""
        if self._ready or revision <= self._floor:
            return False
        self._floor = revision
        return True

    def on_answer(self, now_s: float) -> None:
        """Record when a ready peer or the store first answered."""
        self._first_answer_s = min(self._first_answer_s, now_s)

    def on_ack(self, neighbour: str) -> None:
        """Record that a neighbour has reported the floor that it knows."""
        if not self._ready:
            self._acked_neighbours.add(neighbour)

    def check_ready(
        self, revision: int, neighbours: Iterable[str], now_s: float
    ) -> bool:
        """Mark the daemon ready if it may serve; return whether it did so now.

        The revision must reach the floor, and a ready peer or the store must
        have answered. After the first answer the daemon waits, at most for
        the grace period, for acks of all given neighbours and, if it has
        seeds, until it has joined.
        """
        if self._ready or revision <= 0 or revision < self._floor:
            return False
        if self._first_answer_s == inf:
            return False
        is_complete = self._acked_neighbours.issuperset(neighbours) and (
            self._joined or not self._seeds
        )
        if not is_complete and now_s - self._first_answer_s < _NEIGHBOUR_GRACE_S:
            return False
        self._ready = True
        self._acked_neighbours.clear()
        return True
