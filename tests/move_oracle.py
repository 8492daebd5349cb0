"""Test oracle that checks the writes of moves, the lease and the split."""

from catkinhollow.codec import from_plain
from catkinhollow.control.moves import TERMINAL_STATES
from catkinhollow.generated.fleet import Lease, Move, MoveState
from tests.controller_simulation import split_percent


class MoveOracle:
    """Check every write in order against the previous one."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.crashed = False
        self.checked = 0
        self.last_move = None
        self.last_lease = Lease(holder="", epoch=0)

    def check_new_writes(self):
        """Check the writes since the last call."""
        for stored in self.simulation.store.writes[self.checked :]:
            if stored.kind == "moves":
                self.check_move(from_plain(stored.value, Move).ok)
            if stored.kind == "leases":
                self.check_lease(from_plain(stored.value, Lease).ok)
            if stored.kind == "config" and self.last_move:
                self.check_split(split_percent(stored))
        self.checked = len(self.simulation.store.writes)

    def check_move(self, move):
        last, self.last_move = self.last_move, move
        if last is None:
            return
        if move.started_ms != last.started_ms:
            return
        assert last.state not in TERMINAL_STATES, "a move changed after its end"
        assert move.epoch >= last.epoch, "an earlier term changed the move"
        if last.state != MoveState.RUNNING:
            assert move.percent <= last.percent
            assert move.state != MoveState.RUNNING

    def check_lease(self, lease):
        last, self.last_lease = self.last_lease, lease
        is_taken = lease.holder not in ("", last.holder)
        assert lease.epoch > last.epoch if is_taken else lease.epoch >= last.epoch

    def check_split(self, percent):
        if self.last_move.state in TERMINAL_STATES:
            assert percent == final_percent(self.last_move)

    def check_ends(self):
        """Check that the end of each move was reported exactly once."""
        ends = [move.started_ms for move in self.simulation.ends]
        assert len(set(ends)) == len(ends)
        assert self.crashed or self.simulation.move.started_ms in ends

    def check_settled(self):
        """Check that the move has ended with the matching split."""
        self.check_new_writes()
        assert self.simulation.move.state in TERMINAL_STATES
        assert self.simulation.percent == final_percent(self.simulation.move)
        (number,) = self.simulation.preferred
        assert self.simulation.daemons[number].controller.may_decide
        self.check_ends()


def final_percent(move):
    return 100.0 if move.state == MoveState.DONE else 0.0
