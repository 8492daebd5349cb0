"""Import only those parts of the libraries that a daemon uses.

Some packages import all their modules with the first name that is used of
them. The parts that a daemon never uses took a tenth of the processor time of
its start.
"""

import sys
from collections.abc import Mapping, Sequence
from importlib import import_module
from importlib.machinery import ModuleSpec, PathFinder
from types import ModuleType
from typing import Any

# The names that a daemon uses, with the module that defines each. The code of
# the package or module itself runs when another name is asked for.
PARTS: Mapping[str, Mapping[str, str]] = {
    "aioprometheus": {
        "Counter": "aioprometheus.collectors",
        "Gauge": "aioprometheus.collectors",
        "Histogram": "aioprometheus.collectors",
        "Registry": "aioprometheus.collectors",
        "histogram": "aioprometheus.histogram",
        "render": "aioprometheus.renderer",
    },
    "asyncio": {},
    "certifi": {},
    "csv": {},
    "ctypes.util": {"find_library": __name__},
    "expression": {
        "Error": "expression.core.result",
        "Ok": "expression.core.result",
        "Result": "expression.core.result",
    },
    "expression.core": {},
    "hmac": {},
    "httpcore": {
        "AsyncConnectionPool": "httpcore._async.connection_pool",
        "AsyncHTTP11Connection": "httpcore._async.http11",
        "AsyncNetworkBackend": "httpcore._backends.base",
        "AsyncNetworkStream": "httpcore._backends.base",
        "ConnectError": "httpcore._exceptions",
        "ConnectTimeout": "httpcore._exceptions",
        "ConnectionNotAvailable": "httpcore._exceptions",
        "NetworkError": "httpcore._exceptions",
        "Origin": "httpcore._models",
        "ProtocolError": "httpcore._exceptions",
        "ReadError": "httpcore._exceptions",
        "Request": "httpcore._models",
        "Response": "httpcore._models",
        "SOCKET_OPTION": "httpcore._backends.base",
        "TimeoutException": "httpcore._exceptions",
        "TrioBackend": "httpcore._backends.trio",
        "URL": "httpcore._models",
        "WriteError": "httpcore._exceptions",
    },
    "httpcore._async": {},
    "importlib.resources": {},
}
# The import system looks these up before the code of a module runs.
_IMPORT_ATTRIBUTES = frozenset(
    {"__cached__", "__file__", "__loader__", "__package__", "__path__", "__spec__"}
)
# Library of the threads in glibc; other C libraries do not have it.
THREAD_LIBRARY = "libpthread.so.0"


class PartialModule(ModuleType):
    """Provide single names of a module before its own code has run."""

    def __getattr__(self, name: str) -> Any:
        """Return a part of the module, or run its code for any other name.

        Python calls this method for missing attributes only.
        """
        if name in _IMPORT_ATTRIBUTES:
            raise AttributeError(name)
        part = PARTS[self.__name__].get(name)
        if part is None:
            self.run_code()
            return getattr(self, name)
        module = import_module(part)
        is_submodule = part == f"{self.__name__}.{name}"
        value = module if is_submodule else getattr(module, name)
        setattr(self, name, value)
        return value

    def run_code(self) -> None:
        """Run the code of the module, which is an ordinary one from now on."""
        assert self.__spec__ is not None
        loader = self.__spec__.loader
        assert isinstance(loader, _PartialLoader)
        self.__class__ = ModuleType
        loader.run_code(self)


class _PartialLoader:
    """Create modules without running their code."""

    def __init__(self, loader: Any) -> None:
        self._loader = loader

    def create_module(self, spec: ModuleSpec) -> ModuleType:
        """Return a module that imports its parts when they are used."""
        return PartialModule(spec.name)

    def exec_module(self, module: ModuleType) -> None:
        """Leave the module without its names."""

    def run_code(self, module: ModuleType) -> None:
        """Run the code of a module that has been created."""
        self._loader.exec_module(module)


class PartialFinder:
    """Find the packages and modules of which only parts are used."""

    def find_spec(
        self,
        fullname: str,
        path: Sequence[str] | None,
        target: ModuleType | None = None,
    ) -> ModuleSpec | None:
        """Return the spec of a listed module, None for all others."""
        if fullname not in PARTS:
            return None
        spec = PathFinder.find_spec(fullname, path, target)
        if spec is not None and spec.loader is not None:
            spec.loader = _PartialLoader(spec.loader)  # type: ignore[assignment]
        return spec


def find_library(name: str) -> str | None:
    """Return the file of a C library, as ctypes.util.find_library does.

    trio looks for the threads' library when it is imported, for which the
    function of ctypes starts a process.
    """
    if name == "pthread":
        return THREAD_LIBRARY
    module = sys.modules["ctypes.util"]
    if isinstance(module, PartialModule):
        module.run_code()
    found: str | None = module.find_library(name)
    return found


def install_partial_imports() -> None:
    """Use the parts of the listed modules in all later imports."""
    sys.meta_path.insert(0, PartialFinder())
