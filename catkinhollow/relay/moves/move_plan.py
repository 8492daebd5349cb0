"""Plan moves of a service to a new target version within seconds.

`catkinhollow.control.moves` plans moves that take minutes with a sequential
test. Here the new version gets a small share of the requests until some runs
have ended, then larger ones. It is withdrawn if its runs fail more often or
take much longer than those of the old version. Any daemon may write the next
step of an order: each step is a conditional write of the order's progress, so
that only one of several concurrent writers succeeds.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from catkinhollow.generated.relay import (
    GateState,
    MoveOrder,
    MoveProgress,
    OrderState,
    TargetReport,
)


@frozen(kw_only=True)
class MoveStage:
    """Configure one share of the requests and when the next one follows."""

    percent: float
    min_s: float
    """Minimum time at this share in seconds."""
    min_share: float
    """Upper limit of `min_s` as a share of the duration, for short orders."""
    max_elapsed_share: float
    """Elapsed share of the duration after which `min_runs` is ignored."""
    min_runs: int
    """Runs of the new version at this share before the next one follows."""


# The first share lasts long enough to reveal errors that begin some seconds
# after a start; the last one until every daemon has applied it.
STAGES = (
    MoveStage(
        percent=4.0, min_s=4.0, min_share=0.26, max_elapsed_share=0.45, min_runs=20
    ),
    MoveStage(
        percent=15.0, min_s=1.5, min_share=0.1, max_elapsed_share=0.55, min_runs=25
    ),
    MoveStage(
        percent=30.0, min_s=1.5, min_share=0.1, max_elapsed_share=0.65, min_runs=40
    ),
    MoveStage(
        percent=100.0, min_s=2.0, min_share=0.14, max_elapsed_share=0.8, min_runs=0
    ),
)
# A version is withdrawn after this many failed runs at a stage if their share
# of its runs exceeds the old version's by more than this margin.
MIN_FAILURES = 4
FAILURE_MARGIN = 0.06
# Runs of the old version at a stage that are needed to update its failure
# share. At 100 % the share from the earlier stages remains in use.
MIN_OLD_RUNS = 20
# A version is withdrawn as slow after this many runs if its run time exceeds
# the old version's by this factor.
MIN_SLOW_RUNS = 8
SLOW_FACTOR = 2.5
# A version that does not get all requests at this share of the duration is
# withdrawn. If it gets them, the move is done then even if runs of the old
# version have not ended.
WITHDRAW_ELAPSED_SHARE = 0.93


@define
class VersionSums:
    """Sum up the reports of one version's targets."""

    targets: int = 0
    serving: int = 0
    runs: int = 0
    failures: int = 0
    running: int = 0
    _weighted_ms: float = 0.0

    @classmethod
    def of(cls, reports: Iterable[TargetReport]) -> "VersionSums":
        """Return the sums of these reports."""
        sums = cls()
        for report in reports:
            sums.add(report)
        return sums

    def add(self, report: TargetReport) -> None:
        """Add the report of one target."""
        self.targets += 1
        self.serving += report.state is GateState.SERVING
        self.runs += report.runs
        self.failures += report.failures
        self.running += report.running
        self._weighted_ms += report.service_ms * report.runs

    def counts_since(self, earlier: "VersionSums") -> tuple[int, int]:
        """Return the runs and failures since earlier sums.

        The counts of a target that has departed are missing from the later
        sums; a negative difference counts as zero.
        """
        runs = max(0, self.runs - earlier.runs)
        return runs, min(runs, max(0, self.failures - earlier.failures))

    @property
    def failure_share(self) -> float:
        """Return the share of runs that failed."""
        return self.failures / self.runs if self.runs else 0.0

    @property
    def service_ms(self) -> float:
        """Return the mean run time, weighted by runs."""
        return self._weighted_ms / self.runs if self.runs else 0.0


def sum_versions(
    reports: Iterable[TargetReport], version: str
) -> tuple[VersionSums, VersionSums]:
    """Return the sums of the new version and of all others."""
    new, old = VersionSums(), VersionSums()
    for report in reports:
        if report.version:
            (new if report.version == version else old).add(report)
    return new, old


