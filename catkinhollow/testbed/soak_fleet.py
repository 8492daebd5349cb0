"""Run the daemons, targets and the store of a soak test."""

from collections.abc import Callable, Sequence
from itertools import count
from pathlib import Path

import trio
import yaml
from attrs import define
from httpcore import (
    AsyncConnectionPool,
    NetworkError,
    ProtocolError,
    TimeoutException,
)

from catkinhollow.codec import to_plain
from catkinhollow.generated.relay import (
    RelayConfiguration,
    RelayRoute,
    RelayService,
    RelaySettings,
)
from catkinhollow.logs import get_logger
from catkinhollow.platform.headers import PLATFORM_HEADERS as NAMES
from catkinhollow.platform.process import SETTINGS_VARIABLE
from catkinhollow.platform.standin_store import StandInStore
from catkinhollow.relay.documents.kinds import CONFIGURATION, CONFIGURATION_NAME
from catkinhollow.testbed.loopback_proxy import LoopbackProxy
from catkinhollow.testbed.loopback_server import serve_on_loopback
from catkinhollow.testbed.processes import Child, ProcessGroup, free_ports
from catkinhollow.testbed.soak_target import DOWNLOAD_PREFIX, SoakTarget
from catkinhollow.timer import Clock

logger = get_logger(__name__)

MODULE = "catkinhollow.platform.sidecar"
SERVICE = "stock"
HOST = b"shop.example"
# Timeout of every route.
TIMEOUT_S = 1.5
# The same with long runs, which outlive the replacement of a link.
LONG_TIMEOUT_S = 4.0
# A request without a response after this time counts as lost.
CALLER_TIMEOUT_S = 6.0
# Time limit for all daemons to start; long enough for a busy machine.
START_LIMIT_S = 30.0


def route_timeout_s(*, long_runs: bool) -> float:
    """Return the timeout of every route, in seconds."""
    return LONG_TIMEOUT_S if long_runs else TIMEOUT_S


@define(eq=False)
class Member:
    """Represent one daemon with its target and the proxies in between."""

    settings: RelaySettings
    target: SoakTarget
    to_target: LoopbackProxy
    to_store: LoopbackProxy
    to_peer: LoopbackProxy
    """Proxy for the connections that other daemons open to this one."""
    child: Child | None = None


class SoakFleet:
    """Start daemons behind proxies and write their configurations."""

    def __init__(
        self,
        names: Sequence[str],
        *,
        failure_domains: int,
        directory: Path,
        record_run: Callable[[str], None],
        clock: Clock,
        long_runs: bool = False,
    ) -> None:
        self._names = names
        self._failure_domains = failure_domains
        self._directory = directory
        self._record_run = record_run
        self._clock = clock
        self._long_runs = long_runs
        self._timeout_s = route_timeout_s(long_runs=long_runs)
        self._group = ProcessGroup(directory)
        self._store = StandInStore()
        self._members: dict[str, Member] = {}
        self._version = 0
        self._check_ids = count(1)

    @property
    def members(self) -> dict[str, Member]:
        """Return the daemons by name."""
        return self._members

    @property
    def store(self) -> StandInStore:
        """Return the store of all daemons."""
        return self._store

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all processes and wait until each daemon serves."""
        self.write_version()
        store_port = free_ports(1)[0]
        await nursery.start(serve_on_loopback, self._store, store_port)
        for number, name in enumerate(self._names):
            domain = f"domain-{number % self._failure_domains}"
            await self._start_member(nursery, name, domain, store_port)
        with trio.fail_after(START_LIMIT_S):
            for name in self._names:
                while not await self.is_serving(name, "/s/start"):
                    await trio.sleep(0.1)

    async def _start_member(
        self, nursery: trio.Nursery, name: str, domain: str, store_port: int
    ) -> None:
        ports = free_ports(9)
        addresses = [f"127.0.0.1:{port}" for port in ports]
        settings = RelaySettings(
            instance=name,
            failure_domain=domain,
            region="r",
            service=SERVICE,
            target=addresses[0],
            requests=addresses[1],
            ready=addresses[2],
            announcements=addresses[3],
            peer=addresses[4],
            metrics=addresses[5],
            store=addresses[6],
            peer_listen=addresses[8],
        )
        member = Member(
            settings=settings,
            target=SoakTarget(
                settings,
                ports[7],
                self._record_run,
                self._clock,
                long_runs=self._long_runs,
            ),
            to_target=LoopbackProxy(ports[7]),
            to_store=LoopbackProxy(store_port),
            to_peer=LoopbackProxy(ports[8]),
        )
        self._members[name] = member
        await nursery.start(member.to_target.serve, ports[0])
        await nursery.start(member.to_store.serve, ports[6])
        await nursery.start(member.to_peer.serve, ports[4])
        nursery.start_soon(member.target.run)
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(to_plain(settings)))
        self.start_daemon(name)

    def start_daemon(self, name: str) -> None:
        """Start the process of a daemon."""
        path = self._directory / f"{name}.yaml"
        environment = {SETTINGS_VARIABLE: str(path)}
        self._members[name].child = self._group.start(
            name, [], environment, module=MODULE
        )

    def kill_all(self) -> None:
        """Kill the processes of all daemons."""
        self._group.kill_all()

    def write_version(self) -> int:
        """Write the next version and return its number.

        It keeps the routes /vN/ of all versions, but the route /dN/ of this
        version only.
        """
        self._version += 1
        prefixes = {"safe": "/s/", "dropped": f"/d{self._version}/"}
        for version in range(1, self._version + 1):
            prefixes[f"version-{version}"] = f"/v{version}/"
        routes = [
            self._make_route(name, prefix, "safe") for name, prefix in prefixes.items()
        ]
        routes.append(self._make_route("unsafe", "/u/", "unsafe"))
        routes.append(self._make_route("download", DOWNLOAD_PREFIX, "download"))
        configuration = RelayConfiguration(
            version=self._version, routes=routes, services=[RelayService(name=SERVICE)]
        )
        self._store.write(CONFIGURATION, CONFIGURATION_NAME, configuration)
        return self._version

    async def request(
        self,
        pool: AsyncConnectionPool,
        name: str,
        method: str,
        path: str,
        request_id: str,
    ) -> int:
        """Send a request to a daemon and return the status of the answer."""
        address = self._members[name].settings.requests
        headers = [(b"host", HOST), (NAMES.request_id, request_id.encode())]
        response = await pool.request(
            method, f"http://{address}{path}", headers=headers
        )
        return response.status

    async def is_serving(self, name: str, path: str) -> bool:
        """Return whether a safe call to a daemon succeeds."""
        request_id = f"check-{next(self._check_ids)}"
        with trio.move_on_after(CALLER_TIMEOUT_S):
            async with AsyncConnectionPool() as pool:
                try:
                    status = await self.request(pool, name, "GET", path, request_id)
                except (NetworkError, ProtocolError, TimeoutException) as error:
                    logger.debug("not serving yet", instance=name, reason=repr(error))
                    return False
                return status == 200
        return False

    async def find_outdated(self) -> list[str]:
        """Return the daemons that do not enforce the newest version."""
        path = f"/v{self._version}/x"
        return [name for name in self._members if not await self.is_serving(name, path)]

    def _make_route(self, name: str, prefix: str, kind: str) -> RelayRoute:
        return RelayRoute(
            name=name,
            host=HOST.decode(),
            path_prefix=prefix,
            kind=kind,
            service=SERVICE,
            timeout_ms=self._timeout_s * 1000.0,
            max_attempts=2,
        )
