"""Decide the steps of one move of a service to a target version."""

from collections.abc import Iterable
from copy import deepcopy
from typing import Any

from attrs import evolve, frozen

from catkinhollow.control.evidence import VerdictKind, VersionEvidence
from catkinhollow.generated.fleet import Move, MoveState, VersionWeight
from catkinhollow.generated.messages import Quarantine, VersionCounts

# Policy. Steps follow a plan worked back from the deadline. A step waits for
# enough evidence up to HOLD_PART longer than planned, then the move goes on:
# lack of traffic does not stop a good version. A move is withdrawn when its
# version is bad, or when the deadline passes before the share is 100 %, which
# only happens when the new targets cannot bear the load or the store was away.


@frozen
class Step:
    """Hold one step: its share, and when it starts as a part of the plan."""

    percent: float
    starts_at: float


# The share stays at 1 % until there is enough evidence, so that a version
# that is bad at once gets less than 2 % of the traffic.
STEPS = (
    Step(0.0, 0.0),
    Step(1.0, 0.0),
    Step(5.0, 0.35),
    Step(20.0, 0.5),
    Step(50.0, 0.65),
    Step(100.0, 0.8),
)
LAST_STEP = len(STEPS) - 1
HOLD_PART = 0.15
# Part of the time to the deadline kept for takeovers and slow writes.
RESERVE_PART = 0.1
# A step that starts late, after a takeover or a wait for targets, still runs
# so long if the time left allows it: evidence arrives within 3 s.
MIN_BAKE_MS = 10_000

# Highest use of the new targets' slots that a step may plan for, and the use
# above which a share already given is lowered again.
PLANNED_USE = 0.7
HIGHEST_USE = 0.95
# Cold targets fail under full load; this part of their slots counts.
COLD_SLOT_VALUE = 0.2

TERMINAL_STATES = (MoveState.DONE, MoveState.WITHDRAWN, MoveState.CANCELLED)
_LEAVING = {
    MoveState.WITHDRAWING: MoveState.WITHDRAWN,
    MoveState.CANCELLING: MoveState.CANCELLED,
}


@frozen(kw_only=True)
class Capacity:
    """Hold the slots of a version's targets that accept work."""

    ready_slots: int
    cold_slots: int = 0

    def supported_percent(self, demand_slots: float, use: float) -> float:
        """Return the share of the service's load that the targets bear."""
        slots = use * (self.ready_slots + COLD_SLOT_VALUE * self.cold_slots)
        if slots <= 0:
            return 0.0
        return 100.0 if demand_slots <= slots else 100.0 * slots / demand_slots


@frozen
class WriteMove:
    """Ask the edge to write the move if its revision is the given one."""

    move: Move
    if_revision: int


@frozen
class WriteSplit:
    """Ask the edge to write the split of one service in config/fleet."""

    service: str
    split: tuple[VersionWeight, ...]


MoveCommand = WriteMove | WriteSplit


