"""Plan the faults of a soak test from a seed."""

from collections.abc import Iterable, Iterator, Sequence
from enum import StrEnum
from random import Random
from signal import Signals

from attrs import evolve, frozen

from catkinhollow.testbed.loopback_proxy import Direction

# Faults come in series, in which two or three of them overlap. In the quiet
# times between, all daemons are in touch for some seconds.
MEAN_GAP_S = 0.6
MIN_SERIES_S = 4.0
MAX_SERIES_S = 8.0
MIN_QUIET_S = 6.0
MAX_QUIET_S = 9.0
MIN_FAULT_S = 0.3
MAX_FAULT_S = 2.5
# Mean time between two configuration versions, in series and quiet times.
MEAN_VERSION_GAP_S = 1.5
# Mean time between two holds of the connections between daemons, and their
# shortest duration. A link is replaced after 1.3 s of silence.
MEAN_HOLD_GAP_S = 3.0
MIN_HOLD_S = 1.0
# Time between a hold and its repetition. Calls that were sent between them are
# open while the link is replaced once more.
MAX_HOLD_PAUSE_S = 0.6
# Mean time between two stops or reloads by signals, and the further signals of
# a stop.
MEAN_SIGNALS_GAP_S = 2.5
MAX_FURTHER_SIGNALS = 4
STOP_SIGNALS = (Signals.SIGTERM, Signals.SIGINT)
MIN_DELAY_S = 0.05
MAX_DELAY_S = 0.4


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
    STORE_DOWN = "store down"
    """Make the store refuse every call for the duration."""
    CONFIGURE = "configure"
    """Write a new configuration version."""
    RESET = "reset"
    """Reset all open connections."""
    DELAYED = "delayed"
    """Forward all bytes later for the duration, in order."""
    ONE_WAY = "one way"
    """Forward nothing more in one direction of the open connections."""
    SILENT_FOR_GOOD = "silent for good"
    """Forward nothing more on the open connections; new ones work."""
    SILENT_FOR_A_TIME = "silent for a time"
    """Hold all bytes back for the duration and deliver them afterwards."""
    HELD = "held"
    """The same on the open connections only; new ones work."""
    SIGNALS = "signals"
    """Stop a daemon with several signals; start it again after its exit."""
    RELOAD = "reload"
    """Send SIGHUP to a daemon."""


class Place(StrEnum):
    """List the connections of a daemon that a fault may hit."""

    PEER = "peer"
    """The connections that other daemons open to it."""
    STORE = "store"
    """The connections that it opens to the store."""
    TARGET = "target"
    """The connections that it opens to its target."""


@frozen(kw_only=True)
class Fault:
    """Describe one planned fault."""

    at_s: float
    kind: FaultKind
    instances: tuple[str, ...]
    """Names of the daemons that it hits."""
    duration_s: float
    place: Place | None = None
    """Connections that it hits, None for a fault of processes."""
    direction: Direction = Direction.TO_SERVER
    """Direction that a cut of one direction hits."""
    delay_s: float = 0.0
    signals: tuple[Signals, ...] = ()
    """Signals that a daemon gets within the duration, first a stop."""

    def __str__(self) -> str:
        """Return the line that is printed."""
        words = [f"{self.at_s:6.2f} s:"]
        if self.place is not None:
            words += [self.place, "connections"]
        words.append(self.kind)
        if self.kind is FaultKind.ONE_WAY:
            words.append(self.direction.value)
        if self.kind is FaultKind.DELAYED:
            words.append(f"by {self.delay_s:.2f} s")
        words += [signal.name for signal in self.signals]
        return f"{' '.join(words)}, {self.duration_s:.1f} s: {' '.join(self.instances)}"

    @property
    def end_s(self) -> float:
        """Return the end, in seconds after the start of the plan."""
        return self.at_s + self.duration_s


_PROCESS_FAULTS = (FaultKind.KILL, FaultKind.TERMINATE, FaultKind.PAUSE)
_SIGNAL_FAULTS = (FaultKind.SIGNALS, FaultKind.RELOAD)
CONNECTION_FAULTS = (
    FaultKind.RESET,
    FaultKind.DELAYED,
    FaultKind.ONE_WAY,
    FaultKind.SILENT_FOR_GOOD,
    FaultKind.SILENT_FOR_A_TIME,
)
# A delay of up to half a second to the target only makes it slow.
_TARGET_FAULTS = tuple(
    kind for kind in CONNECTION_FAULTS if kind is not FaultKind.DELAYED
)
_CHOICES: tuple[tuple[FaultKind, Place | None], ...] = (
    *((kind, None) for kind in _PROCESS_FAULTS),
    (FaultKind.TARGET_CRASH, None),
    (FaultKind.STORE_DOWN, None),
    *((kind, Place.PEER) for kind in CONNECTION_FAULTS),
    *((kind, Place.STORE) for kind in CONNECTION_FAULTS),
    *((kind, Place.TARGET) for kind in _TARGET_FAULTS),
)
# Time that a daemon needs after the fault to shut down and start again.
_RESTART_S = 6.0


