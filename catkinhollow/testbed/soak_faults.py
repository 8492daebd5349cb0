"""Plan the faults of a soak test from a seed."""

from collections.abc import Sequence
from enum import StrEnum
from random import Random

from attrs import frozen

# Mean time between the starts of two faults. With the durations below, two or
# three faults overlap.
MEAN_GAP_S = 1.2
MIN_FAULT_S = 0.3
MAX_FAULT_S = 2.5


class FaultKind(StrEnum):
    """List the faults of processes and connections."""

    KILL = "kill"
    """Send SIGKILL to a daemon; start it again after the duration."""
    TERMINATE = "terminate"
    """Send SIGTERM to a daemon; start it again after its exit."""
    PAUSE = "pause"
    """Stop a daemon with SIGSTOP for the duration."""
    TARGET_CRASH = "target crash"
    """Stop a target at once; start a new lifetime after the duration."""
    TARGET_SILENT = "target silent"
    """Forward no bytes to or from a target for the duration."""
    TARGET_RESET = "target reset"
    """Reset all connections to a target at once."""
    STORE_DOWN = "store down"
    """Make the store refuse every call for the duration."""
    STORE_SILENT = "store silent"
    """Forward no bytes between one daemon and the store for the duration."""
    CONFIGURE = "configure"
    """Write a new configuration version."""


@frozen(kw_only=True)
class Fault:
    """Describe one planned fault."""

    at_s: float
    kind: FaultKind
    instance: str
    duration_s: float

    @property
    def end_s(self) -> float:
        """Return the end, in seconds after the start of the plan."""
        return self.at_s + self.duration_s


def plan_faults(
    random: Random, instances: Sequence[str], until_s: float
) -> list[Fault]:
    """Return faults in the order of their start, all over by `until_s`."""
    faults: list[Fault] = []
    at_s = random.expovariate(1.0 / MEAN_GAP_S)
    while at_s < until_s - MAX_FAULT_S:
        fault = Fault(
            at_s=at_s,
            kind=random.choice(list(FaultKind)),
            instance=random.choice(instances),
            duration_s=random.uniform(MIN_FAULT_S, MAX_FAULT_S),
        )
        # A daemon or target has one fault at a time; other faults may overlap.
        if not any(_conflicts(fault, other) for other in faults):
            faults.append(fault)
        at_s += random.expovariate(1.0 / MEAN_GAP_S)
    return faults


_DAEMON_FAULTS = {FaultKind.KILL, FaultKind.TERMINATE, FaultKind.PAUSE}
_TARGET_FAULTS = {
    FaultKind.TARGET_CRASH,
    FaultKind.TARGET_SILENT,
    FaultKind.TARGET_RESET,
}
# Time that a daemon needs after the fault to shut down and start again.
_RESTART_S = 6.0


def _conflicts(fault: Fault, earlier: Fault) -> bool:
    if fault.instance != earlier.instance:
        return False
    same_process = any(
        fault.kind in kinds and earlier.kind in kinds
        for kinds in (_DAEMON_FAULTS, _TARGET_FAULTS)
    )
    return same_process and fault.at_s < earlier.end_s + _RESTART_S
