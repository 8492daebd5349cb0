"""Decide whose turn it is among the organisations that wait at a gate.

This is start-time fair queueing inside one rank. Each call gets a turn in
virtual time, after the turns that its organisation has had; the virtual time
is that of the latest call that has started. A call of an organisation that is
within its share has no lag and keeps its place; the others lag behind.

A part of the capacity is shared equally and the rest by demand. By demand
alone the calls of a small organisation fail with those of a large one that
sends a burst; with equal shares alone a large organisation under overload gets
almost nothing. Each must get a quarter of the share that is served of all.

Load: 73 organisations of which a few send most, in bursts; at most 10,000.
"""

from math import exp

from attrs import define, field, frozen

# Part of the capacity that is shared equally. Of 73 organisations, three of
# which send half of 2.5 times the capacity, the least served gets 0.55 of the
# common share, and 0.44 if one half is shared equally.
EQUAL_SHARE = 0.3
# Turns that an organisation may take at once after a quiet time: calls of a
# small organisation come in twos and threes by chance.
BURST_TURNS = 4.0
# Time over which the demand of an organisation is averaged. With 5 s an
# organisation that sends a burst of 2 s gets less than a fifth of it served
# before its share has grown.
DEMAND_WINDOW_S = 1.0
# An organisation is forgotten when its demand has fallen to this share of one
# call of its own.
FORGOTTEN_SHARE = 0.01
SWEEP_INTERVAL_S = 5.0
# With more, the organisation that called longest ago is forgotten.
MAX_ORGANISATIONS = 10_000


@frozen(kw_only=True)
class Turn:
    """Represent the place of one call in virtual time."""

    organisation: str
    rank: int
    start: float
    charge: float
    """Virtual time until the next turn of the organisation."""


@define(eq=False)
class _Demand:
    """Average the work that an organisation asks for."""

    work_s: float = 0.0
    updated_s: float = 0.0
    call_work_s: float = 0.0
    """Work of its latest call."""

    def at(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self.updated_s)
        return self.work_s * exp(-elapsed_s / DEMAND_WINDOW_S)

    def add(self, work_s: float, now_s: float) -> None:
        self.work_s = self.at(now_s) + work_s
        self.updated_s, self.call_work_s = now_s, work_s


@define(eq=False)
class FairOrder:
    """Give turns to the calls of organisations."""

    _demands: dict[str, _Demand] = field(factory=dict)
    """Demand of the organisations, the one that called last at the end."""
    _total: _Demand = field(factory=_Demand)
    _virtual: dict[int, float] = field(factory=dict)
    """Virtual time of each rank."""
    _finished: dict[tuple[str, int], float] = field(factory=dict)
    """Virtual time at which an organisation's turns in a rank have passed."""
    _swept_s: float = 0.0

    @property
    def size(self) -> int:
        """Return the number of organisations that are remembered."""
        return len(self._demands)

    def next_turn(
        self, organisation: str, rank: int, work_s: float, now_s: float
    ) -> Turn:
        """Return the turn of a call that arrives; it is not taken yet."""
        self._record_demand(organisation, work_s, now_s)
        charge = work_s / self._weight(organisation, now_s)
        virtual = self._virtual.get(rank, 0.0)
        finished = self._finished.get((organisation, rank), virtual)
        start = max(virtual - BURST_TURNS * charge, finished)
        return Turn(organisation=organisation, rank=rank, start=start, charge=charge)

    def lag_s(self, turn: Turn, slots: int) -> float:
        """Return how long a call waits for its turn at a target's speed."""
        virtual = self._virtual.get(turn.rank, 0.0)
        return max(0.0, turn.start - virtual) / max(1, slots)

    def take(self, turn: Turn) -> None:
        """Record that the call of a turn waits or starts."""
        self._finished[turn.organisation, turn.rank] = turn.start + turn.charge

    def give_back(self, turn: Turn) -> None:
        """Record that a call that waited will not start."""
        key = (turn.organisation, turn.rank)
        if key in self._finished:
            self._finished[key] -= turn.charge

    def start(self, turn: Turn) -> None:
        """Record that the call of a turn starts."""
        virtual = self._virtual.get(turn.rank, 0.0)
        self._virtual[turn.rank] = max(virtual, turn.start)

    def _weight(self, organisation: str, now_s: float) -> float:
        """Return the share of the capacity, the sum of which is 1."""
        share = self._demands[organisation].at(now_s) / self._total.at(now_s)
        equal = 1.0 / len(self._demands)
        return EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * min(1.0, share)

    def _record_demand(self, organisation: str, work_s: float, now_s: float) -> None:
        demand = self._demands.pop(organisation, None) or _Demand()
        demand.add(work_s, now_s)
        self._demands[organisation] = demand
        self._total.add(work_s, now_s)
        if now_s - self._swept_s > SWEEP_INTERVAL_S:
            self._sweep(now_s)
        if len(self._demands) > MAX_ORGANISATIONS:
            self._forget(next(iter(self._demands)))

    def _sweep(self, now_s: float) -> None:
        self._swept_s = now_s
        quiet = [
            name
            for name, demand in self._demands.items()
            if demand.at(now_s) < FORGOTTEN_SHARE * demand.call_work_s
        ]
        for name in quiet:
            self._forget(name)

    def _forget(self, organisation: str) -> None:
        del self._demands[organisation]
        for rank in self._virtual:
            self._finished.pop((organisation, rank), None)
