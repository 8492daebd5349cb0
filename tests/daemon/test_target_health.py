"""Tests of the target state derived from announcements and probes."""

from catkinhollow.daemon.target_health import TargetHealth
from catkinhollow.generated.messages import TargetRecord, TargetState


def make_record(started_ms=1, state=TargetState.READY):
    return TargetRecord(
        service="orders",
        version="v1",
        address="127.0.0.1:1",
        slots=10,
        started_ms=started_ms,
        state=state,
    )


def test_one_failed_probe_changes_nothing():
    """Guards against a target that is marked failed after one lost probe."""
    health = TargetHealth(failures_to_unhealthy=3)
    assert health.update_record(make_record())
    assert not any(health.add_probe_result(False) for _ in range(2))
    assert not health.add_probe_result(True)
    assert not any(health.add_probe_result(False) for _ in range(2))
    assert health.record.state is TargetState.READY


def test_repeated_announcement_does_not_hide_failed_probes():
    """Guards against missing a dead port while its target announces itself."""
    health = TargetHealth(failures_to_unhealthy=2)
    health.update_record(make_record())
    assert [health.add_probe_result(False), health.add_probe_result(False)] == [
        False,
        True,
    ]
    assert not health.update_record(make_record())
    assert health.record.state is TargetState.FAILED


def test_restarted_target_is_trusted_again():
    """Guards against failures that outlast the restart of the target."""
    health = TargetHealth(failures_to_unhealthy=1)
    health.update_record(make_record())
    health.add_probe_result(False)
    assert health.update_record(make_record(started_ms=2))
    assert health.record.state is TargetState.READY
