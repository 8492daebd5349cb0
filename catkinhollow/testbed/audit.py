"""Compare what callers were told with what targets executed."""

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import frozen

from catkinhollow.testbed.callers import CallLog, CallResult


@frozen(kw_only=True)
class AuditReport:
    """Hold the faults that the comparison found."""

    requests: int
    lost: int
    duplicated: int
    wrong_answer: int
    false_not_run: int
    refusals: int
    unknown: int


def audit(log: CallLog, executions: Iterable[str]) -> AuditReport:
    """Return the report; executions are request ids, one per execution."""
    runs = Counter(executions)
    return AuditReport(
        requests=len(log.records),
        lost=_count_lost(log, runs),
        duplicated=_count_duplicated(log, runs),
        wrong_answer=log.count(CallResult.WRONG_ANSWER),
        false_not_run=sum(
            record.result is CallResult.NOT_RUN and runs[record.request_id] > 0
            for record in log.records
        ),
        refusals=log.count(CallResult.NOT_RUN),
        unknown=log.count(CallResult.UNKNOWN),
    )


def _count_lost(log: CallLog, runs: Mapping[str, int]) -> int:
    return sum(
        record.result is CallResult.OK and not runs[record.request_id]
        for record in log.records
    )


def _count_duplicated(log: CallLog, runs: Mapping[str, int]) -> int:
    return sum(
        not record.kind.idempotent and runs[record.request_id] > 1
        for record in log.records
    )
