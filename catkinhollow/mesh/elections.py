"""Choose members for fleet-wide tasks by rendezvous hashing."""

from catkinhollow.mesh.membership import MemberTable
from catkinhollow.mesh.rings import choose_by_rendezvous_hash


class Elections:
    """Tell which tasks fall to this daemon, by its own member table.

    Two daemons with different tables may both be chosen; each task tolerates
    that.
    """

    def __init__(self, table: MemberTable, watchers: int) -> None:
        self._table = table
        self._watchers = watchers

    def is_watcher(self) -> bool:
        """Tell whether this daemon watches the store."""
        return self._own in self._domain_watchers()

    def is_first_watcher(self) -> bool:
        """Tell whether this daemon publishes the seeds of its domain."""
        return self._domain_watchers()[:1] == [self._own]

    def is_controller(self) -> bool:
        """Tell whether this daemon should hold the controller lease."""
        return self.controller() == self._own

    def controller(self) -> str:
        """Return the member that should hold the lease, "" if none."""
        members = [record.address for record in self._table.present_members()]
        return _first(members, "controller")

    def collector(self) -> str:
        """Return the member that sums the domain's evidence, "" if none."""
        domain = self._table.own.failure_domain
        return _first(self.domain_members(), f"collector/{domain}")

    def domain_members(self) -> list[str]:
        """Return the present members of this failure domain."""
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
            self.domain_members(), f"watch/{domain}", self._watchers
        )


def _first(members: list[str], key: str) -> str:
    # A daemon that is leaving counts as absent, in its own table too.
    return next(iter(choose_by_rendezvous_hash(members, key, 1)), "")
