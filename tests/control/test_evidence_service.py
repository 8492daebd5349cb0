"""Tests of which counts a daemon reports to the controller."""

from catkinhollow.control.evidence_service import SplitTrafficCounts
from catkinhollow.generated.fleet import Fleet, Service, VersionWeight
from catkinhollow.generated.messages import VersionCounts


class Router:
    """Count one request of each version of two services."""

    def take_counts(self):
        return [
            VersionCounts(service=service, version=version, route="r", requests=1)
            for service in ("orders", "stock")
            for version in ("v1", "v2")
        ]


def make_fleet(percent):
    split = [VersionWeight(version="v1", percent=100.0 - percent)]
    if percent:
        split.append(VersionWeight(version="v2", percent=percent))
    return Fleet(services=[Service(name="orders", split=split), Service(name="stock")])


def test_only_services_in_a_move_are_reported():
    """Guards against reports that use bandwidth while there is no move."""
    counts = SplitTrafficCounts(Router())
    assert counts.take() == []
    counts.enforce(make_fleet(5.0))
    assert [(entry.service, entry.version) for entry in counts.take()] == [
        ("orders", "v1"),
        ("orders", "v2"),
    ]
    counts.enforce(make_fleet(0.0))
    assert counts.take() == []
