"""Tests of the start of the daemon's process."""

import subprocess
import sys

from catkinhollow.platform.process import INVALID_SETTINGS, SETTINGS_VARIABLE

LOAD = """
import gc
from catkinhollow.platform.sidecar import main
code = main()
print(code, gc.get_stats()[2]["collections"], gc.isenabled())
"""


def test_modules_load_without_full_garbage_collections(tmp_path):
    """Guards against starts that spend processor time on collections."""
    process = subprocess.run(
        [sys.executable, "-c", LOAD],
        capture_output=True,
        env={SETTINGS_VARIABLE: str(tmp_path / "missing.yaml")},
        text=True,
        timeout=60.0,
    )
    assert "missing.yaml" in process.stderr
    assert process.stdout.split() == [str(INVALID_SETTINGS), "0", "True"]
