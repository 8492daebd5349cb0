"""Determine the state of a target from its announcements and probes."""

from attrs import evolve

from catkinhollow.generated.messages import TargetRecord, TargetState


class TargetHealth:
    """Track the state of one target.

    Consecutive failed probes mark the target as failed, whatever it
    announces, until a probe succeeds or the target restarts.
    """

    def __init__(self, failures_to_unhealthy: int) -> None:
        self._failures_to_unhealthy = failures_to_unhealthy
        self._failures = 0
        self._record: TargetRecord | None = None
        self._probes_failed = False

    @property
    def record(self) -> TargetRecord | None:
        """Return the announced record, with state failed if probes fail."""
        if self._record is None:
            return None
        if self._probes_failed:
            return evolve(self._record, state=TargetState.FAILED)
        return self._record

    def update_record(self, record: TargetRecord) -> bool:
        """Handle an announcement; return whether the record has changed."""
        before = self.record
        if self._record is None or self._record.started_ms != record.started_ms:
            self._failures = 0
            self._probes_failed = False
        self._record = record
        return self.record != before

    def add_probe_result(self, healthy: bool) -> bool:
        """Handle a probe's result; return whether the state has changed."""
        before = self.record
        self._failures = 0 if healthy else self._failures + 1
        self._probes_failed = self._failures >= self._failures_to_unhealthy
        return self.record != before
