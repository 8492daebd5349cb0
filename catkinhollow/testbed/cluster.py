"""Run daemons, stand-in targets and a stand-in store as processes."""

import signal
from collections.abc import Iterable, Iterator, Mapping
from itertools import count
from pathlib import Path

import trio
import yaml
from attrs import Factory, define, frozen
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    Response,
    TimeoutException,
)

from catkinhollow.codec import decode_json, encode_json
from catkinhollow.generated.status import DaemonStatus
from catkinhollow.generated.testbed import ExecutionLog, TargetFaults
from catkinhollow.logs import get_logger
from catkinhollow.testbed.processes import Child, ProcessGroup, free_ports

logger = get_logger(__name__)

HOST = "127.0.0.1"
CONTROL_TIMEOUT_S = 5.0
POLL_S = 0.05
SEEDS_PER_DAEMON = 3


@frozen(kw_only=True)
class NodeSpec:
    """Configure one instance: a target and its daemon."""

    name: str
    service: str
    version: str
    failure_domain: str
    target_options: dict[str, str] = Factory(dict)
    has_target: bool = True


@define(kw_only=True)
class Node:
    """Represent one running instance with its ports and settings file."""

    spec: NodeSpec
    traffic_port: int
    admin_port: int
    peer_port: int
    target_port: int
    settings_path: Path

    @property
    def traffic(self) -> str:
        """Return the address where the daemon accepts calls."""
        return f"{HOST}:{self.traffic_port}"

    @property
    def admin(self) -> str:
        """Return the admin address of the daemon."""
        return f"{HOST}:{self.admin_port}"

    @property
    def target(self) -> str:
        """Return the address of the target."""
        return f"{HOST}:{self.target_port}"

    @property
    def daemon_name(self) -> str:
        """Return the name of the daemon's process."""
        return f"daemon-{self.spec.name}"


