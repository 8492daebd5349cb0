"""Tests of when a daemon acquires and releases the lease."""

from catkinhollow.control.lease import LeaseManager, ReadLease, WriteLease
from catkinhollow.generated.fleet import Lease
from catkinhollow.generated.settings import LeaseSettings


def make_holder():
    """Return a manager that acquired the lease at 0 s with revision 1."""
    manager = LeaseManager("a", LeaseSettings())
    assert manager.next_command(0.0, preferred=True) == ReadLease()
    manager.on_read(0.0, None, 0)
    command = manager.next_command(0.0, preferred=True)
    manager.on_written(0.0, command, 1)
    return manager


def test_holder_releases_when_another_is_preferred():
    """Guards against a takeover that waits although the holder is alive."""
    manager = make_holder()
    command = manager.next_command(1.0, preferred=False)
    assert command == WriteLease(Lease(holder="", epoch=1, renewals=1), 1)
    assert not manager.may_decide(1.0)
    successor = LeaseManager("b", LeaseSettings())
    assert successor.next_command(1.0, preferred=True) == ReadLease()
    successor.on_read(1.0, command.lease, 2)
    taken = successor.next_command(1.0, preferred=True)
    assert taken.lease.holder == "b"
    assert taken.lease.epoch == 2


def test_lost_renewal_counts_from_when_it_was_sent():
    """Guards against a holder that decides after its term or ends it early."""
    manager = make_holder()
    command = manager.next_command(3.0, preferred=True)
    manager.on_unavailable(5.0)
    assert manager.next_command(6.0, preferred=True) == ReadLease()
    manager.on_read(8.0, command.lease, 2)
    assert manager.may_decide(9.9)
    assert not manager.may_decide(10.0)
