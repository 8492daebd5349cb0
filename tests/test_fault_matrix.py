"""Test that the fault matrix has no gaps."""

from tests import (
    test_fault_cold_start,
    test_fault_configuration,
    test_fault_moves,
    test_fault_orders,
)
from tests.fault_table import FAULTS, NOT_APPLICABLE, STEPS

TEST_FUNCTIONS = (
    test_fault_orders.test_order,
    test_fault_configuration.test_configuration,
    test_fault_moves.test_move,
    test_fault_cold_start.test_cold_start,
)


def test_every_cell_is_tested_or_has_a_reason():
    """Guards against a fault or a step without a test or a reason."""
    tested = {
        (fault, step)
        for test_function in TEST_FUNCTIONS
        for mark in test_function.pytestmark
        if mark.name == "parametrize"
        for step, fault, _ in mark.args[1]
    }
    assert not tested & NOT_APPLICABLE.keys()
    assert tested | NOT_APPLICABLE.keys() == {(f, s) for f in FAULTS for s in STEPS}