class MoveDriver:
    """Follow one move and state what to write next.

    The move is written before the split. The move is fenced by revision and
    epoch, so a former holder fails there before it reaches the split, and
    after a crash between the two writes the next holder derives the split
    from the move. An end is recorded in three writes: the intention, the
    split, and the final state, so a final state means a split in force.
    """

    def __init__(self, move: Move, revision: int) -> None:
        self._move = move
        self._revision = revision
        self._epoch = 0
        self._evidence = VersionEvidence(move.version, move.old_version)
        self._bad_reason = ""
        # A new holder, and each change of the move, writes the split even if
        # it is the same. The new revision makes delayed writes fail, of an
        # earlier holder as well as own ones that got no answer.
        self._split_confirmed = False
        self._split_revision = 0
        self._entered_ms: int | None = None
        self._ending: Move | None = None

    @property
    def move(self) -> Move:
        """Return the move as the store is known to hold it."""
        return self._move

    @property
    def epoch(self) -> int:
        """Return the epoch in which the driver decides, 0 before the first."""
        return self._epoch

    @property
    def has_unknown_end(self) -> bool:
        """Tell whether a final state was written without an answer."""
        return self._ending is not None

    def start_term(self, epoch: int) -> None:
        """Decide in a new epoch, keeping the evidence."""
        self._epoch = epoch

    def observe(self, counts: Iterable[VersionCounts]) -> Quarantine | None:
        """Take one window and return a quarantine if the version is bad."""
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
        """Withdraw the version for a reason found elsewhere."""
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
            return WriteSplit(move.service, tuple(wanted_split(move)))
        end = self._end_state()
        if end:
            percent = move.percent if end == MoveState.DONE else 0.0
            return self._write(
                evolve(move, state=end, percent=percent, ended_ms=now_ms)
            )
        step = self._wanted_step(now_ms, capacity)
        if step == move.step:
            return None
        return self._write(evolve(move, step=step, percent=STEPS[step].percent))

    def on_split_written(self, now_ms: int, revision: int) -> None:
        """Take the store's confirmation that the split is in force."""
        self._split_confirmed = True
        self._split_revision = revision
        if self._entered_ms is None:
            self._entered_ms = now_ms

    def on_split_seen(self, split: list[VersionWeight], revision: int) -> None:
        """Write the split again if a later configuration has another one."""
        if revision > self._split_revision and split != wanted_split(self._move):
            self._split_confirmed = False

    def on_service_missing(self) -> None:
        """Withdraw a version whose service has left the configuration."""
        self._split_confirmed = True
        self.withdraw("the service is not in the configuration")

    def on_move_sent(self, move: Move) -> None:
        """Remember a final state until it is known whether it was written."""
        if move.state in TERMINAL_STATES:
            self._ending = move

    def on_record(self, move: Move, revision: int) -> Move | None:
        """Take the stored move; return it if the own write ended it."""
        if revision <= self._revision:
            return None
        changed = (move.step, move.state) != (self._move.step, self._move.state)
        self._move = move
        self._revision = revision
        if changed:
            self._split_confirmed = False
            self._entered_ms = None
            self._evidence.start_step()
        ending, self._ending = self._ending, None
        ended_here = ending is not None and _is_same_end(move, ending)
        return move if ended_here else None

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
        return _LEAVING.get(self._move.state)

    def _wanted_step(self, now_ms: int, capacity: Capacity) -> int:
        current = self._move.step
        demand = self._evidence.demand_slots
        highest = _highest_step(capacity.supported_percent(demand, HIGHEST_USE))
        if current > highest:
            return highest
        planned = _highest_step(capacity.supported_percent(demand, PLANNED_USE))
        if current >= planned or now_ms < self._ready_ms():
            return current
        return current + 1

    def _ready_ms(self) -> float:
        """Return when the next step may start."""
        step = self._move.step
        if step == 0:
            return 0.0
        start_ms = self._move.started_ms
        reserve_ms = RESERVE_PART * (self._move.deadline_ms - start_ms)
        finish_ms = self._move.deadline_ms - reserve_ms
        starts_at = STEPS[step + 1].starts_at
        if self._evidence.verdict.kind != VerdictKind.GOOD:
            starts_at += HOLD_PART
        planned_ms = start_ms + starts_at * (finish_ms - start_ms)
        entered_ms = self._entered_ms or start_ms
        left_ms = max(0.0, finish_ms - entered_ms) / (LAST_STEP - step)
        return max(planned_ms, entered_ms + min(MIN_BAKE_MS, left_ms))


def wanted_split(move: Move) -> list[VersionWeight]:
    """Return the split that a move at its present share asks for."""
    percent = move.percent if move.state == MoveState.RUNNING else 0.0
    old = VersionWeight(version=move.old_version, percent=100.0 - percent)
    new = VersionWeight(
        version=move.version, percent=percent, move_started_ms=move.started_ms
    )
    return [weight for weight in (old, new) if weight.percent > 0]


def replace_split(fleet: Any, service: str, split: Any) -> Any | None:
    """Return the plain fleet with one split replaced, None if unknown."""
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
