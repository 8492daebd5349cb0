"""Estimate the work that is offered to one target, and limit waits under it.

Answers sustained overload: for seconds more work arrives than the target can
run. Its slots are then busy whatever the length of the queue. A queue in which
every call waits until its latest start adds no throughput, but delays most
answers beyond their soft deadlines. While the calls of a rank and of the more
urgent ones exceed the capacity, a call of this rank is therefore refused if
its wait would leave less than the usual time of a run, with its spread, until
the soft deadline. Without sustained overload calls wait as long as their
deadlines allow, because a late answer is better than none.

Answers also the overload by less urgent work alone: urgent calls that fit into
the capacity find all slots held by long runs. Refusing them would leave the
next free slot to less urgent work.
"""

from collections.abc import Mapping
from math import inf

from attrs import define, field, frozen

from catkinhollow.relay.admission.gate_rates import ArrivalRate

# Offered work of a rank and of the more urgent ones, as a share of the slots,
# above which a queue does not shrink by itself. The margin above 1 is for the
# noise of the estimate, so that short bursts still wait.
SATURATED_SHARE = 1.1
# Offered work of less urgent ranks, in slots, from which they hold up others.
MIN_LESS_URGENT_WORK = 0.5
# Mean deviations of the run time that are reserved beyond its mean. They cover
# about nineteen in twenty runs whose times are normally distributed.
RESERVED_DEVIATIONS = 2.5
# Weight of a run in the moving averages.
RUN_WEIGHT = 0.1
# Deviation that is assumed until runs have been seen, as a share of the mean.
INITIAL_DEVIATION_SHARE = 0.3

Urgency = tuple[int, int]
"""Rank of a call, and the time to its soft deadline in milliseconds."""


@define
class UrgencyLoad:
    """Represent the calls of one urgency."""

    arrivals: ArrivalRate = field(factory=ArrivalRate)
    run_s: float | None = None
    """Mean run time, None before the first run has ended."""
    deviation_s: float = 0.0
    """Mean deviation of the run times from their mean."""

    def add_run(self, taken_s: float) -> None:
        """Update the run times with a run that has ended."""
        if self.run_s is None:
            self.run_s = taken_s
            self.deviation_s = INITIAL_DEVIATION_SHARE * taken_s
            return
        difference_s = taken_s - self.run_s
        self.run_s += RUN_WEIGHT * difference_s
        self.deviation_s += RUN_WEIGHT * (abs(difference_s) - self.deviation_s)

    def work(self, now_s: float) -> float:
        """Return the number of slots that the offered calls would occupy."""
        return self.arrivals.per_s(now_s) * (self.run_s or 0.0)


@frozen
class WaitLimit:
    """Limit the wait of the calls of one rank."""

    wait_s: float
    """Longest wait of a call with the mean time to its soft deadline."""
    soft_budget_s: float
    """Mean time from the arrival to the soft deadline."""


@define
class OfferedLoad:
    """Estimate the load by urgency from the arrivals and the ended runs."""

    _loads: dict[Urgency, UrgencyLoad] = field(factory=dict)
    _work_by_rank: dict[int, float] = field(factory=dict)
    _work_s: float = -inf
    """Time for which the work by rank has been calculated."""

    @property
    def loads(self) -> Mapping[Urgency, UrgencyLoad]:
        """Return the load of each urgency."""
        return self._loads

    def add_arrival(self, urgency: Urgency, now_s: float) -> None:
        """Count a call that is offered, whether it is admitted or not."""
        self._loads.setdefault(urgency, UrgencyLoad()).arrivals.add(now_s)
        self._work_s = -inf

    def add_run(self, urgency: Urgency, taken_s: float) -> None:
        """Learn the time of a run that has ended."""
        self._loads.setdefault(urgency, UrgencyLoad()).add_run(taken_s)
        self._work_s = -inf

    def is_saturated(self, rank: int, slots: int, now_s: float) -> bool:
        """Return whether calls of a rank and above exceed the capacity."""
        work = sum(work for other, work in self._work(now_s).items() if other <= rank)
        return work > SATURATED_SHARE * max(1, slots)

    def has_less_urgent(self, rank: int, now_s: float) -> bool:
        """Return whether less urgent calls occupy slots."""
        work = sum(work for other, work in self._work(now_s).items() if other > rank)
        return work > MIN_LESS_URGENT_WORK

    def wait_limit(self, rank: int, now_s: float) -> WaitLimit:
        """Return how long calls of a saturated rank should wait at most.

        All kinds of calls of a rank have the same limit, the mean of theirs
        by offered work. With a limit each, the kind with the longer runs would
        be refused far more often than the others of its rank.
        """
        total_work = weighted_s = weighted_budget_s = 0.0
        for (other_rank, latency_ms), load in self._loads.items():
            if other_rank != rank or load.run_s is None:
                continue
            soft_budget_s = latency_ms / 1000.0
            if load.run_s >= soft_budget_s:
                # No wait brings these answers before their soft deadline.
                continue
            reserved_s = load.run_s + RESERVED_DEVIATIONS * load.deviation_s
            work = load.work(now_s)
            weighted_s += work * max(0.0, soft_budget_s - reserved_s)
            weighted_budget_s += work * soft_budget_s
            total_work += work
        if total_work <= 0.0:
            return WaitLimit(wait_s=inf, soft_budget_s=0.0)
        return WaitLimit(
            wait_s=weighted_s / total_work,
            soft_budget_s=weighted_budget_s / total_work,
        )

    def _work(self, now_s: float) -> dict[int, float]:
        """Return the offered work in slots by rank.

        One decision asks for it once for each waiting call.
        """
        if now_s != self._work_s:
            self._work_s = now_s
            self._work_by_rank = {}
            for (rank, _), load in self._loads.items():
                known = self._work_by_rank.get(rank, 0.0)
                self._work_by_rank[rank] = known + load.work(now_s)
        return self._work_by_rank