def plan_faults(
    random: Random, instances: Sequence[str], until_s: float
) -> list[Fault]:
    """Return faults in the order of their start, all over by `until_s`."""
    faults: list[Fault] = []
    for at_s in _plan_series(random, until_s - MAX_FAULT_S):
        fault = _plan_fault(random, instances, at_s)
        if not any(_conflicts(fault, other) for other in faults):
            faults.append(fault)
    for at_s in _plan_times(random, MEAN_VERSION_GAP_S, 0.0, until_s):
        faults.append(
            Fault(at_s=at_s, kind=FaultKind.CONFIGURE, instances=(), duration_s=0.0)
        )
    return sorted(faults, key=lambda fault: fault.at_s)


def plan_late_frames(
    random: Random, instances: Sequence[str], until_s: float, faults: Iterable[Fault]
) -> list[Fault]:
    """Return holds of connections between daemons, and kills beside them.

    The frames of a daemon that is killed meanwhile are delivered after those
    of its next process. Each hold is repeated.
    """
    planned = list(faults)
    late: list[Fault] = []
    for at_s in _plan_times(random, MEAN_HOLD_GAP_S, 0.0, until_s - MAX_FAULT_S):
        count = random.choice((1, (len(instances) + 1) // 2, len(instances)))
        held = tuple(sorted(random.sample(instances, count)))
        hold = Fault(
            at_s=at_s,
            kind=FaultKind.HELD,
            place=Place.PEER,
            instances=held,
            duration_s=random.uniform(MIN_HOLD_S, MAX_FAULT_S),
        )
        kill = Fault(
            at_s=at_s + random.uniform(0.0, MIN_HOLD_S),
            kind=FaultKind.KILL,
            instances=(random.choice(instances),),
            duration_s=MIN_FAULT_S,
        )
        again = evolve(hold, at_s=hold.end_s + random.uniform(0.1, MAX_HOLD_PAUSE_S))
        late += [hold, again] if again.end_s <= until_s else [hold]
        if not any(_conflicts(kill, other) for other in planned):
            planned.append(kill)
            late.append(kill)
    return sorted(late, key=lambda fault: fault.at_s)


def plan_signals(
    random: Random, instances: Sequence[str], until_s: float, faults: Iterable[Fault]
) -> list[Fault]:
    """Return stops by several signals, and reloads, beside other faults."""
    planned = list(faults)
    added: list[Fault] = []
    for at_s in _plan_times(random, MEAN_SIGNALS_GAP_S, 0.0, until_s - MAX_FAULT_S):
        fault = Fault(
            at_s=at_s,
            kind=FaultKind.RELOAD,
            instances=(random.choice(instances),),
            duration_s=0.0,
        )
        if random.random() < 0.75:
            further = random.choices(
                (*STOP_SIGNALS, Signals.SIGHUP),
                k=random.randint(1, MAX_FURTHER_SIGNALS),
            )
            fault = evolve(
                fault,
                kind=FaultKind.SIGNALS,
                duration_s=random.uniform(MIN_FAULT_S, MAX_FAULT_S),
                signals=(random.choice(STOP_SIGNALS), *further),
            )
        if not any(_conflicts(fault, other) for other in planned):
            planned.append(fault)
            added.append(fault)
    return added


def _plan_series(random: Random, until_s: float) -> Iterator[float]:
    """Return the times of the faults."""
    begin_s = 0.0
    while begin_s < until_s:
        end_s = begin_s + random.uniform(MIN_SERIES_S, MAX_SERIES_S)
        yield from _plan_times(random, MEAN_GAP_S, begin_s, min(end_s, until_s))
        begin_s = end_s + random.uniform(MIN_QUIET_S, MAX_QUIET_S)


def _plan_times(
    random: Random, mean_gap_s: float, begin_s: float, end_s: float
) -> Iterator[float]:
    at_s = begin_s + random.expovariate(1.0 / mean_gap_s)
    while at_s < end_s:
        yield at_s
        at_s += random.expovariate(1.0 / mean_gap_s)


def _plan_fault(random: Random, instances: Sequence[str], at_s: float) -> Fault:
    kind, place = random.choice(_CHOICES)
    if kind is FaultKind.STORE_DOWN:
        count = len(instances)
    elif place is None:
        count = 1
    else:
        count = random.choice((1, (len(instances) + 1) // 2, len(instances)))
    return Fault(
        at_s=at_s,
        kind=kind,
        place=place,
        instances=tuple(sorted(random.sample(instances, count))),
        duration_s=random.uniform(MIN_FAULT_S, MAX_FAULT_S),
        direction=random.choice(list(Direction)),
        delay_s=random.uniform(MIN_DELAY_S, MAX_DELAY_S),
    )


def _conflicts(fault: Fault, earlier: Fault) -> bool:
    """Return whether two faults must not act at the same time.

    A daemon or a target has one fault at a time, and so have connections that
    are held back. Other faults may overlap.
    """
    if not set(fault.instances) & set(earlier.instances):
        return False
    if _is_target_fault(fault) and _is_target_fault(earlier):
        return fault.at_s < earlier.end_s + _RESTART_S
    if _is_process_fault(fault) and _is_process_fault(earlier):
        return fault.at_s < earlier.end_s + _RESTART_S
    same = (fault.kind, fault.place) == (earlier.kind, earlier.place)
    return same and fault.at_s < earlier.end_s


def _is_process_fault(fault: Fault) -> bool:
    return fault.kind in _PROCESS_FAULTS or fault.kind in _SIGNAL_FAULTS


def _is_target_fault(fault: Fault) -> bool:
    return fault.kind is FaultKind.TARGET_CRASH or fault.place is Place.TARGET
