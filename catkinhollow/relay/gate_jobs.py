"""Define the calls at a gate, what decides them, and what becomes of them."""

from attrs import define, frozen

from catkinhollow.generated.relay import Call, GateState

# States in which a gate lets calls through.
OPEN_STATES = (GateState.SERVING, GateState.COLD)


@frozen(kw_only=True)
class Announcement:
    """Hold what a target tells of itself."""

    lifetime: str
    version: str
    slots: int
    draining: bool
    cold_s: float
    sequence: int
    started_ms: int


@define(eq=False, kw_only=True)
class GateJob:
    """Hold one call at the gate."""

    call: Call
    arrived_s: float
    target_s: float
    """Time until which the answer has its full worth."""
    expires_s: float
    """Time at which the entry gives up."""
    started_s: float = 0.0
    lifetime: str = ""


@frozen
class Admitted:
    """Run the call now."""

    job: GateJob


@frozen
class Queued:
    """Keep the call until a later decision."""


@frozen
class Refused:
    """Refuse the call; it has not run."""

    job: GateJob
    reason: str
    retry_after_s: float


Decision = Admitted | Refused
