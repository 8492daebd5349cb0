"""Define the base class of the commands that use the store."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from os import environ
from typing import TYPE_CHECKING, Protocol, TypeVar

from cleo.helpers import option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode

if TYPE_CHECKING:
    from catkinhollow.configuration.fleet_updates import UpdateError
    from catkinhollow.configuration.store import StoreClient
    from catkinhollow.errors import StoreError
    from catkinhollow.generated.settings import StoreSettings

T = TypeVar("T")

STORE_VARIABLE = "CATKINHOLLOW_STORE"
STORE_OPTION = option(
    "store",
    description=f"Address of the store, HOST:PORT (default: ${STORE_VARIABLE}).",
    flag=False,
)


class StoreConnector(Protocol):
    """Open a client of the store."""

    def __call__(
        self, settings: StoreSettings
    ) -> AbstractAsyncContextManager[StoreClient]:
        """Return a client that is closed at the end of the context."""


@asynccontextmanager
async def connect_store(settings: StoreSettings) -> AsyncIterator[StoreClient]:
    """Open a client that calls the store over HTTP."""
    from catkinhollow.configuration.http_store import HttpStoreClient

    client = HttpStoreClient(settings)
    try:
        yield client
    finally:
        await client.aclose()


class StoreCommand(BaseCommand):
    """Connect to the store and report its errors."""

    def __init__(self, connector: StoreConnector = connect_store) -> None:
        super().__init__()
        self._connector = connector

    def use_store(self, operation: Callable[[StoreClient], Awaitable[T]]) -> T:
        """Run an operation with a client of the store at the given address."""
        import trio

        from catkinhollow.generated.settings import StoreSettings

        address = self.address_option("store", environ.get(STORE_VARIABLE))

        async def run() -> T:
            async with self._connector(StoreSettings(address=address)) as store:
                return await operation(store)

        return trio.run(run)

    def report_error(self, error: UpdateError) -> ExitCode:
        """Write to standard error why the store was not read or changed."""
        from catkinhollow.configuration.editing import EditRefused

        if isinstance(error, EditRefused):
            self.print_error(f"refused: {error.reason}")
            return ExitCode.INVALID
        return self._report_store_error(error)

    def _report_store_error(self, error: StoreError) -> ExitCode:
        from catkinhollow.errors import StoreErrorKind

        self.print_error(f"store: {error.kind}: {error.reason}")
        match error.kind:
            case StoreErrorKind.CONFLICT:
                return ExitCode.CONFLICT
            case StoreErrorKind.UNAVAILABLE:
                return ExitCode.UNREACHABLE
            case _:
                return ExitCode.INVALID
