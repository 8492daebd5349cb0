"""Define the metrics of the reporting of usage."""

from aioprometheus import Counter, Gauge, Registry


class UsageMetrics:
    """Register the metrics of a daemon that counts and may report usage."""

    def __init__(self, registry: Registry) -> None:
        self.holder = Gauge(
            "catkinhollow_usage_holder",
            "Whether this daemon reports usage",
            registry=registry,
        )
        self.epoch = Gauge(
            "catkinhollow_usage_epoch",
            "Newest known epoch of the lease",
            registry=registry,
        )
        self.windows = Gauge(
            "catkinhollow_usage_windows",
            "Windows by state since the start: waiting for their report, sent, missed",
            registry=registry,
        )
        self.reports = Counter(
            "catkinhollow_usage_reports_total",
            "Calls of the API by outcome",
            registry=registry,
        )
        self.runs = Gauge(
            "catkinhollow_usage_runs",
            "Runs that are in no report since the start: late, or lost at this gate",
            registry=registry,
        )
