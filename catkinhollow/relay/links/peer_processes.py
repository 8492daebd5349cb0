"""Tell frames of the running process of a peer from those that come late.

A partition holds frames up and delivers them when it has ended, even if their
process was killed or their link was replaced meanwhile. They say nothing about
the present. The wall clock of an instance may be stepped back, so that start
times don't order the processes of a peer. A process takes the place of the
known one when it has received a status that was sent after the known one had
been heard of: the known one has ended then, as both use the same address.

Load: one look-up for each frame.
"""

from enum import StrEnum
from math import inf

from attrs import define

from catkinhollow.generated.relay import Frame, Status

# Time after which a peer that sends nothing is forgotten. Linux resends
# unacknowledged data for about 15 minutes.
FORGET_S = 20 * 60.0
# Time between two questions whether a process runs. A process that does not
# answer has ended, or will be asked with its next frame.
QUESTION_INTERVAL_S = 0.25
# A link is considered dead if a question over it has no answer for this long,
# neither from the process that is asked nor from the known one.
QUESTION_LIMIT_S = 1.3


class FrameOrigin(StrEnum):
    """Tell which process and which link of a peer have sent a frame."""

    CURRENT = "current"
    """The running process, over its newest link."""
    RESTARTED = "restarted"
    """The running process, which was not known to run before this frame."""
    EARLIER_LINK = "earlier link"
    OTHER_PROCESS = "other process"
    """A process that is not known to run; most likely it has ended."""

    @property
    def is_late(self) -> bool:
        """Return whether the frame says nothing about the present."""
        return self in (FrameOrigin.EARLIER_LINK, FrameOrigin.OTHER_PROCESS)


@define(eq=False)
class PeerProcess:
    """Represent what has arrived from one process of a peer."""

    incarnation: int
    seen_s: float
    """When the first frame arrived."""
    heard_s: float
    """When the last frame arrived."""
    link: int = 0
    """Number of the newest link."""
    status_ms: int = 0
    """When the last status was sent, in the sender's steady time."""
    messages: int = 0
    asked_s: float = -inf
    """When it was last asked whether it runs."""
    asked_since_s: float = inf
    """When it was first asked over the present link to it."""

    def is_late(self, frame: Frame) -> bool:
        """Return whether a newer link or a newer status is known."""
        if frame.link < self.link:
            return True
        status = frame.status
        # Earlier releases tell neither the link nor the time.
        return status is not None and 0 < status.sent_ms < self.status_ms

    def record(self, frame: Frame, now_s: float) -> None:
        """Record a frame that is not late."""
        self.heard_s = now_s
        self.link = frame.link
        self.messages += 1
        if frame.status is not None:
            self.status_ms = frame.status.sent_ms


class PeerProcesses:
    """Track the running process of each peer.

    The incarnation is that of the own process.
    """

    def __init__(self, incarnation: int) -> None:
        self._incarnation = incarnation
        self._running: dict[str, PeerProcess] = {}
        # The last other process of each peer that has sent a frame.
        self._others: dict[str, PeerProcess] = {}

    def running(self, address: str) -> PeerProcess | None:
        """Return the running process of a peer, None if none is known."""
        return self._running.get(address)

    def record(self, frame: Frame, now_s: float) -> FrameOrigin:
        """Record a frame that has arrived and return its origin."""
        running = self._running.get(frame.sender)
        process = self._find(frame, running, now_s)
        if process.is_late(frame):
            is_running = process is running
            return FrameOrigin.EARLIER_LINK if is_running else FrameOrigin.OTHER_PROCESS
        process.record(frame, now_s)
        if running is None or process is running:
            return FrameOrigin.CURRENT
        if not self._replaces(frame, running):
            return FrameOrigin.OTHER_PROCESS
        self._running[frame.sender] = self._others.pop(frame.sender)
        return FrameOrigin.RESTARTED

    def take_question(self, address: str, now_s: float) -> PeerProcess | None:
        """Return the process to ask whether it runs, None if none is due."""
        other = self._others.get(address)
        if other is None or now_s - other.asked_s < QUESTION_INTERVAL_S:
            return None
        other.asked_s = now_s
        other.asked_since_s = min(other.asked_since_s, now_s)
        return other

    def take_silence_s(self, address: str, now_s: float) -> float | None:
        """Return for how long questions have no answer if the link is dead.

        A new link is expected to replace it, on which the time starts anew.
        """
        other, running = self._others.get(address), self._running.get(address)
        if other is None or running is None:
            return None
        silent_s = now_s - max(other.asked_since_s, running.heard_s)
        if other.asked_since_s == inf or silent_s <= QUESTION_LIMIT_S:
            return None
        other.asked_since_s = inf
        return silent_s

    def forget_silent(self, now_s: float) -> None:
        """Forget the peers that have sent nothing for long."""
        for processes in (self._running, self._others):
            for address, process in list(processes.items()):
                if now_s - process.heard_s > FORGET_S:
                    del processes[address]

    def _find(
        self, frame: Frame, running: PeerProcess | None, now_s: float
    ) -> PeerProcess:
        """Return the process that has sent a frame, added if unknown."""
        processes = self._running if running is None else self._others
        known = running
        if running is not None and running.incarnation != frame.incarnation:
            known = self._others.get(frame.sender)
        if known is None or known.incarnation != frame.incarnation:
            known = PeerProcess(frame.incarnation, seen_s=now_s, heard_s=now_s)
            processes[frame.sender] = known
        return known

    def _replaces(self, frame: Frame, known: PeerProcess) -> bool:
        """Return whether a frame shows that its process is the later one."""
        if frame.status is not None and self._has_heard_since(frame.status, known):
            return True
        # Earlier releases number no links, and may not tell what they heard.
        return frame.link == 0 and frame.incarnation > known.incarnation

    def _has_heard_since(self, status: Status, known: PeerProcess) -> bool:
        """Return whether the sender has heard of this daemon since then."""
        seen_ms = int(known.seen_s * 1000)
        return status.receiver == self._incarnation and status.heard_ms > seen_ms
