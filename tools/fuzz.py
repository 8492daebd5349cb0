"""Run the stateful tests for a given time and count their steps.

Run it as `python -m tools.fuzz --minutes N --seed S` from the root.
"""

import argparse
import sys
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import seed as use_seed
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test
from hypothesis.strategies import SearchStrategy

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "tests" / "relay")]

from tests.relay.test_document_flood import FloodMachine  # noqa: E402
from tests.relay.test_frame_queue import LinkMachine  # noqa: E402
from tests.relay.test_odd_frames import ODD_FRAMES, play_frame  # noqa: E402
from tests.relay.test_remote_calls import CallMachine  # noqa: E402

from tests.calls.test_call_router import CallRouterMachine  # noqa: E402
from tests.configuration.test_fleet_updates import FleetUpdates  # noqa: E402
from tests.control.test_controller_states import RacingControllers  # noqa: E402
from tests.mesh.test_dissemination import MeshMachine  # noqa: E402
from tests.relay.test_odd_connections import (  # noqa: E402
    CALLER_STEPS,
    TARGET_ANSWERS,
    play_caller,
    play_target,
)
from tests.testbed.test_store_state import StoreMachine  # noqa: E402
from tests.testbed.test_target_model import SlotMachine  # noqa: E402

STATE_MACHINES = (
    CallRouterMachine,
    RacingControllers,
    MeshMachine,
    FleetUpdates,
    StoreMachine,
    SlotMachine,
    FloodMachine,
    CallMachine,
    LinkMachine,
)
# Name, strategy and player of each kind of odd input.
ODD_INPUTS = (
    ("odd frames", ODD_FRAMES, play_frame),
    ("odd callers", CALLER_STEPS, play_caller),
    ("odd targets", TARGET_ANSWERS, play_target),
)
ODD_INPUTS_PER_ROUND = 500
# Small enough that every state machine runs within a minute.
EXAMPLES_PER_ROUND = 50
STEPS_PER_EXAMPLE = 60


def count_steps(
    machine: type[RuleBasedStateMachine], steps: Counter[str]
) -> type[RuleBasedStateMachine]:
    """Return the state machine with a counter of its executed rules."""

    def check_invariants(self: RuleBasedStateMachine, *args: object) -> None:
        steps[machine.__name__] += 1
        machine.check_invariants(self, *args)

    return type(machine.__name__, (machine,), {"check_invariants": check_invariants})


def run_round(round_seed: int, steps: Counter[str]) -> None:
    """Run every state machine once with a seed."""
    for machine in STATE_MACHINES:
        run_state_machine_as_test(
            use_seed(round_seed)(count_steps(machine, steps)),
            settings=settings(
                deadline=None,
                database=None,
                max_examples=EXAMPLES_PER_ROUND,
                stateful_step_count=STEPS_PER_EXAMPLE,
            ),
        )


def run_odd_inputs(round_seed: int, steps: Counter[str]) -> None:
    """Send odd frames, requests and answers to the parts that read them."""
    for name, inputs, play in ODD_INPUTS:
        run_inputs(round_seed, name, inputs, play, steps)


def run_inputs(
    round_seed: int,
    name: str,
    inputs: SearchStrategy[Any],
    play: Callable[[Any], None],
    steps: Counter[str],
) -> None:
    """Play one kind of odd input."""

    @use_seed(round_seed)
    @settings(deadline=None, database=None, max_examples=ODD_INPUTS_PER_ROUND)
    @given(inputs)
    def play_input(value: Any) -> None:
        steps[name] += 1
        play(value)

    play_input()


def main() -> int:
    """Run rounds with increasing seeds until the time is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--minutes", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    end_s = time.monotonic() + options.minutes * 60
    steps: Counter[str] = Counter()
    round_seed = options.seed
    while time.monotonic() < end_s or round_seed == options.seed:
        print(f"seed {round_seed}", flush=True)
        run_round(round_seed, steps)
        run_odd_inputs(round_seed, steps)
        round_seed += 1
    for name, count in steps.items():
        print(f"{name}: {count} steps")
    print(f"{sum(steps.values())} steps, seeds {options.seed} to {round_seed - 1}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
