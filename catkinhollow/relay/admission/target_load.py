"""Define what a target reports about its load."""

from attrs import frozen

# Time after which the figures of a target are out of date. They change many
# times per second and arrive with each answer.
LOAD_MEMORY_S = 2.0


@frozen
class LoadFigures:
    """Represent one report of a target about its load."""

    running: int
    waiting: int
    slots: int
    slowness: float = 0.0
    """Duration of work relative to the usual one, 0 if it is not reported."""
