"""Count the results of attempts by version, as evidence for moves."""

from attrs import define

from catkinhollow.calls.targets import Sample
from catkinhollow.generated.messages import VersionCounts

# Refused attempts, and attempts that found no listener, indicate load or a
# restart of one instance, not a fault of its version.
_COUNTED = (Sample.CLEAN, Sample.SLOW, Sample.FAILED)


@define
class _Counts:
    requests: int = 0
    failures: int = 0
    slow: int = 0
    latency_ms_sum: float = 0.0


class EvidenceCounts:
    """Sum the attempts by service, version and route until taken."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str, str], _Counts] = {}

    def add(
        self, key: tuple[str, str, str], sample: Sample, latency_s: float, slow: bool
    ) -> None:
        """Count an attempt of (service, version, route)."""
        if sample not in _COUNTED:
            return
        counts = self._counts.get(key)
        if counts is None:
            counts = self._counts[key] = _Counts()
        counts.requests += 1
        counts.failures += sample is Sample.FAILED
        counts.slow += slow
        counts.latency_ms_sum += latency_s * 1000

    def take(self) -> list[VersionCounts]:
        """Return the sums and reset them to 0."""
        taken, self._counts = self._counts, {}
        return [
            VersionCounts(
                service=service,
                version=version,
                route=route,
                requests=counts.requests,
                failures=counts.failures,
                slow=counts.slow,
                latency_ms_sum=counts.latency_ms_sum,
            )
            for (service, version, route), counts in taken.items()
        ]
