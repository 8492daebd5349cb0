"""Tests of signals in the first and the last moments of a process."""

import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
import yaml

from catkinhollow.daemon.settings_environment import settings_to_environment
from catkinhollow.generated.settings import Address, Settings, StoreSettings
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
MESH = """
from catkinhollow.daemon.__main__ import main
sys.exit(main())
"""
LIMIT_S = 30.0


def prepare_relay(directory):
    """Return the environment of a relay daemon, and a port that it opens."""
    names = ("ready", "target", "requests", "announcements", "peer", "metrics", "store")
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
    return {"CATKINHOLLOW_SETTINGS": str(path)}, ports[0]


def prepare_mesh(directory):
    """Return the environment of a plain daemon, and a port that it opens."""
    admin, traffic, peer, store = (
        Address(host="127.0.0.1", port=port) for port in free_ports(4)
    )
    settings = Settings(
        instance="one",
        failure_domain="a",
        region="r",
        admin=admin,
        traffic=traffic,
        peer=peer,
        store=StoreSettings(address=store),
    )
    return settings_to_environment(settings, {}), admin.port


def wait_listening(port, process):
    """Wait until a process accepts connections, or has ended."""
    for _ in range(int(LIMIT_S / 0.05)):
        with socket.socket() as client:
            if client.connect_ex(("127.0.0.1", port)) == 0:
                return
        if process.poll() is not None:
            return
        time.sleep(0.05)


def run_script(prepared, program, first, last="SIGTERM", stop=False):
    """Return the exit status of a process that sends signals to itself."""
    environment, port = prepared
    with subprocess.Popen(
        [sys.executable, "-c", SCRIPT.format(first=first, last=last) + program],
        cwd=ROOT,
        env={**os.environ, **environment},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    ) as process:
        if stop:
            wait_listening(port, process)
            process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=LIMIT_S)
    return process.returncode, output


DAEMONS = [
    pytest.param(prepare_relay, RELAY, id="relay"),
    pytest.param(prepare_mesh, MESH, id="mesh"),
]


@pytest.mark.parametrize(("prepare", "program"), DAEMONS)
@pytest.mark.parametrize("last", ["SIGTERM", "SIGINT", "SIGHUP"])
def test_reload_during_the_imports_does_not_end_a_daemon(
    tmp_path, prepare, program, last
):
    """Guards against a daemon that SIGHUP ends before it serves.

    A signal after the loop has ended must not change the exit status.
    """
    status, output = run_script(prepare(tmp_path), program, "SIGHUP", last, stop=True)
    assert status == 0, output
    assert "stopped" in output


@pytest.mark.parametrize(("prepare", "program"), DAEMONS)
@pytest.mark.parametrize("first", ["SIGTERM", "SIGINT"])
def test_stop_during_the_imports_ends_a_daemon_before_it_serves(
    tmp_path, prepare, program, first
):
    """Guards against a stop that is lost, or that ends with a traceback."""
    status, output = run_script(prepare(tmp_path), program, first)
    assert status == 0, output
    assert output == ""


def test_command_that_starts_a_daemon_ignores_reloads(tmp_path):
    """Guards against a SIGHUP that ends a daemon during its checks."""
    program = """
sys.argv = ["catkinhollow", "daemon", "--settings", "missing"]
from catkinhollow.__main__ import main
sys.exit(main())
"""
    status, output = run_script(({}, 0), program, "SIGHUP", "SIGHUP")
    assert status > 0, output
    assert "missing" in output
