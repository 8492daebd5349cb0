"""Record the executions of a stand-in target."""

from attrs import evolve

from catkinhollow.generated.testbed import Execution, ExecutionLog

# An execution takes about 300 bytes; a longer log would outgrow the memory of
# the test bed.
DEFAULT_MAX_EXECUTIONS = 200_000


class ExecutionRecorder:
    """Record the start and the end of each execution."""

    def __init__(self, *, limit: int = DEFAULT_MAX_EXECUTIONS) -> None:
        self._limit = limit
        self._executions: list[Execution] = []
        self._dropped = 0

    def start(self, execution: Execution) -> int | None:
        """Record a start; return its index, or None if the log is full."""
        if len(self._executions) >= self._limit:
            self._dropped += 1
            return None
        self._executions.append(execution)
        return len(self._executions) - 1

    def finish(self, index: int | None, *, end_ms: int, status: int) -> None:
        """Record the end of an execution."""
        if index is not None:
            started = self._executions[index]
            self._executions[index] = evolve(started, end_ms=end_ms, status=status)

    def log(self, *, version: str, refused: int) -> ExecutionLog:
        """Return the executions so far."""
        return ExecutionLog(
            version=version,
            refused=refused,
            dropped=self._dropped,
            executions=self._executions,
        )
