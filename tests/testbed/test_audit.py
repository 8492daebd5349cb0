"""Tests of the comparison between call records and executions."""

from catkinhollow.testbed.audit import audit
from catkinhollow.testbed.callers import CallKind, CallLog, CallRecord, CallResult

ORDER = CallKind(
    name="order", method="POST", path="/orders", weight=1, worth=10, idempotent=False
)
BROWSE = CallKind(name="browse", method="GET", path="/c", weight=1, worth=1)


def make_record(request_id, kind, result):
    return CallRecord(
        request_id=request_id,
        kind=kind,
        result=result,
        status=200,
        started_s=0.0,
        taken_s=0.1,
    )


def test_each_kind_of_fault_is_counted():
    """Guards against an audit that passes in spite of faults."""
    log = CallLog(
        [
            make_record("lost", ORDER, CallResult.OK),
            make_record("twice", ORDER, CallResult.OK),
            make_record("false refusal", ORDER, CallResult.NOT_RUN),
            make_record("swapped", BROWSE, CallResult.WRONG_ANSWER),
            make_record("ok", ORDER, CallResult.OK),
            make_record("retried", BROWSE, CallResult.OK),
            make_record("refused", ORDER, CallResult.NOT_RUN),
        ]
    )
    runs = ["twice", "twice", "false refusal", "ok", "retried", "retried", "swapped"]
    report = audit(log, runs)
    assert (report.requests, report.lost, report.duplicated) == (7, 1, 1)
    assert (report.wrong_answer, report.false_not_run) == (1, 1)
    assert report.refusals == 2
