"""Run the stand-ins of the test bed."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio
from attrs import fields
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option
from expression import Result

from catkinhollow.codec import decode_json, from_plain
from catkinhollow.errors import DecodeError
from catkinhollow.generated.settings import Address
from catkinhollow.generated.testbed import TargetFaults, TargetProfile
from catkinhollow.testbed.standins import TargetOptions, run_store, run_target

FAULT_PREFIX = "fault-"

HOST_OPTION = option(
    "host", None, "Host address to listen on.", flag=False, default="127.0.0.1"
)
PORT_OPTION = option("port", None, "Port to listen on.", flag=False)


def _field_options(data_class: type[Any], prefix: str = "") -> list[Option]:
    return [
        option(
            prefix + field.name.replace("_", "-"),
            None,
            f"Value of {field.name} (default {field.default}).",
            flag=False,
        )
        for field in fields(data_class)
    ]


class _StandinCommand(Command):
    """Read the options that both stand-ins have."""

    def _address_text(self) -> str:
        return f"{self.option('host')}:{self.option('port')}"

    def _read_options(self, data_class: type[Any], prefix: str = "") -> dict[str, Any]:
        texts = {
            field.name: self.option(prefix + field.name.replace("_", "-"))
            for field in fields(data_class)
        }
        return {
            name: decode_json(text.encode(), Any).default_value(text)
            for name, text in texts.items()
            if text is not None
        }

    def _report_error(self, error: DecodeError) -> int:
        self.line_error(error.reason, style="error")
        return 2

    def _run(self, serve: Callable[[], Awaitable[None]]) -> int:
        failures: list[str] = []
        try:
            trio.run(serve)
        except* OSError as group:
            failures = _list_reasons(group)
        for failure in failures:
            self.line_error(f"cannot listen: {failure}", style="error")
        return 1 if failures else 0


class StandinStoreCommand(_StandinCommand):
    """Run the stand-in store."""

    name = "standin store"
    description = "Run the stand-in store until SIGTERM."
    options = [HOST_OPTION, PORT_OPTION]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        address = from_plain(_split_address(self._address_text()), Address)
        if address.is_error():
            return self._report_error(address.error)
        return self._run(partial(run_store, address.ok))


class StandinTargetCommand(_StandinCommand):
    """Run a stand-in target."""

    name = "standin target"
    description = "Run a stand-in target until SIGTERM."
    options = [
        HOST_OPTION,
        PORT_OPTION,
        option("service", None, "Service that the target belongs to.", flag=False),
        # cleo handles --version itself and prints the version of the program.
        option(
            "target-version",
            None,
            "Version that the target reports.",
            flag=False,
            default="v1",
        ),
        option("admin", None, "Admin address of its daemon, HOST:PORT.", flag=False),
        *_field_options(TargetProfile),
        *_field_options(TargetFaults, FAULT_PREFIX),
    ]

    def handle(self) -> int:
        """Serve until SIGTERM or SIGINT."""
        options = self._target_options()
        if options.is_error():
            return self._report_error(options.error)
        return self._run(partial(run_target, options.ok))

    def _target_options(self) -> Result[TargetOptions, DecodeError]:
        admin = self.option("admin")
        return from_plain(
            {
                "service": self.option("service"),
                "version": self.option("target-version"),
                "address": _split_address(self._address_text()),
                "admin": _split_address(admin) if admin else None,
                "profile": self._read_options(TargetProfile),
                "faults": self._read_options(TargetFaults, FAULT_PREFIX),
            },
            TargetOptions,
        )


def _list_reasons(error: BaseException) -> list[str]:
    if isinstance(error, BaseExceptionGroup):
        return [reason for part in error.exceptions for reason in _list_reasons(part)]
    return [str(error)]


def _split_address(text: str) -> dict[str, Any]:
    host, _, port = text.rpartition(":")
    return {"host": host, "port": int(port) if port.isdigit() else port}
