"""Read from daemon logs when each daemon enforced a revision."""

from pathlib import Path
from time import time_ns
from typing import Any

import trio
from msgspec import DecodeError, json

DELAY_LIMIT_S = 4.0
POLL_S = 0.1


class ConvergenceProbe:
    """Measure the time from an accepted write to its enforcement."""

    def __init__(self, log_directory: Path) -> None:
        self._directory = log_directory

    def now_ms(self) -> float:
        """Return the Unix time in milliseconds."""
        return time_ns() / 1e6

    async def delays_ms(
        self, revision: int, accepted_ms: float, daemons: int
    ) -> list[float]:
        """Return a delay per daemon that enforces the revision in time."""
        delays: list[float] = []
        with trio.move_on_after(DELAY_LIMIT_S):
            while len(delays := self._read_delays_ms(revision, accepted_ms)) < daemons:
                await trio.sleep(POLL_S)
        return delays

    def _read_delays_ms(self, revision: int, accepted_ms: float) -> list[float]:
        delays = []
        for path in self._directory.glob("daemon-*.log"):
            enforced_ms = first_enforced_ms(path, revision)
            if enforced_ms is not None:
                delays.append(max(0.0, enforced_ms - accepted_ms))
        return delays


def first_enforced_ms(path: Path, revision: int) -> float | None:
    """Return when a daemon first enforced a revision or a later one."""
    for line in path.read_bytes().splitlines():
        if b'"configuration enforced"' not in line:
            continue
        event = _decode(line)
        if event.get("revision", 0) >= revision:
            return float(event["time_ms"])
    return None


def _decode(line: bytes) -> dict[str, Any]:
    try:
        return json.decode(line, type=dict[str, Any])
    except DecodeError:
        return {}
