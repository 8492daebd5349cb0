"""Assign separate port ranges to test workers that run at the same time."""

import os

FIRST_PORT = 12000
PORTS_PER_WORKER = 1200

# The variable must be set before catkinhollow.testbed.processes is imported.
_worker = os.environ.get("PYTEST_XDIST_WORKER", "")
if _worker.startswith("gw"):
    _first = FIRST_PORT + PORTS_PER_WORKER * (int(_worker[2:]) % 16)
    os.environ["CATKINHOLLOW_TEST_PORTS"] = f"{_first}-{_first + PORTS_PER_WORKER}"
