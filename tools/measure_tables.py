"""Measure the memory and time of a daemon's tables at the design size."""

import sys
import tracemalloc
from pathlib import Path
from random import Random
from time import perf_counter

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from attrs import evolve  # noqa: E402

from catkinhollow.calls.call_router import CallRouter  # noqa: E402
from catkinhollow.calls.pool import Location  # noqa: E402
from catkinhollow.codec import encode_message, encode_without_none  # noqa: E402
from catkinhollow.generated.fleet import (  # noqa: E402
    Backer,
    Fleet,
    Route,
    Service,
    Snapshot,
)
from catkinhollow.generated.messages import (  # noqa: E402
    Envelope,
    EvidenceReport,
    MemberRecord,
    TargetRecord,
    VersionCounts,
)
from catkinhollow.mesh.membership import MemberTable  # noqa: E402

MEMBERS = 1400
SERVICES = 36
ROUTES_PER_SERVICE = 5
FAILURE_DOMAINS = 6
BACKERS = 5
MIB = 1024 * 1024


def make_member(number: int) -> MemberRecord:
    """Return one member with its target."""
    target = TargetRecord(
        service=f"service-{number % SERVICES}",
        version="v1",
        address=f"10.0.{number // 250}.{number % 250}:8080",
        slots=10,
        started_ms=1,
    )
    return MemberRecord(
        address=f"10.0.{number // 250}.{number % 250}:9000",
        incarnation=1,
        failure_domain=f"fd-{number % FAILURE_DOMAINS}",
        region=f"r-{number % 2}",
        traffic_address=f"10.0.{number // 250}.{number % 250}:8000",
        admin_address=f"10.0.{number // 250}.{number % 250}:8001",
        targets=[target],
    )


def make_fleet() -> Fleet:
    """Return a configuration with all services and their routes."""
    backers = [Backer(name=f"backer-{n}", share_percent=20.0) for n in range(BACKERS)]
    services = [Service(name=f"service-{n}", backers=backers) for n in range(SERVICES)]
    routes = [
        Route(
            name=f"service-{service}-route-{route}",
            service=f"service-{service}",
            path_prefix=f"/service-{service}/route-{route}",
        )
        for service in range(SERVICES)
        for route in range(ROUTES_PER_SERVICE)
    ]
    return Fleet(services=services, routes=routes)


def report_bytes(counts: int) -> int:
    """Return the size in bytes of an evidence report with some counts."""
    entry = VersionCounts(
        service="service-1",
        version="v1",
        route="service-1-route-1",
        requests=20,
        failures=1,
        slow=1,
        latency_ms_sum=123.4,
    )
    report = EvidenceReport(window_ms=1_796_000_000_000, counts=[entry] * counts)
    envelope = Envelope(
        sender="10.0.0.1:9000",
        incarnation=1_796_000_000_000,
        evidence_report=report,
    )
    return len(encode_without_none(envelope))


def main() -> None:
    """Print memory in MiB and times in ms."""
    tracemalloc.start()
    members = [make_member(number) for number in range(MEMBERS)]
    table = MemberTable(members[0], suspect_timeout_s=3.0, dead_retention_s=600.0)
    for member in members[1:]:
        table.merge(member, 0.0)
    records_mib = tracemalloc.get_traced_memory()[0] / MIB
    fleet = make_fleet()
    router = CallRouter(Location(failure_domain="fd-0", region="r-0"), Random(1))
    router.enforce(fleet, 1000.0)
    router.update_members(members, 1000.0, 1)
    all_mib = tracemalloc.get_traced_memory()[0] / MIB
    tracemalloc.stop()
    snapshot = encode_message(Snapshot(revision=1, fleet=fleet))
    members[5] = evolve(members[5], version=1)
    started_s = perf_counter()
    router.update_members(members, 1001.0, 1)
    update_ms = (perf_counter() - started_s) * 1000
    started_s = perf_counter()
    router.enforce(fleet, 1002.0)
    enforce_ms = (perf_counter() - started_s) * 1000
    print(f"members {MEMBERS}, services {SERVICES}")
    print(f"member table            {records_mib:.1f} MiB")
    print(f"directory and router    {all_mib - records_mib:.1f} MiB")
    print(f"snapshot                {len(snapshot) / 1000:.1f} KB")
    for counts in (2, 3, 4, 10):
        print(f"report of {counts:2} counts      {report_bytes(counts)} bytes")
    print(f"one member changed      {update_ms:.2f} ms")
    print(f"new configuration       {enforce_ms:.2f} ms")


if __name__ == "__main__":
    main()