@define(eq=False)
class MovePlan:
    """Plan the steps of one order, as seen by one daemon."""

    order: MoveOrder
    first_seen_s: float
    _percent: float = -1.0
    _stage_started_s: float = 0.0
    _new_at_start: VersionSums = field(factory=VersionSums)
    _old_at_start: VersionSums = field(factory=VersionSums)
    _old_failure_share: float = 0.0
    """Failure share of the old version when it last had enough runs."""

    def next_progress(
        self, reports: Iterable[TargetReport], now_s: float
    ) -> tuple[MoveProgress, str] | None:
        """Return the next progress to write and its reason, if one is due."""
        progress = self.order.progress
        if progress is None or not self._is_current(progress):
            return self._build_progress(OrderState.RUNNING, 0.0), "order seen"
        if progress.state is not OrderState.RUNNING:
            return None
        new, old = sum_versions(reports, self.order.version)
        self._track_stage(progress.percent, new, old, now_s)
        reason = self._find_failure(new, old) or self._find_delay(
            progress.percent, now_s
        )
        if reason:
            return self._build_progress(OrderState.WITHDRAWN, 0.0), reason
        return self._next_stage(progress.percent, new, old, now_s)

    def _is_current(self, progress: MoveProgress) -> bool:
        return (progress.version, progress.order) == (
            self.order.version,
            self.order.order,
        )

    def _build_progress(self, state: OrderState, percent: float) -> MoveProgress:
        return MoveProgress(
            version=self.order.version,
            state=state,
            percent=percent,
            order=self.order.order,
        )

    def _track_stage(
        self, percent: float, new: VersionSums, old: VersionSums, now_s: float
    ) -> None:
        if percent != self._percent:
            self._percent = percent
            self._stage_started_s = now_s
            self._new_at_start = new
            self._old_at_start = old

    def _find_failure(self, new: VersionSums, old: VersionSums) -> str:
        # Both versions are compared over the same period, so that a fault that
        # affects both counts against neither.
        runs, failures = new.counts_since(self._new_at_start)
        old_runs, old_failures = old.counts_since(self._old_at_start)
        if old_runs >= MIN_OLD_RUNS:
            self._old_failure_share = old_failures / old_runs
        excess = failures / runs - self._old_failure_share if runs else 0.0
        if failures >= MIN_FAILURES and excess > FAILURE_MARGIN:
            return f"{failures} of {runs} runs failed"
        slow = new.service_ms > SLOW_FACTOR * old.service_ms > 0
        if new.runs >= MIN_SLOW_RUNS and slow:
            return f"runs take {new.service_ms:.0f} ms, before {old.service_ms:.0f} ms"
        return ""

    def _elapsed_share(self, now_s: float) -> float:
        return (now_s - self.first_seen_s) / self.order.duration_s

    def _find_delay(self, percent: float, now_s: float) -> str:
        if percent < 100.0 and self._elapsed_share(now_s) > WITHDRAW_ELAPSED_SHARE:
            return f"the time of the order ends at {percent:g} %"
        return ""

    def _next_stage(
        self, percent: float, new: VersionSums, old: VersionSums, now_s: float
    ) -> tuple[MoveProgress, str] | None:
        if new.serving == 0:
            return None
        stage = next((s for s in STAGES if s.percent == percent), None)
        if stage is None:
            return self._build_progress(
                OrderState.RUNNING, STAGES[0].percent
            ), "targets ready"
        stage_elapsed_s = now_s - self._stage_started_s
        if stage_elapsed_s < min(stage.min_s, stage.min_share * self.order.duration_s):
            return None
        if stage is STAGES[-1]:
            if old.running and self._elapsed_share(now_s) < WITHDRAW_ELAPSED_SHARE:
                return None
            return self._build_progress(OrderState.DONE, 100.0), "all requests moved"
        enough = new.counts_since(self._new_at_start)[0] >= stage.min_runs
        if not enough and self._elapsed_share(now_s) < stage.max_elapsed_share:
            return None
        next_stage = STAGES[STAGES.index(stage) + 1]
        return self._build_progress(
            OrderState.RUNNING, next_stage.percent
        ), "runs are good"
