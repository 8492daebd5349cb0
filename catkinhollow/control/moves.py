"""Decide the steps of the move of a service to a target version."""

from collections.abc import Iterable
from copy import deepcopy
from typing import Any

from attrs import evolve, frozen

from catkinhollow.control.evidence import VerdictKind, VersionEvidence
from catkinhollow.generated.fleet import Move, MoveState, VersionWeight
from catkinhollow.generated.messages import Quarantine, VersionCounts

# The steps are scheduled backwards from the deadline. Without enough evidence
# the next step is delayed by HOLD_FRACTION of the schedule, then the move
# continues, so that a lack of traffic does not stop a good version. A move is
# withdrawn when its version is bad, or when the deadline passes before the
# share is 100 %. The latter only happens when the new targets cannot serve
# the load or the store was unavailable.


@frozen
class Step:
    """Describe a step by its traffic share and its start.

    The start is a fraction of the time between the start of the move and
    the planned finish.
    """

    percent: float
    start_fraction: float


# The share stays at 1 % for 35 % of the schedule, and longer without enough
# evidence, so that a version that is bad from the start gets less than 2 % of
# the traffic.
STEPS = (
    Step(0.0, 0.0),
    Step(1.0, 0.0),
    Step(5.0, 0.35),
    Step(20.0, 0.5),
    Step(50.0, 0.65),
    Step(100.0, 0.8),
)
LAST_STEP = len(STEPS) - 1
HOLD_FRACTION = 0.15
# Fraction of the time to the deadline that is reserved for takeovers by
# another controller and for slow writes.
RESERVE_FRACTION = 0.1
# Minimum duration of a step that starts late, after a takeover or a wait for
# targets, if the time left allows it. Evidence arrives within 3 s.
MIN_STEP_MS = 10_000

# Highest expected utilization of the new targets' slots at which a step may
# start, and the utilization above which the current share is lowered again.
PLANNED_UTILIZATION = 0.7
MAX_UTILIZATION = 0.95
# Fraction of a cold target's slots that counts as capacity, because cold
# targets fail under full load.
COLD_SLOT_WEIGHT = 0.2

TERMINAL_STATES = (MoveState.DONE, MoveState.WITHDRAWN, MoveState.CANCELLED)
_TERMINAL_STATE_AFTER = {
    MoveState.WITHDRAWING: MoveState.WITHDRAWN,
    MoveState.CANCELLING: MoveState.CANCELLED,
}


@frozen(kw_only=True)
class Capacity:
    """Represent the slots of a version's targets that accept requests."""

    ready_slots: int
    cold_slots: int = 0

    def supported_percent(self, demand_slots: float, utilization: float) -> float:
        """Return the percentage of the service's load that fits the targets.

        The demand is the service's number of requests in flight. The
        utilization is the fraction of the slots that may be in use.
        """
        slots = utilization * (self.ready_slots + COLD_SLOT_WEIGHT * self.cold_slots)
        if slots <= 0:
            return 0.0
        return 100.0 if demand_slots <= slots else 100.0 * slots / demand_slots


@frozen
class WriteMove:
    """Request a write of the move if the stored revision is if_revision."""

    move: Move
    if_revision: int


@frozen
class WriteSplit:
    """Request a write of the split of one service in config/fleet."""

    service: str
    split: tuple[VersionWeight, ...]


MoveCommand = WriteMove | WriteSplit


