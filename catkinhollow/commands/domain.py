"""Take failure domains out of service and return them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from catkinhollow.commands.exit_codes import ExitCode
from catkinhollow.commands.store_command import STORE_OPTION, StoreCommand

if TYPE_CHECKING:
    from catkinhollow.configuration.editing import FleetEdit
    from catkinhollow.configuration.store import StoreClient


class _DomainCommand(StoreCommand):
    """Apply an edit of one failure domain."""

    arguments = [argument("domain", "Name of the failure domain.")]

    async def _update(self, store: StoreClient, edit: FleetEdit) -> ExitCode:
        from catkinhollow.configuration.editing import list_changes
        from catkinhollow.configuration.fleet_updates import update_fleet

        result = await update_fleet(store, edit)
        if result.is_error():
            return self.report_error(result.error)
        before, after = result.ok.before, result.ok.after
        changes = list_changes(before.fleet, after.fleet) or ["no changes"]
        for change in changes:
            self.print_line(f"{change}: revision {after.revision}")
        return ExitCode.OK


class DomainOutCommand(_DomainCommand):
    """Take a failure domain out of service."""

    name = "domain out"
    description = "Take a failure domain out of service."
    options = [
        STORE_OPTION,
        option(
            "force",
            description="Take the failure domain out even if it is the last one.",
        ),
    ]

    def handle(self) -> int:
        """Write the change unless it takes out the last failure domain."""
        return self.use_store(self._take_out)

    async def _take_out(self, store: StoreClient) -> ExitCode:
        from catkinhollow.configuration.editing import TakeDomainOut
        from catkinhollow.configuration.fleet_updates import list_known_domains

        known = await list_known_domains(store)
        if known.is_error():
            return self.report_error(known.error)
        name = self.argument("domain")
        if name not in known.ok:
            self.print_error(f"warning: no member is in failure domain '{name}'")
        edit = TakeDomainOut(name, known.ok, self.option("force"))
        return await self._update(store, edit)


class DomainInCommand(_DomainCommand):
    """Return a failure domain to service."""

    name = "domain in"
    description = "Return a failure domain to service."
    options = [STORE_OPTION]

    def handle(self) -> int:
        """Write the change to the store."""
        from catkinhollow.configuration.editing import ReturnDomain

        edit = ReturnDomain(self.argument("domain"))
        return self.use_store(lambda store: self._update(store, edit))
