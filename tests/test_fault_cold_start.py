"""The fault matrix, cold start: each fault while a target warms up."""

import pytest
from attrs import evolve

from catkinhollow.generated.fleet import Defaults
from catkinhollow.generated.messages import MemberState
from tests.builders import make_fleet, make_router
from tests.calls.test_cold_targets import BEGIN_S, simulate
from tests.fault_table import cells

ENTRIES = 12
# Parts of the naive picker's overruns. Trials without the slow start or
# without shares exceed them; nobody announces a target that turns cold.
BOUND = 0.05
UNANNOUNCED_BOUND = 0.12
COLD = {"cold_at_s": BEGIN_S}
# These faults meet a warm target, which has the most load to lose.
WARM_BEFORE = ("target-dies", "target-cold")


def set_shares(routers, now_s):
    for router in routers.values():
        router.set_entry_share("orders", 1 / len(routers), now_s)


def update(routers, members, now_s):
    for router in routers.values():
        router.update_members(members, now_s, int(now_s * 1000))


def kill(now_s, routers, members, targets, random):
    """End one entry daemon; the others get its share."""
    del routers[0]
    set_shares(routers, now_s)


def restart(now_s, routers, members, targets, random):
    """Replace one entry daemon by one that has observed nothing."""
    routers[0] = make_router([], share=1 / ENTRIES, random=random)
    routers[0].update_members(members, now_s, int(now_s * 1000))


def pause(now_s, routers, members, targets, random):
    """Take a paused entry daemon for dead until it returns."""
    paused = routers.pop(0)
    set_shares(routers, now_s)
    routers[0] = paused


def split(now_s, routers, members, targets, random):
    """Leave half of the entry daemons on the side of the cold target."""
    for entry in range(ENTRIES // 2):
        del routers[entry]
    set_shares(routers, now_s)


def crossed(now_s, routers, members, targets, random):
    """Enforce another version while the target warms up."""
    for router in routers.values():
        router.enforce(make_fleet(defaults=Defaults(timeout_ms=1500)), now_s)


def target_dies(now_s, routers, members, targets, random):
    """Kill the cold target; its replacement starts cold again."""
    targets[0].dead = True
    dead = evolve(members[0], state=MemberState.DEAD)
    update(routers, [dead, *members[1:]], now_s)
    targets[0].dead, targets[0].cold_at_s = False, now_s
    record = evolve(members[0].targets[0], started_ms=int(now_s * 1000))
    again = evolve(members[0], incarnation=2, targets=[record])
    update(routers, [again, *members[1:]], now_s)


def target_cold(now_s, routers, members, targets, random):
    """Turn the target cold again without any notice."""
    targets[0].cold_at_s = now_s


FAULTS = {
    "kill": kill,
    "restart": restart,
    "pause": pause,
    "split": split,
    "crossed": crossed,
    "target-dies": target_dies,
    "target-cold": target_cold,
}


def run(seed, name, naive=False):
    """Return the cold target and the part of the calls that was answered."""
    cold, announced = (COLD, True) if name not in WARM_BEFORE else ({}, False)
    return simulate(ENTRIES, cold, announced, naive, seed=seed, fault=FAULTS[name])


@pytest.mark.parametrize(("step", "fault", "seed"), cells(["cold-start"], seeds=(0, 1)))
def test_cold_start(step, fault, seed):
    """Guards against a cold target that faults make entry daemons overrun.

    Invariant 5.
    """
    ours, answered = run(seed, fault)
    naive, _ = run(seed, fault, naive=True)
    bound = UNANNOUNCED_BOUND if fault == "target-cold" else BOUND
    assert ours.overruns < bound * naive.overruns, "invariant 5"
    assert answered > 0.999