class MoveDriver:
    """Track one move and decide what to write next.

    The move is written before the split. The move is fenced by its revision
    and epoch, so the write of a former lease holder fails before it can
    change the split. After a crash between the two writes the next holder
    derives the split from the move. The end of a move takes three writes: the
    intention (the last step or a state such as WITHDRAWING), the split and
    the terminal state. A terminal state therefore means that the final split
    is in force.
    """

    def __init__(self, move: Move, revision: int) -> None:
        self._move = move
        self._revision = revision
        self._epoch = 0
        self._evidence = VersionEvidence(move.version, move.old_version)
        self._bad_reason = ""
        # The split is written after every takeover and every change of the
        # move, even if it is unchanged: the new revision makes delayed writes
        # fail, both those of an earlier holder and those of this daemon that
        # got no answer.
        self._split_confirmed = False
        self._split_revision = 0
        self._step_started_ms: int | None = None
        self._unconfirmed_end: Move | None = None

    @property
    def move(self) -> Move:
        """Return the last known state of the stored move."""
        return self._move

    @property
    def epoch(self) -> int:
        """Return the lease epoch of the driver, 0 before the first term."""
        return self._epoch

    @property
    def has_unconfirmed_end(self) -> bool:
        """Return whether the result of a terminal write is unknown."""
        return self._unconfirmed_end is not None

    def start_term(self, epoch: int) -> None:
        """Continue in a new epoch with the evidence collected so far."""
        self._epoch = epoch

    def observe(self, counts: Iterable[VersionCounts]) -> Quarantine | None:
        """Add the counts of one window.

        Return a quarantine when they show for the first time that the version
        is bad.
        """
        if self._bad_reason or self._move.state != MoveState.RUNNING:
            return None
        self._evidence.observe(counts)
        verdict = self._evidence.verdict
        if verdict.kind != VerdictKind.BAD:
            return None
        self._bad_reason = verdict.reason
        return Quarantine(
            service=self._move.service,
            version=self._move.version,
            move_started_ms=self._move.started_ms,
            reason=verdict.reason,
        )

    def withdraw(self, reason: str) -> None:
        """Withdraw the version for a reason that another component found.

        If the driver already has a reason, that one is kept.
        """
        self._bad_reason = self._bad_reason or reason

    def next_command(self, now_ms: int, capacity: Capacity) -> MoveCommand | None:
        """Return the next write, if one is due."""
        move = self._move
        if move.state in TERMINAL_STATES:
            return None
        if move.epoch != self._epoch:
            return self._write(evolve(move, epoch=self._epoch))
        reason = self._withdrawal_reason(now_ms)
        if move.state == MoveState.RUNNING and reason:
            state = MoveState.WITHDRAWING
            return self._write(evolve(move, state=state, percent=0.0, reason=reason))
        if not self._split_confirmed:
            return WriteSplit(move.service, tuple(desired_split(move)))
        end = self._end_state()
        if end:
            percent = move.percent if end == MoveState.DONE else 0.0
            return self._write(
                evolve(move, state=end, percent=percent, ended_ms=now_ms)
            )
        step = self._due_step(now_ms, capacity)
        if step == move.step:
            return None
        return self._write(evolve(move, step=step, percent=STEPS[step].percent))

    def on_split_written(self, now_ms: int, revision: int) -> None:
        """Handle the confirmed write of the split."""
        self._split_confirmed = True
        self._split_revision = revision
        if self._step_started_ms is None:
            self._step_started_ms = now_ms

    def on_split_seen(self, split: list[VersionWeight], revision: int) -> None:
        """Write the split again if a later configuration differs from it."""
        if revision > self._split_revision and split != desired_split(self._move):
            self._split_confirmed = False

    def on_service_missing(self) -> None:
        """Withdraw the version, as its service is no longer configured."""
        self._split_confirmed = True
        self.withdraw("the service is not in the configuration")

    def on_move_sent(self, move: Move) -> None:
        """Remember a terminal state until the result of its write is known."""
        if move.state in TERMINAL_STATES:
            self._unconfirmed_end = move

    def on_record(self, move: Move, revision: int) -> Move | None:
        """Update the move; return it if a write of this driver ended it."""
        if revision <= self._revision:
            return None
        changed = (move.step, move.state) != (self._move.step, self._move.state)
        self._move = move
        self._revision = revision
        if changed:
            self._split_confirmed = False
            self._step_started_ms = None
            self._evidence.start_step()
        unconfirmed, self._unconfirmed_end = self._unconfirmed_end, None
        was_written_here = unconfirmed is not None and _is_same_end(move, unconfirmed)
        return move if was_written_here else None

    def _write(self, move: Move) -> WriteMove:
        return WriteMove(move, self._revision)

    def _withdrawal_reason(self, now_ms: int) -> str:
        if self._bad_reason:
            return self._bad_reason
        if now_ms < self._move.deadline_ms or self._move.percent >= 100.0:
            return ""
        return f"the deadline passed at {self._move.percent:g} %"

    def _end_state(self) -> MoveState | None:
        if self._move.state == MoveState.RUNNING and self._move.percent >= 100.0:
            return MoveState.DONE
        return _TERMINAL_STATE_AFTER.get(self._move.state)

    def _due_step(self, now_ms: int, capacity: Capacity) -> int:
        current = self._move.step
        demand = self._evidence.demand_slots
        highest = _highest_step(capacity.supported_percent(demand, MAX_UTILIZATION))
        if current > highest:
            return highest
        planned = _highest_step(capacity.supported_percent(demand, PLANNED_UTILIZATION))
        if current >= planned or now_ms < self._next_step_ms():
            return current
        return current + 1

    def _next_step_ms(self) -> float:
        """Return the Unix time at which the next step may start."""
        step = self._move.step
        if step == 0:
            return 0.0
        start_ms = self._move.started_ms
        reserve_ms = RESERVE_FRACTION * (self._move.deadline_ms - start_ms)
        finish_ms = self._move.deadline_ms - reserve_ms
        start_fraction = STEPS[step + 1].start_fraction
        if self._evidence.verdict.kind != VerdictKind.GOOD:
            start_fraction += HOLD_FRACTION
        planned_ms = start_ms + start_fraction * (finish_ms - start_ms)
        step_started_ms = self._step_started_ms or start_ms
        left_ms = max(0.0, finish_ms - step_started_ms) / (LAST_STEP - step)
        return max(planned_ms, step_started_ms + min(MIN_STEP_MS, left_ms))


def desired_split(move: Move) -> list[VersionWeight]:
    """Return the split for the current share of a move."""
    percent = move.percent if move.state == MoveState.RUNNING else 0.0
    old = VersionWeight(version=move.old_version, percent=100.0 - percent)
    new = VersionWeight(
        version=move.version, percent=percent, move_started_ms=move.started_ms
    )
    return [weight for weight in (old, new) if weight.percent > 0]


def replace_split(fleet: Any, service: str, split: Any) -> Any | None:
    """Return a copy of the plain fleet with the split of a service replaced.

    Return None if the fleet does not have the service.
    """
    changed = deepcopy(fleet)
    for entry in changed.get("services", []):
        if entry.get("name") == service:
            entry["split"] = split
            return changed
    return None


def _highest_step(supported_percent: float) -> int:
    return max(
        number for number, step in enumerate(STEPS) if step.percent <= supported_percent
    )


def _is_same_end(stored: Move, sent: Move) -> bool:
    return (stored.state, stored.epoch, stored.started_ms) == (
        sent.state,
        sent.epoch,
        sent.started_ms,
    )
