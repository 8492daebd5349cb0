"""Fault matrix of cold starts: each fault while a target warms up."""

import pytest
from attrs import evolve

from catkinhollow.generated.fleet import Defaults
from catkinhollow.generated.messages import MemberState
from tests.builders import make_fleet, make_router
from tests.calls.test_cold_targets import BEGIN_S, simulate
from tests.fault_table import list_cells

INGRESS_DAEMONS = 12
# Limits as fractions of the overruns with the naive picker. Trials without the
# slow start or without shares exceed them. The limit for a target that turns
# cold is higher, as nobody announces it.
MAX_OVERRUN_RATIO = 0.05
UNANNOUNCED_MAX_OVERRUN_RATIO = 0.12
COLD_TARGET = {"cold_at_s": BEGIN_S}
# These faults hit a warm target, which has the most load to lose.
WARM_TARGET_FAULTS = ("target-dies", "target-cold")


def set_shares(routers, now_s):
    for router in routers.values():
        router.set_ingress_share("orders", 1 / len(routers), now_s)


def update(routers, members, now_s):
    for router in routers.values():
        router.update_members(members, now_s, int(now_s * 1000))


def kill(now_s, routers, members, targets, random):
    """Stop one ingress daemon, whose share the others get."""
    del routers[0]
    set_shares(routers, now_s)


def restart(now_s, routers, members, targets, random):
    """Replace one ingress daemon with one that has no observations."""
    routers[0] = make_router([], share=1 / INGRESS_DAEMONS, random=random)
    routers[0].update_members(members, now_s, int(now_s * 1000))


def pause(now_s, routers, members, targets, random):
    """Treat a paused ingress daemon as dead until it resumes."""
    paused = routers.pop(0)
    set_shares(routers, now_s)
    routers[0] = paused


def split(now_s, routers, members, targets, random):
    """Leave half of the ingress daemons in the cold target's partition."""
    for ingress in range(INGRESS_DAEMONS // 2):
        del routers[ingress]
    set_shares(routers, now_s)


def concurrent_update(now_s, routers, members, targets, random):
    """Enforce another configuration version while the target warms up."""
    for router in routers.values():
        router.enforce(make_fleet(defaults=Defaults(timeout_ms=1500)), now_s)


def target_dies(now_s, routers, members, targets, random):
    """Kill the cold target, whose replacement starts cold again."""
    targets[0].dead = True
    dead = evolve(members[0], state=MemberState.DEAD)
    update(routers, [dead, *members[1:]], now_s)
    targets[0].dead, targets[0].cold_at_s = False, now_s
    record = evolve(members[0].targets[0], started_ms=int(now_s * 1000))
    again = evolve(members[0], incarnation=2, targets=[record])
    update(routers, [again, *members[1:]], now_s)


def target_cold(now_s, routers, members, targets, random):
    """Turn the target cold again without an announcement."""
    targets[0].cold_at_s = now_s


FAULTS = {
    "kill": kill,
    "restart": restart,
    "pause": pause,
    "split": split,
    "concurrent-update": concurrent_update,
    "target-dies": target_dies,
    "target-cold": target_cold,
}


def run_simulation(seed, name, naive=False):
    """Return the cold target and the fraction of calls that was answered."""
    cold, announced = (
        (COLD_TARGET, True) if name not in WARM_TARGET_FAULTS else ({}, False)
    )
    return simulate(
        INGRESS_DAEMONS, cold, announced, naive, seed=seed, fault=FAULTS[name]
    )


@pytest.mark.parametrize(
    ("step", "fault", "seed"), list_cells(["cold-start"], seeds=(0, 1))
)
def test_cold_start(step, fault, seed):
    """Guards against ingress daemons that overrun a cold target after a fault.

    Invariant 5.
    """
    target, answered = run_simulation(seed, fault)
    naive, _ = run_simulation(seed, fault, naive=True)
    max_ratio = (
        UNANNOUNCED_MAX_OVERRUN_RATIO if fault == "target-cold" else MAX_OVERRUN_RATIO
    )
    assert target.overruns < max_ratio * naive.overruns, "invariant 5"
    assert answered > 0.999
