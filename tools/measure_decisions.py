"""Measure the time that the routing decisions for one call take."""

import sys
from pathlib import Path
from random import Random
from statistics import quantiles
from time import perf_counter

from attrs import evolve

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from catkinhollow.calls.call import RequestAttributes, SendTo  # noqa: E402
from catkinhollow.calls.call_router import CallRouter  # noqa: E402
from catkinhollow.calls.pool import Location  # noqa: E402
from catkinhollow.calls.retries import AttemptKind, AttemptResult  # noqa: E402
from catkinhollow.generated.fleet import (  # noqa: E402
    Backer,
    Fleet,
    Route,
    Service,
    VersionWeight,
)
from catkinhollow.generated.messages import MemberRecord, TargetRecord  # noqa: E402

SERVICES = 36
TARGETS_PER_SERVICE = 40
CALLS = 50_000
CALL_INTERVAL_S = 1 / 300
IN_FLIGHT_LOW, IN_FLIGHT_HIGH = 3, 250


def make_fleet(split: bool) -> Fleet:
    """Return a configuration of the design size."""
    weights = [
        VersionWeight(version="v1", percent=90),
        VersionWeight(version="v2", percent=10),
    ]
    backers = [Backer(name=f"b{index}", share_percent=12) for index in range(8)]
    return Fleet(
        services=[
            Service(name=f"s{index}", backers=backers, split=weights if split else [])
            for index in range(SERVICES)
        ],
        routes=[
            Route(name=f"r{index}", service=f"s{index}", path_prefix=f"/s{index}")
            for index in range(SERVICES)
        ],
    )


def make_members() -> list[MemberRecord]:
    """Return members in 6 failure domains with 40 targets of each service."""
    return [
        MemberRecord(
            address=f"m{service}-{index}:1",
            incarnation=1,
            failure_domain=f"fd{index % 6}",
            region=f"region{index % 2}",
            targets=[
                TargetRecord(
                    service=f"s{service}",
                    version="v2" if index < TARGETS_PER_SERVICE // 4 else "v1",
                    address=f"t{service}-{index}:1",
                    slots=10,
                    started_ms=0,
                )
            ],
        )
        for service in range(SERVICES)
        for index in range(TARGETS_PER_SERVICE)
    ]


def measure(in_flight: int, split: bool) -> None:
    """Print the decision time of a call while others are in flight."""
    router = CallRouter(Location(failure_domain="fd0", region="region0"), Random(1))
    router.enforce(make_fleet(split), 0.0)
    members = make_members()
    router.update_members(members, 0.0, 10**9)
    members[0] = evolve(members[0], version=1, enforced_revision=2)
    started_s = perf_counter()
    router.update_members(members, 0.0, 10**9)
    update_ms = (perf_counter() - started_s) * 1000
    answered = AttemptResult(kind=AttemptKind.ANSWERED, status=200)
    open_calls, times_us, now_s = [], [], 0.0
    for number in range(CALLS):
        now_s += CALL_INTERVAL_S
        attributes = RequestAttributes(
            method="GET", path="/s1/x", backer=f"b{number % 8}"
        )
        start = perf_counter()
        result = router.begin(attributes, now_s)
        step = result.ok.next_step(now_s) if result.is_ok() else None
        elapsed_s = perf_counter() - start
        if isinstance(step, SendTo):
            open_calls.append(result.ok)
        if len(open_calls) >= in_flight:
            start = perf_counter()
            open_calls.pop(0).finish_attempt(answered, now_s)
            elapsed_s += perf_counter() - start
        times_us.append(elapsed_s * 1e6)
    percentiles = quantiles(times_us, n=100)
    print(
        f"in flight {in_flight}, split {split}: median {percentiles[49]:.1f} us, "
        f"p99 {percentiles[98]:.1f} us, mean {sum(times_us) / CALLS:.1f} us; "
        f"update of one member {update_ms:.2f} ms"
    )


if __name__ == "__main__":
    for calls in (IN_FLIGHT_LOW, IN_FLIGHT_HIGH):
        for with_split in (False, True):
            measure(calls, with_split)
