"""Tests of the imports of the daemon's process."""

import subprocess
import sys

LOAD = """
import sys
from catkinhollow.startup.partial_imports import install_partial_imports
install_partial_imports()
"""
LOAD_DAEMON = (
    LOAD
    + """
import catkinhollow.platform.process
print(*sys.modules)
"""
)
# What a daemon that follows a store over plain HTTP never uses.
UNUSED = {
    "asyncio.base_events",
    "expression.collections.array",
    "h2",
    "httpcore._sync.connection_pool",
    "yaml",
}
USE_WHOLE_MODULES = (
    LOAD
    + """
import asyncio
import ctypes.util
import httpcore
import expression
from expression.collections import Seq
from aioprometheus import Summary, count_exceptions

async def add():
    await asyncio.sleep(0)
    return 1 + 1

assert asyncio.run(add()) == 2
assert httpcore.ConnectionPool and httpcore.__version__
assert expression.Some(1).map(lambda value: value + 1) == expression.Some(2)
assert issubclass(httpcore.ConnectTimeout, httpcore.TimeoutException)
print(ctypes.util.find_library("pthread"), ctypes.util.find_library("c"))
"""
)


def run(code: str) -> str:
    return subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
        timeout=60.0,
    ).stdout


def test_daemon_does_not_load_unused_parts():
    """Guards against starts that spend processor time on unused modules."""
    assert not UNUSED & set(run(LOAD_DAEMON).split())


def test_other_names_run_the_whole_module():
    """Guards against a library that lacks names for its other users."""
    assert run(USE_WHOLE_MODULES).split() == ["libpthread.so.0", "libc.so.6"]


def test_start_runs_no_other_program():
    """Guards against a start that runs ldconfig to find a library."""
    code = LOAD_DAEMON.replace(
        "import sys", "import sys\nsys.addaudithook(lambda e, _: print('EVENT', e))", 1
    )
    assert "EVENT subprocess.Popen" not in run(code)
