"""Start and stop child processes for the test bed."""

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Mapping, Sequence
from itertools import cycle, islice
from pathlib import Path
from random import randrange

import trio
from attrs import define

STOP_GRACE_S = 8.0

# Below the ephemeral ports (32768 and above on Linux): an outgoing connection
# could take a port before its process listens or while the process restarts.
FIRST_PORT = 12000
END_PORT = 32000
# Concurrent test runs set separate port ranges, FIRST-END, in this variable.
PORTS_VARIABLE = "CATKINHOLLOW_TEST_PORTS"

ROOT = Path(__file__).resolve().parent.parent.parent


def _iterate_ports() -> Iterator[int]:
    text = os.environ.get(PORTS_VARIABLE, f"{FIRST_PORT}-{END_PORT}")
    begin, end = (int(part) for part in text.split("-"))
    first = randrange(begin, end)
    return cycle([*range(first, end), *range(begin, first)])


# A port is not returned again before all others, as its process may not listen
# yet.
_ports = _iterate_ports()


def free_ports(count: int) -> list[int]:
    """Return ports on which no process listens on loopback."""
    return list(islice(filter(_is_free, _ports), count))


def _is_free(port: int) -> bool:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@define
class Child:
    """Represent one child process."""

    name: str
    process: subprocess.Popen[bytes]

    @property
    def running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        if self.running:
            self.process.send_signal(number)

    async def wait_status(self) -> int:
        """Wait for the end of the process and return its exit status."""
        while (status := self.process.poll()) is None:
            await trio.sleep(0.02)
        return status

    async def wait(self, limit_s: float) -> bool:
        """Wait for the end of the process; return whether it ended in time."""
        with trio.move_on_after(limit_s):
            while self.running:
                await trio.sleep(0.02)
        return not self.running


class ProcessGroup:
    """Start a group of child processes and stop all of them."""

    def __init__(self, log_dir: Path, root: Path = ROOT) -> None:
        self._log_dir = log_dir
        self._root = root
        self._children: dict[str, Child] = {}

    @property
    def children(self) -> Mapping[str, Child]:
        """Return the child that was started last under each name."""
        return self._children

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] = {},
        module: str = "catkinhollow",
    ) -> Child:
        """Start a module of the package in a separate process."""
        log_path = self._log_dir / f"{name}.log"
        with log_path.open("ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                cwd=self._root,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        child = Child(name, process)
        self._children[name] = child
        return child

    def kill_all(self) -> None:
        """Kill every child at once, without a drain."""
        for child in self._children.values():
            child.send(signal.SIGKILL)
        for child in self._children.values():
            child.process.wait()

    async def stop_all(self) -> None:
        """Stop every child; kill those that do not end in time."""
        for child in self._children.values():
            child.send(signal.SIGCONT)
            child.send(signal.SIGTERM)
        for child in self._children.values():
            if not await child.wait(STOP_GRACE_S):
                child.process.kill()
                child.process.wait()
