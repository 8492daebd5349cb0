"""Check that daemons enforce each configuration version in time."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from math import inf

from attrs import define, frozen

from catkinhollow.testbed.soak_violation import Violation
from catkinhollow.timer import Clock

# A version is enforced within this time after the store confirmed it.
CONFIGURATION_APPLY_S = 2.0
# A daemon is in touch after this time without a disturbance.
STABLE_WINDOW_S = 3.0
# A daemon that has served a version may still answer as before for this time.
REGRESSION_SLACK_S = 0.25
NO_ROUTE_STATUS = 404


@define(eq=False)
class _Disturbance:
    """Represent a time in which faults act on a daemon."""

    begin_s: float
    end_s: float = inf


class TouchRecord:
    """Record when faults disturbed each daemon."""

    def __init__(self, instances: Iterable[str], clock: Clock) -> None:
        self._clock = clock
        self._disturbances: dict[str, list[_Disturbance]] = {
            instance: [] for instance in instances
        }

    @property
    def instances(self) -> list[str]:
        """Return the names of all daemons."""
        return list(self._disturbances)

    @contextmanager
    def disturb(self, instances: Iterable[str]) -> Iterator[None]:
        """Record that daemons are disturbed until the context ends."""
        disturbance = _Disturbance(self._clock.monotonic())
        for instance in instances:
            self._disturbances[instance].append(disturbance)
        try:
            yield
        finally:
            disturbance.end_s = self._clock.monotonic()

    def record_stall(self, begin_s: float, end_s: float) -> None:
        """Record when the process of the proxies and the store was stalled.

        It then holds back the bytes of all connections.
        """
        for disturbances in self._disturbances.values():
            disturbances.append(_Disturbance(begin_s, end_s))

    def record_starvation(self, instance: str, begin_s: float, end_s: float) -> None:
        """Record when a daemon could run but had no core of the machine."""
        self._disturbances[instance].append(_Disturbance(begin_s, end_s))

    def in_touch(self, instance: str, begin_s: float, end_s: float) -> bool:
        """Return whether a daemon was in touch from a time to another."""
        return not any(
            each.begin_s <= end_s and begin_s - STABLE_WINDOW_S <= each.end_s
            for each in self._disturbances[instance]
        )

    def all_in_touch(self, begin_s: float, end_s: float) -> bool:
        """Return whether all daemons were in touch from a time to another."""
        return all(
            self.in_touch(instance, begin_s, end_s) for instance in self._disturbances
        )


@frozen(kw_only=True)
class VersionAnswer:
    """Represent the answer to a request on a route of one version."""

    instance: str
    process: int
    """Process id of the daemon."""
    version: int
    """First version that has the route."""
    dropped: bool
    """Whether the next version no longer has the route."""
    sent_s: float
    answered_s: float
    status: int


class VersionLedger:
    """Record the versions and the answers that depend on them."""

    def __init__(self, touch: TouchRecord) -> None:
        self._touch = touch
        # When the store confirmed each version.
        self._confirmed_s: dict[int, float] = {}
        self._answers: list[VersionAnswer] = []

    @property
    def newest(self) -> int:
        """Return the newest confirmed version, 0 without any."""
        return max(self._confirmed_s, default=0)

    @property
    def judged(self) -> int:
        """Return the number of answers that had to follow a version."""
        return sum(self._is_due(answer) for answer in self._answers)

    def newest_due(self, now_s: float) -> int:
        """Return the newest version that has to be enforced, 0 without any."""
        return max(
            (
                version
                for version, confirmed_s in self._confirmed_s.items()
                if now_s > confirmed_s + CONFIGURATION_APPLY_S
            ),
            default=0,
        )

    def record_version(self, version: int, now_s: float) -> None:
        """Record that the store confirmed a version."""
        self._confirmed_s[version] = now_s

    def record_answer(self, answer: VersionAnswer) -> None:
        """Record an answer to a request on a route of a version."""
        self._answers.append(answer)

    def find_violations(self) -> list[Violation]:
        """Return the first answer that violates each invariant per version."""
        found: dict[tuple[str, str, int], Violation] = {}
        # Answers that have shown a version, by daemon and process.
        served: dict[tuple[str, int], list[VersionAnswer]] = defaultdict(list)
        for answer in sorted(self._answers, key=lambda it: it.sent_s):
            earlier = served[answer.instance, answer.process]
            if self._is_outdated(answer):
                required = self._required(answer)
                for violation in self._check_outdated(answer, earlier):
                    key = (violation.kind, violation.instance, required)
                    found.setdefault(key, violation)
            elif answer.status == 200 and not answer.dropped:
                earlier.append(answer)
        return list(found.values())

    def _is_outdated(self, answer: VersionAnswer) -> bool:
        """Return whether only an older version allows an answer."""
        if answer.dropped:
            return answer.status == 200
        return answer.status == NO_ROUTE_STATUS

    def _required(self, answer: VersionAnswer) -> int:
        """Return the oldest version that does not allow an outdated answer."""
        return answer.version + 1 if answer.dropped else answer.version

    def _is_due(self, answer: VersionAnswer) -> bool:
        confirmed_s = self._confirmed_s.get(self._required(answer), inf)
        is_late = answer.sent_s > confirmed_s + CONFIGURATION_APPLY_S
        return is_late and self._touch.in_touch(
            answer.instance, answer.sent_s, answer.answered_s
        )

    def _check_outdated(
        self, answer: VersionAnswer, served: list[VersionAnswer]
    ) -> Iterator[Violation]:
        required = self._required(answer)
        if self._is_due(answer):
            age_s = answer.sent_s - self._confirmed_s[required]
            yield Violation(
                kind="configuration",
                instance=answer.instance,
                at_s=answer.sent_s,
                reason=f"version {required} not enforced {age_s:.1f} s after its"
                " confirmation",
            )
        for each in served:
            is_later = answer.sent_s > each.answered_s + REGRESSION_SLACK_S
            if each.version >= required and is_later:
                yield Violation(
                    kind="regression",
                    instance=answer.instance,
                    at_s=answer.sent_s,
                    reason=f"version {required} not enforced after version"
                    f" {each.version} was served",
                )
                return
