"""Define the commands of the mesh to the I/O layer."""

from typing import Any, TypeAlias

from attrs import frozen

from catkinhollow.events import (
    EvidenceReported,
    FloorRaised,
    MembersChanged,
    MeshJoined,
    MeshReady,
    VersionQuarantined,
)
from catkinhollow.generated.messages import Envelope
from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.neighbours import Neighbours


@frozen(kw_only=True)
class Send:
    """Request the sending of an envelope over the link to a peer."""

    address: str
    envelope: Envelope


@frozen(kw_only=True)
class Connect:
    """Request a link to a peer, which is kept until a Disconnect."""

    address: str


@frozen(kw_only=True)
class Disconnect:
    """Request that the link to a peer is no longer kept."""

    address: str


@frozen(kw_only=True)
class Reconnect:
    """Request that the open link to a peer is replaced by a new one."""

    address: str
    silent_s: float
    """Time for which the peer has not answered over the link."""


@frozen(kw_only=True)
class SnapshotArrived:
    """Offer an encoded snapshot that a peer sent."""

    revision: int
    data: bytes


# The I/O layer emits the events among the commands to the other parts of the
# daemon.
Command: TypeAlias = (
    Send
    | Connect
    | Disconnect
    | Reconnect
    | SnapshotArrived
    | FloorRaised
    | MembersChanged
    | VersionQuarantined
    | MeshJoined
    | MeshReady
    | EvidenceReported
)


class CommandQueue:
    """Collect commands until the I/O layer takes them."""

    def __init__(self, table: MemberTable, neighbours: Neighbours) -> None:
        self._table = table
        self._neighbours = neighbours
        self._commands: list[Command] = []

    def add(self, command: Command) -> None:
        """Append a command."""
        self._commands.append(command)

    def send(self, address: str, **body: Any) -> None:
        """Append a message with one body if there is a link to the peer."""
        if not self._neighbours.is_up(address):
            return
        own = self._table.own
        envelope = Envelope(sender=own.address, incarnation=own.incarnation, **body)
        self.add(Send(address=address, envelope=envelope))

    def take(self) -> list[Command]:
        """Return and clear the commands."""
        commands, self._commands = self._commands, []
        return commands
