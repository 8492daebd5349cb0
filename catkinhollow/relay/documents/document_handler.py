"""Validate documents and apply those that are accepted."""

from typing import Any, TypeVar

from catkinhollow.addresses import parse_address
from catkinhollow.codec import decode_message
from catkinhollow.generated.relay import (
    DaemonRecord,
    Document,
    MoveOrder,
    RelayConfiguration,
)
from catkinhollow.logs import get_logger
from catkinhollow.relay.admission.gate_service import GateService
from catkinhollow.relay.documents.configuration_check import find_error
from catkinhollow.relay.documents.document_sync import DocumentChanged
from catkinhollow.relay.documents.document_table import DocumentTable, is_unstored
from catkinhollow.relay.documents.kinds import (
    CONFIGURATION,
    DAEMONS,
    EVACUATIONS,
    ORDERS,
)
from catkinhollow.relay.ingress import Ingress
from catkinhollow.relay.links.link_plan import LinkPlan
from catkinhollow.relay.links.network import PeerNetwork
from catkinhollow.relay.moves.move_driver import MoveDriver
from catkinhollow.relay.moves.versions import VersionPolicy

logger = get_logger(__name__)

T = TypeVar("T")

# Type of the body of each kind. The failure domain of an evacuation is taken
# from the document's name.
BODY_TYPES: dict[str, Any] = {
    CONFIGURATION: RelayConfiguration,
    DAEMONS: DaemonRecord,
    ORDERS: MoveOrder,
    EVACUATIONS: str,
}


class DocumentValidator:
    """Refuse documents that must not replace the known ones."""

    def __init__(self) -> None:
        self._version = -1

    @property
    def version(self) -> int:
        """Return the configuration version in force, -1 if there is none."""
        return self._version

    def accepts(self, document: Document) -> bool:
        """Return whether a document may replace the known one."""
        error = self._find_error(document)
        if error:
            logger.error(
                "document refused",
                name=document.name,
                revision=document.revision,
                reason=error,
            )
        return not error

    def set_version(self, version: int) -> None:
        """Set the configuration version in force."""
        self._version = version

    def _find_error(self, document: Document) -> str:
        kind = document.name.partition("/")[0]
        if kind not in BODY_TYPES:
            return "unknown kind"
        if document.deleted:
            return (
                "a configuration must not be deleted" if kind == CONFIGURATION else ""
            )
        # Peers of another release may send bodies that this one cannot decode.
        decoded = decode_message(document.body, BODY_TYPES[kind])
        if decoded.is_error():
            return str(decoded.error.reason)
        if kind == CONFIGURATION:
            return find_error(decoded.ok, self._version)
        if kind == DAEMONS:
            return _find_record_error(document, decoded.ok)
        return ""


class DocumentHandler:
    """Apply changed documents to the parts of the daemon."""

    def __init__(
        self,
        *,
        failure_domain: str,
        validator: DocumentValidator,
        table: DocumentTable,
        ingress: Ingress,
        gate: GateService,
        network: PeerNetwork,
        plan: LinkPlan,
        versions: VersionPolicy,
        moves: MoveDriver,
    ) -> None:
        self._failure_domain = failure_domain
        self._validator = validator
        self._table = table
        self._ingress = ingress
        self._gate = gate
        self._network = network
        self._plan = plan
        self._versions = versions
        self._moves = moves

    def apply(self, event: DocumentChanged) -> None:
        """Apply a document that the validator has accepted."""
        document = event.document
        kind, _, name = document.name.partition("/")
        if kind == CONFIGURATION:
            self._apply_configuration(document, event.source)
        elif kind == DAEMONS:
            self._apply_daemon_record(document, name)
        elif kind == ORDERS:
            self._apply_order(document, name)
        else:
            self._apply_evacuation(document, name)

    def _apply_configuration(self, document: Document, source: str) -> None:
        configuration = _decode(document, RelayConfiguration)
        self._validator.set_version(configuration.version)
        self._ingress.configure(configuration)
        self._gate.configure(configuration)
        self._plan.set_services(service.name for service in configuration.services)
        self._network.schedule_link_update()
        logger.info(
            "configuration enforced",
            version=configuration.version,
            revision=document.revision,
            routes=len(configuration.routes),
            source=source,
        )

    def _apply_daemon_record(self, document: Document, name: str) -> None:
        directory = self._network.directory
        if document.deleted:
            directory.remove(name)
        else:
            directory.put(_decode(document, DaemonRecord))
        self._network.schedule_link_update()

    def _apply_order(self, document: Document, service: str) -> None:
        documents = self._table.of_kind(ORDERS)
        self._versions.set_orders(_decode(known, MoveOrder) for known in documents)
        self._plan.set_orders(self._versions.orders)
        self._network.schedule_link_update()
        if document.deleted:
            self._moves.remove_order(service)
            return
        order = _decode(document, MoveOrder)
        self._moves.update_order(
            order,
            document.revision,
            kept=document.kept is not None,
            unstored=is_unstored(document),
        )
        progress = order.progress
        logger.info(
            "move order",
            service=order.service,
            version=order.version,
            state=progress.state.value if progress else "new",
            percent=progress.percent if progress else 0.0,
            revision=document.revision,
        )

    def _apply_evacuation(self, document: Document, failure_domain: str) -> None:
        logger.info(
            "failure domain changed",
            name=failure_domain,
            out=not document.deleted,
            revision=document.revision,
        )
        if failure_domain == self._failure_domain:
            self._gate.set_evacuated(not document.deleted)


def _find_record_error(document: Document, record: DaemonRecord) -> str:
    if document.name != f"{DAEMONS}/{record.name}":
        return "record of another daemon"
    address = parse_address(record.address)
    return "" if address.is_ok() else address.error.reason


def _decode(document: Document, kind: type[T]) -> T:
    decoded = decode_message(document.body, kind)
    if decoded.is_error():
        # The validator has decoded it before.
        raise ValueError(f"{document.name}: {decoded.error.reason}")
    return decoded.ok