class Cluster:
    """Start and stop the processes of one deployment."""

    def __init__(
        self,
        directory: Path,
        *,
        region: str = "local",
        daemon_settings: Mapping[str, object] | None = None,
    ) -> None:
        self._directory = directory
        self._region = region
        self._daemon_settings = daemon_settings or {}
        self._group = ProcessGroup(directory)
        self._store_port = free_ports(1)[0]
        self._commands = count(1)
        self.nodes: dict[str, Node] = {}

    @property
    def store(self) -> str:
        """Return the address of the store."""
        return f"{HOST}:{self._store_port}"

    def daemon(self, name: str) -> Child:
        """Return the process of a node's daemon."""
        return self._group.children[self.nodes[name].daemon_name]

    def start_store(self) -> None:
        """Start the stand-in store."""
        self._group.start(
            "store", ["standin", "store", "--port", str(self._store_port)]
        )

    def add(self, specs: Iterable[NodeSpec]) -> list[Node]:
        """Start a daemon, and a target if it has one, for each instance."""
        nodes = [self._make_node(spec) for spec in specs]
        for node in nodes:
            self.nodes[node.spec.name] = node
        for node in nodes:
            self._write_settings(node)
            self.start_daemon(node)
            if node.spec.has_target:
                self._start_target(node)
        return nodes

    def start_daemon(self, node: Node) -> Child:
        """Start the daemon of a node."""
        return self._group.start(
            node.daemon_name, ["daemon", "--settings", str(node.settings_path)]
        )

    def kill_daemon(self, name: str) -> None:
        """Send SIGKILL to a daemon."""
        self.daemon(name).send(signal.SIGKILL)

    async def run_command(self, *arguments: str, limit_s: float = 30.0) -> int:
        """Run an operator's command and return its exit code.

        Kill the command if it runs for longer than `limit_s`.
        """
        name = f"command-{next(self._commands)}"
        child = self._group.start(name, [*arguments, "--store", self.store])
        if not await child.wait(limit_s):
            child.process.kill()
        return child.process.wait()

    async def wait_ready(
        self, limit_s: float, nodes: Iterable[Node] | None = None
    ) -> bool:
        """Wait until every daemon accepts calls; return whether all do."""
        with trio.move_on_after(limit_s):
            for node in list(self.nodes.values() if nodes is None else nodes):
                while await self.request("GET", node.admin, "/health") != 200:
                    await trio.sleep(POLL_S)
            return True
        return False

    async def status(self, node: Node) -> DaemonStatus | None:
        """Return the status of a daemon, or None without a response."""
        response = await self.fetch("GET", node.admin, "/status", b"")
        if response is None:
            return None
        decoded = decode_json(response.content, DaemonStatus)
        return decoded.ok if decoded.is_ok() else None

    async def executions(self) -> list[str]:
        """Return the request id of every execution at every target."""
        ids: list[str] = []
        for node in self.nodes.values():
            ids += await self.executions_at(node)
        return ids

    async def executions_at(self, node: Node) -> list[str]:
        """Return the request id of every execution at one target."""
        response = await self.fetch("GET", node.target, "/control/executions", b"")
        if response is None:
            logger.error("execution log unavailable", target=node.spec.name)
            return []
        log = decode_json(response.content, ExecutionLog).ok
        return [execution.request_id for execution in log.executions]

    async def set_faults(self, node: Node, faults: TargetFaults) -> None:
        """Set the faults that a target injects."""
        await self.fetch("POST", node.target, "/control/faults", encode_json(faults))

    async def request(
        self, method: str, address: str, path: str, body: bytes = b""
    ) -> int:
        """Return the HTTP status of a response, or 0 without a response."""
        response = await self.fetch(method, address, path, body)
        return response.status if response else 0

    async def stop(self) -> None:
        """Stop every process."""
        await self._group.stop_all()

    def kill(self) -> None:
        """Kill every process at once, without a drain."""
        self._group.kill_all()

    def find_nodes(self, service: str, version: str) -> Iterator[Node]:
        """Return the nodes of one target version."""
        for node in self.nodes.values():
            if (node.spec.service, node.spec.version) == (service, version):
                yield node

    async def fetch(
        self, method: str, address: str, path: str, body: bytes = b""
    ) -> Response | None:
        """Return the response of any process, or None without a response."""
        with trio.move_on_after(CONTROL_TIMEOUT_S):
            try:
                async with AsyncConnectionPool() as pool:
                    url = f"http://{address}{path}"
                    return await pool.request(method, url, content=body)
            except (NetworkError, ProtocolError, TimeoutException):
                return None
        return None

    def _make_node(self, spec: NodeSpec) -> Node:
        traffic, admin, peer, target = free_ports(4)
        return Node(
            spec=spec,
            traffic_port=traffic,
            admin_port=admin,
            peer_port=peer,
            target_port=target,
            settings_path=self._directory / f"{spec.name}.yaml",
        )

    def _write_settings(self, node: Node) -> None:
        seeds = [
            {"host": HOST, "port": other.peer_port}
            for other in self.nodes.values()
            if other is not node
        ]
        settings = {
            "instance": node.spec.name,
            "region": self._region,
            "failure_domain": node.spec.failure_domain,
            "traffic": {"host": HOST, "port": node.traffic_port},
            "admin": {"host": HOST, "port": node.admin_port},
            "peer": {"host": HOST, "port": node.peer_port},
            "seeds": seeds[:SEEDS_PER_DAEMON],
            "store": {"address": {"host": HOST, "port": self._store_port}},
            **self._daemon_settings,
        }
        node.settings_path.write_text(yaml.safe_dump(settings))

    def _start_target(self, node: Node) -> None:
        spec = node.spec
        options = {
            "port": str(node.target_port),
            "service": spec.service,
            "target-version": spec.version,
            "admin": node.admin,
            **spec.target_options,
        }
        arguments = [f"--{name}={value}" for name, value in options.items()]
        self._group.start(f"target-{spec.name}", ["standin", "target", *arguments])
