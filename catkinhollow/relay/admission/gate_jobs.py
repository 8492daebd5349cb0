"""Define the calls at a gate, announcements, and admission decisions."""

from attrs import define, frozen

from catkinhollow.generated.relay import Call, GateState
from catkinhollow.relay.organisations.fair_order import Turn

# States in which a gate admits calls.
OPEN_STATES = (GateState.SERVING, GateState.COLD)


@frozen(kw_only=True)
class Announcement:
    """Represent what a target announces about itself."""

    lifetime: str
    """Identifies one start of the target."""
    version: str
    slots: int
    """Number of calls that the target runs at the same time."""
    draining: bool
    cold_s: float
    """Time for which the target is still cold, 0 if it is not."""
    sequence: int
    """Increases with each announcement of the same lifetime."""
    started_ms: int
    """Unix time of the target's start in milliseconds."""


@define(eq=False, kw_only=True)
class GateJob:
    """Represent one call at the gate."""

    call: Call
    arrived_s: float
    soft_deadline_s: float
    """Time after which the answer is of less use to the caller."""
    deadline_s: float
    """Time at which the ingress daemon gives up."""
    started_s: float = 0.0
    turn: Turn | None = None
    """Turn of the organisation that the call belongs to, if any."""
    lag_s: float = 0.0
    """How long the turn was ahead when the call arrived."""
    lifetime: str = ""
    """Lifetime of the target when the run started."""
    slot_s: float = 0.0
    """When the run got a slot of the target, infinity while it waits there."""
    slowness: float = 1.0
    """Slowness that the target reported when the run started."""


@frozen
class Admitted:
    """Request that the call runs now."""

    job: GateJob


@frozen
class Queued:
    """Report that the call waits in the queue for a later decision."""


@frozen
class Refused:
    """Request that the call is refused; it has not run."""

    job: GateJob
    reason: str
    retry_after_s: float


Decision = Admitted | Refused
