"""Hold the metrics of a daemon."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 10]


class Metrics:
    """Register and render the metrics of one daemon."""

    def __init__(self) -> None:
        registry = Registry()
        self._registry = registry
        self.calls = Counter(
            "catkinhollow_calls_total",
            "Calls by route and outcome",
            registry=registry,
        )
        self.call_seconds = Histogram(
            "catkinhollow_call_seconds",
            "Time from the request to the answer in seconds, by route",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refusals = Counter(
            "catkinhollow_refusals_total",
            "Calls refused before any attempt, by reason",
            registry=registry,
        )
        self.enforced_revision = Gauge(
            "catkinhollow_enforced_revision",
            "Revision of the configuration in force",
            registry=registry,
        )
        self.members = Gauge(
            "catkinhollow_members", "Members by state", registry=registry
        )
        self.targets = Gauge(
            "catkinhollow_targets", "Known targets by service", registry=registry
        )
        self.ready = Gauge(
            "catkinhollow_ready",
            "1 when the daemon accepts calls, else 0",
            registry=registry,
        )
        self.snapshots_refused = Counter(
            "catkinhollow_snapshots_refused_total",
            "Configuration versions refused as a whole",
            registry=registry,
        )

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in text form and their HTTP headers."""
        content, headers = render(self._registry, ["text/plain"])
        return content, dict(headers)
