"""Tests of the known targets across updates of the member table."""

from random import Random

from catkinhollow.calls.directory import TargetDirectory
from catkinhollow.generated.messages import MemberState
from tests.builders import make_member


def test_statistics_survive_updates_until_a_new_start():
    """Guards against lost in-flight counts and a restart that stays warm."""
    directory = TargetDirectory(Random(1))
    directory.update([make_member(0)], 1000.0, 1_000_000)
    (entry,) = directory.usable("orders")
    entry.stats.start()
    for state in (MemberState.LEFT, MemberState.SUSPECT):
        changed = directory.update([make_member(0, state=state)], 1000.0, 1_000_000)
        assert changed == {"orders"}
    directory.update([], 1000.0, 1_000_000)
    directory.update([make_member(0)], 1000.0, 1_000_000)
    assert directory.usable("orders") == [entry]
    assert not entry.stats.is_cold
    directory.update([make_member(0, started_ms=1_000_000)], 1000.0, 1_000_000)
    assert entry.stats.is_cold
    assert entry.stats.in_flight == 1


def test_dead_member_does_not_hide_its_successor():
    """Guards against losing a target whose daemon changed its address."""
    for order in (1, -1):
        old, new = make_member(0, state=MemberState.DEAD), make_member(1)
        new.targets[0] = old.targets[0]
        directory = TargetDirectory(Random(1))
        directory.update([old, new][::order], 1000.0, 0)
        assert len(directory.usable("orders")) == 1
