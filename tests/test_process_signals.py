"""Tests of signals in the first and the last moments of a process."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from catkinhollow.testbed.processes import ROOT, free_ports

# Sends a signal when the first library is imported, and one when the process
# exits.
SCRIPT = """
import atexit, importlib.abc, os, signal, sys

class Sender(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path=None, target=None):
        if name == "trio":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.{first})
        return None

sys.meta_path.insert(0, Sender())
atexit.register(lambda: os.kill(os.getpid(), signal.{last}))
"""
RELAY = """
from catkinhollow.platform.sidecar import main
sys.exit(main())
"""
LIMIT_S = 30.0


def write_relay_settings(directory):
    names = ("target", "requests", "ready", "announcements", "peer", "metrics", "store")
    ports = free_ports(len(names))
    settings = {
        "instance": "one",
        "failure_domain": "a",
        "region": "r",
        "service": "stock",
    }
    addresses = {
        name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)
    }
    path = Path(directory) / "settings.yaml"
    path.write_text(yaml.safe_dump({**settings, **addresses}))
    return {"CATKINHOLLOW_SETTINGS": str(path)}


def run_script(program, environment, first, last="SIGTERM", stop=False):
    """Return the exit status of a process that sends signals to itself."""
    with subprocess.Popen(
        [sys.executable, "-c", SCRIPT.format(first=first, last=last) + program],
        cwd=ROOT,
        env={**os.environ, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    ) as process:
        if stop:
            for line in process.stdout:
                if '"event":"started"' in line:
                    process.send_signal(signal.SIGTERM)
                    break
        output, errors = process.communicate(timeout=LIMIT_S)
    return process.returncode, output + errors


@pytest.mark.parametrize("last", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_reload_during_the_imports_does_not_end_a_daemon(tmp_path, last):
    """Guards against a daemon that SIGHUP ends before it serves.

    A signal after the loop has ended changes the exit status of no daemon.
    """
    environment = write_relay_settings(tmp_path)
    status, output = run_script(RELAY, environment, "SIGHUP", last, stop=True)
    assert status == 0, output


@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_stop_during_the_imports_ends_a_daemon_before_it_serves(tmp_path, first):
    """Guards against a stop that is lost, or that ends with a traceback."""
    status, output = run_script(RELAY, write_relay_settings(tmp_path), first)
    assert status == 0, output
    assert "started" not in output
    assert "Traceback" not in output
