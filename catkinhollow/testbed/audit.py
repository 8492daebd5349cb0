"""Compare the responses to callers with the executions at targets."""

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import frozen

from catkinhollow.testbed.callers import CallLog, CallResult


@frozen(kw_only=True)
class AuditReport:
    """Represent the number of calls with each fault or outcome."""

    requests: int
    lost: int
    """Calls that succeeded for the caller but were never executed."""
    duplicated: int
    """Calls executed more than once that are not idempotent."""
    wrong_answer: int
    false_not_run: int
    """Calls that were executed although the response says "not run"."""
    refusals: int
    unknown: int


def audit(log: CallLog, executions: Iterable[str]) -> AuditReport:
    """Compare call records with executions.

    `executions` has one request id per execution, so the id of a call that was
    executed twice is in it twice.
    """
    execution_counts = Counter(executions)
    return AuditReport(
        requests=len(log.records),
        lost=_count_lost(log, execution_counts),
        duplicated=_count_duplicated(log, execution_counts),
        wrong_answer=log.count(CallResult.WRONG_ANSWER),
        false_not_run=sum(
            record.result is CallResult.NOT_RUN
            and execution_counts[record.request_id] > 0
            for record in log.records
        ),
        refusals=log.count(CallResult.NOT_RUN),
        unknown=log.count(CallResult.UNKNOWN),
    )


def _count_lost(log: CallLog, execution_counts: Mapping[str, int]) -> int:
    return sum(
        record.result is CallResult.OK and not execution_counts[record.request_id]
        for record in log.records
    )


def _count_duplicated(log: CallLog, execution_counts: Mapping[str, int]) -> int:
    return sum(
        not record.kind.idempotent and execution_counts[record.request_id] > 1
        for record in log.records
    )
