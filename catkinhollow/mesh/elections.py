"""Assign roles to members by rendezvous hashing."""

from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.rings import choose_by_rendezvous_hash


class Elections:
    """Decide which roles this daemon has according to its member table.

    Two daemons whose tables differ may both be chosen for a role; each role
    tolerates that.
    """

    def __init__(self, table: MemberTable, watcher_count: int) -> None:
        self._table = table
        self._watcher_count = watcher_count

    def is_watcher(self) -> bool:
        """Return whether this daemon watches the store."""
        return self._own in self._domain_watchers()

    def is_first_watcher(self) -> bool:
        """Return whether this daemon publishes the seeds of its domain."""
        return self._domain_watchers()[:1] == [self._own]

    def is_controller(self) -> bool:
        """Return whether this daemon should hold the controller lease."""
        return self.controller() == self._own

    def controller(self) -> str:
        """Return the address that should hold the lease, "" if none."""
        members = [record.address for record in self._table.present_members()]
        return _first(members, "controller")

    def collector(self) -> str:
        """Return the address that sums the domain's evidence, "" if none."""
        domain = self._table.own.failure_domain
        return _first(self.domain_members(), f"collector/{domain}")

    def domain_members(self) -> list[str]:
        """Return the addresses of present members of this failure domain."""
        domain = self._table.own.failure_domain
        return [
            record.address
            for record in self._table.present_members()
            if record.failure_domain == domain
        ]

    @property
    def _own(self) -> str:
        return self._table.own.address

    def _domain_watchers(self) -> list[str]:
        domain = self._table.own.failure_domain
        return choose_by_rendezvous_hash(
            self.domain_members(), f"watch/{domain}", self._watcher_count
        )


def _first(members: list[str], key: str) -> str:
    # The list may be empty: a daemon that is leaving is also absent from its
    # own table.
    return next(iter(choose_by_rendezvous_hash(members, key, 1)), "")
