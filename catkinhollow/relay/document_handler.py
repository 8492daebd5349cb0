"""Check documents and put those that are taken in force."""

from typing import Any, TypeVar

from catkinhollow.codec import decode_message
from catkinhollow.generated.relay import (
    DaemonRecord,
    Document,
    MoveOrder,
    RelayConfiguration,
)
from catkinhollow.logs import get_logger
from catkinhollow.relay.configuration_check import find_fault
from catkinhollow.relay.documents import DocumentTable
from catkinhollow.relay.gate_service import GateService
from catkinhollow.relay.ingress import Ingress
from catkinhollow.relay.kinds import (
    CONFIGURATION,
    DAEMONS,
    EVACUATIONS,
    ORDERS,
)
from catkinhollow.relay.move_driver import MoveDriver
from catkinhollow.relay.network import DocumentChanged, PeerNetwork
from catkinhollow.relay.versions import VersionPolicy

logger = get_logger(__name__)

T = TypeVar("T")

# What the body of each kind decodes to; an evacuation is named by its name.
BODIES: dict[str, Any] = {
    CONFIGURATION: RelayConfiguration,
    DAEMONS: DaemonRecord,
    ORDERS: MoveOrder,
    EVACUATIONS: str,
}


class DocumentCheck:
    """Refuse documents that must not replace what is known."""

    def __init__(self) -> None:
        self._version = -1

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, -1 if none is."""
        return self._version

    def accepts(self, document: Document) -> bool:
        """Tell whether a document may replace the known one."""
        fault = self._find_fault(document)
        if fault:
            logger.error(
                "document refused",
                name=document.name,
                revision=document.revision,
                reason=fault,
            )
        return not fault

    def enforced(self, version: int) -> None:
        """Note the version in force."""
        self._version = version

    def _find_fault(self, document: Document) -> str:
        kind = document.name.partition("/")[0]
        if kind not in BODIES:
            return "unknown kind"
        if document.deleted:
            return "a configuration is not deleted" if kind == CONFIGURATION else ""
        # Peers of another release may send what this one can't read.
        decoded = decode_message(document.body, BODIES[kind])
        if decoded.is_error():
            return str(decoded.error.reason)
        if kind == CONFIGURATION:
            return find_fault(decoded.ok, self._version)
        return ""


class DocumentHandler:
    """Put changed documents in force."""

    def __init__(
        self,
        *,
        failure_domain: str,
        check: DocumentCheck,
        table: DocumentTable,
        ingress: Ingress,
        gate: GateService,
        network: PeerNetwork,
        versions: VersionPolicy,
        moves: MoveDriver,
    ) -> None:
        self._failure_domain = failure_domain
        self._check = check
        self._table = table
        self._ingress = ingress
        self._gate = gate
        self._network = network
        self._versions = versions
        self._moves = moves
        self._daemons: dict[str, DaemonRecord] = {}

    def take(self, event: DocumentChanged) -> None:
        """Put a document in force that the check has accepted."""
        document = event.document
        kind, _, name = document.name.partition("/")
        if kind == CONFIGURATION:
            self._enforce(document)
        elif kind == DAEMONS:
            self._take_daemon(document, name)
        elif kind == ORDERS:
            self._take_order(document, name)
        else:
            self._take_evacuation(document, name)

    def _enforce(self, document: Document) -> None:
        configuration = _decoded(document, RelayConfiguration)
        self._check.enforced(configuration.version)
        self._ingress.configure(configuration)
        self._gate.configure(configuration)
        logger.info(
            "configuration enforced",
            version=configuration.version,
            revision=document.revision,
            routes=len(configuration.routes),
        )

    def _take_daemon(self, document: Document, name: str) -> None:
        # Each entry is decoded once; decoding all at each change would make
        # the start of a fleet quadratic.
        if document.deleted:
            self._daemons.pop(name, None)
        else:
            self._daemons[name] = _decoded(document, DaemonRecord)
        self._network.directory.replace_all(self._daemons.values())
        self._network.update_links()

    def _take_order(self, document: Document, service: str) -> None:
        documents = self._table.of_kind(ORDERS)
        self._versions.set_orders(_decoded(known, MoveOrder) for known in documents)
        if document.deleted:
            self._moves.remove_order(service)
            return
        order = _decoded(document, MoveOrder)
        self._moves.update_order(order, document.revision)
        progress = order.progress
        logger.info(
            "move order",
            service=order.service,
            version=order.version,
            state=progress.state.value if progress else "new",
            percent=progress.percent if progress else 0.0,
            revision=document.revision,
        )

    def _take_evacuation(self, document: Document, failure_domain: str) -> None:
        logger.info(
            "failure domain",
            name=failure_domain,
            out=not document.deleted,
            revision=document.revision,
        )
        if failure_domain == self._failure_domain:
            self._gate.set_evacuated(not document.deleted)


def _decoded(document: Document, kind: type[T]) -> T:
    decoded = decode_message(document.body, kind)
    if decoded.is_error():
        # The check has read it before.
        raise ValueError(f"{document.name}: {decoded.error.reason}")
    return decoded.ok
