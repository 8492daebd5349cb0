"""Test of the modules that the daemon process imports."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent.parent
UNWANTED_LIBRARIES = {"cleo", "hdrh", "jsonschema", "opentelemetry", "psutil", "yaml"}
SCRIPT = """
import sys, catkinhollow.daemon.__main__, catkinhollow.daemon.process
print(*sys.modules)
"""


@pytest.mark.processes
def test_daemon_loads_no_library_of_other_processes():
    """Guards against an import that costs each daemon megabytes of memory."""
    arguments = [sys.executable, "-c", SCRIPT]
    loaded = subprocess.run(
        arguments, cwd=ROOT, check=True, capture_output=True, text=True
    ).stdout.split()
    assert not UNWANTED_LIBRARIES & set(loaded)
    assert not [name for name in loaded if name.startswith("catkinhollow.testbed")]
