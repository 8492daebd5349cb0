"""Run a deployment under changes and faults, and report the outcome."""

import json
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from statistics import quantiles
from tempfile import TemporaryDirectory

import trio
from attrs import Factory, define, evolve

from catkinhollow.codec import from_plain, to_plain
from catkinhollow.configuration.http_store import HttpStoreClient
from catkinhollow.configuration.store import FLEET_KIND, FLEET_NAME, MOVES_KIND
from catkinhollow.control.moves import TERMINAL_STATES
from catkinhollow.generated.fleet import Fleet, Move, MoveState
from catkinhollow.generated.settings import Address, StoreSettings
from catkinhollow.testbed.audit import AuditReport, audit
from catkinhollow.testbed.callers import (
    CallerGroup,
    CallKind,
    CallLog,
    CallRecord,
    CallResult,
)
from catkinhollow.testbed.cluster import Cluster, Node, NodeSpec
from catkinhollow.testbed.convergence import ConvergenceProbe

EXAMPLE = Path(__file__).resolve().parent.parent.parent / "examples" / "consortium"
FAILURE_DOMAINS = ("windhoek-a", "windhoek-b", "windhoek-c")
TARGETS = {"catalogue": 5, "orders": 3, "stock": 3}
CALL_KINDS = (
    CallKind(
        name="browse",
        method="GET",
        path="/catalogue/a",
        weight=6,
        worth=1,
        backer="kalahari-paper",
    ),
    CallKind(
        name="check",
        method="GET",
        path="/stock/a",
        weight=3,
        worth=3,
        backer="swakop-stationers",
    ),
    CallKind(
        name="order",
        method="POST",
        path="/orders",
        weight=2,
        worth=10,
        idempotent=False,
        backer="etosha-school-supply",
    ),
)
RATE_PER_S = 150.0
TARGET_OPTIONS = {"service-ms": "8", "warmup-s": "2"}
START_LIMIT_S = 15.0
CHANGE_COUNT = 8
CHANGE_INTERVAL_S = 0.4
DOMAIN_OUT_S = 2.5
DOMAIN_SETTLE_S = 2.0
MOVE_LIMIT_S = 17.0
WITHDRAW_LIMIT_S = 17.0
# The final state reaches the store at the latest shortly after the deadline.
MOVE_GRACE_S = 3.0
SEED = 20261204
NOT_RUN = "not run"


@define
class DemoReport:
    """Collect a line for each step and the figures of the demo."""

    lines: list[tuple[str, str]] = Factory(list)
    convergence_ms: list[float] = Factory(list)
    moves_done: int = 0
    moves_withdrawn: int = 0

    def add(self, step: str, result: str) -> None:
        """Add the result of a step."""
        self.lines.append((step, result))


class Demo:
    """Run the example `consortium` on loopback for about a minute."""

    def __init__(self, directory: Path) -> None:
        self._cluster = Cluster(directory, region="windhoek")
        self._log = CallLog()
        self._report = DemoReport()
        self._store = HttpStoreClient(
            StoreSettings(address=_address(self._cluster.store))
        )
        self._probe = ConvergenceProbe(directory)
        self._addresses: list[str] = []

    async def run(self) -> int:
        """Run every step, print the report, and return the exit code.

        The code is 1 for lost or duplicate calls and for wrong responses.
        """
        try:
            await self._start()
            async with trio.open_nursery() as nursery:
                callers = CallerGroup(
                    lambda: self._addresses,
                    CALL_KINDS,
                    RATE_PER_S,
                    Random(SEED),
                    self._log,
                )
                nursery.start_soon(callers.run)
                await self._run_steps()
                callers.stop()
            result = audit(self._log, await self._cluster.executions())
        finally:
            with trio.CancelScope(shield=True):
                await self._store.aclose()
                await self._cluster.stop()
        self._print(result)
        return int(bool(result.lost or result.duplicated or result.wrong_answer))

    async def _start(self) -> None:
        self._cluster.start_store()
        await self._wait_for_store()
        code = await self._cluster.run_command(
            "apply", str(EXAMPLE / "fleet.yaml"), str(EXAMPLE / "routes.yaml")
        )
        self._report.add("apply configuration", "ok" if code == 0 else f"exit {code}")
        self._cluster.add(_initial_specs())
        ready = await self._cluster.wait_ready(START_LIMIT_S)
        self._report.add("start 11 targets with daemons", "ok" if ready else "late")
        self._addresses = [node.traffic for node in self._cluster.nodes.values()]
        await trio.sleep(2.0)

    async def _wait_for_store(self) -> None:
        with trio.move_on_after(START_LIMIT_S):
            while not await self._cluster.request(
                "GET", self._cluster.store, "/counters"
            ):
                await trio.sleep(0.1)

    async def _run_steps(self) -> None:
        steps: list[Callable[[], Awaitable[None]]] = [
            self._change_configuration,
            self._take_domain_out_and_back,
            self._kill_daemon,
        ]
        for step in steps:
            await step()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._move_to_good_version)
            nursery.start_soon(self._move_to_bad_version)

    async def _change_configuration(self) -> None:
        daemon_count = len(self._cluster.nodes)
        for change in range(CHANGE_COUNT):
            revision = await self._write_timeout(2000 + change)
            accepted_ms = self._probe.now_ms()
            await trio.sleep(CHANGE_INTERVAL_S)
            if revision is None:
                self._report.add(f"change {change}", "store refused")
                continue
            delays_ms = await self._probe.delays_ms(revision, accepted_ms, daemon_count)
            self._report.convergence_ms += delays_ms
            if len(delays_ms) < daemon_count:
                missing = daemon_count - len(delays_ms)
                self._report.add(f"change {change}", f"{missing} daemons late")
        self._report.add("change configuration under load", f"{CHANGE_COUNT} changes")

    async def _write_timeout(self, timeout_ms: int) -> int | None:
        stored = (await self._store.get(FLEET_KIND, FLEET_NAME)).ok
        fleet = from_plain(stored.value, Fleet).ok
        defaults = evolve(fleet.defaults, timeout_ms=timeout_ms)
        result = await self._store.put(
            FLEET_KIND,
            FLEET_NAME,
            to_plain(evolve(fleet, defaults=defaults)),
            if_revision=stored.revision,
        )
        return result.ok.revision if result.is_ok() else None

    async def _take_domain_out_and_back(self) -> None:
        domain = FAILURE_DOMAINS[1]
        start_s = trio.current_time()
        code = await self._cluster.run_command("domain", "out", domain)
        await trio.sleep(DOMAIN_OUT_S)
        before = await self._executions_in(domain)
        await trio.sleep(DOMAIN_SETTLE_S)
        late = await self._executions_in(domain) - before
        back = await self._cluster.run_command("domain", "in", domain)
        await trio.sleep(DOMAIN_SETTLE_S)
        returned = await self._executions_in(domain) - before - late
        served = _served_share(self._log.between(start_s, trio.current_time()))
        self._report.add(
            f"take {domain} out and back",
            f"exit {code}/{back}, {late} calls there while out, {returned} after, "
            f"{served:.2%} of worth served",
        )

    async def _executions_in(self, domain: str) -> int:
        total = 0
        for node in self._cluster.nodes.values():
            if node.spec.failure_domain == domain:
                total += len(await self._cluster.executions_at(node))
        return total

    async def _kill_daemon(self) -> None:
        node = next(self._cluster.find_nodes("stock", "v1"))
        self._cluster.kill_daemon(node.spec.name)
        await trio.sleep(0.5)
        self._cluster.start_daemon(node)
        ready = await self._cluster.wait_ready(START_LIMIT_S)
        self._report.add("kill a daemon", "back and ready" if ready else "not back")

    async def _move_to_good_version(self) -> None:
        state = await self._move("catalogue", "v2", 5, {}, MOVE_LIMIT_S)
        self._report.moves_done += state == MoveState.DONE
        self._report.add("move catalogue to v2", state)

    async def _move_to_bad_version(self) -> None:
        start_s = trio.current_time()
        faults = {"fault-mode": "fail", "fault-rate": "0.8"}
        state = await self._move("stock", "v2", 3, faults, WITHDRAW_LIMIT_S)
        self._report.moves_withdrawn += state == MoveState.WITHDRAWN
        calls = [
            record
            for record in self._log.between(start_s, trio.current_time())
            if record.kind.name == "check"
        ]
        bad_count = sum(record.version == "v2" for record in calls)
        share = bad_count / max(1, len(calls))
        self._report.add(
            "move stock to a failing v2", f"{state}, answered {share:.1%} of its calls"
        )

    async def _move(
        self,
        service: str,
        version: str,
        targets: int,
        faults: dict[str, str],
        limit_s: float,
    ) -> str:
        options = {**TARGET_OPTIONS, **faults}
        nodes = self._cluster.add(_specs(service, version, targets, options))
        if not await self._cluster.wait_ready(START_LIMIT_S):
            return f"{NOT_RUN}: the new targets' daemons are not ready"
        self._add_addresses(nodes)
        deadline = datetime.now(UTC) + timedelta(seconds=limit_s)
        code = await self._cluster.run_command(
            "move", "start", service, version, "--by", deadline.isoformat()
        )
        if code:
            return f"{NOT_RUN}: move start ended with {code}"
        return await self._wait_for_move(service, limit_s)

    async def _wait_for_move(self, service: str, limit_s: float) -> str:
        state = MoveState.RUNNING
        with trio.move_on_after(limit_s + MOVE_GRACE_S):
            while state not in TERMINAL_STATES:
                await trio.sleep(0.2)
                stored = await self._store.get(MOVES_KIND, service)
                if stored.is_ok():
                    state = from_plain(stored.ok.value, Move).ok.state
        return state.value

    def _add_addresses(self, nodes: list[Node]) -> None:
        self._addresses += [node.traffic for node in nodes]

    def _print(self, result: AuditReport) -> None:
        for step, outcome in self._report.lines:
            print(f"{step:<34} {outcome}")
        print(json.dumps(_summary(self._report, result)))


def _summary(report: DemoReport, result: AuditReport) -> dict[str, object]:
    delays_ms = report.convergence_ms
    percentiles = quantiles(delays_ms, n=100) if len(delays_ms) > 1 else None
    return {
        "requests": result.requests,
        "lost": result.lost,
        "duplicated": result.duplicated,
        "wrong_answer": result.wrong_answer,
        "false_not_run": result.false_not_run,
        "unknown": result.unknown,
        "convergence_ms": {
            "p50": round(percentiles[49], 1) if percentiles else None,
            "p99": round(percentiles[98], 1) if percentiles else None,
        },
        "moves_done": report.moves_done,
        "moves_withdrawn": report.moves_withdrawn,
        "refusals": result.refusals,
    }


def _served_share(records: list[CallRecord]) -> float:
    total = sum(record.kind.worth for record in records)
    served = sum(
        record.kind.worth for record in records if record.result is CallResult.OK
    )
    return served / total if total else 0.0


def _initial_specs() -> list[NodeSpec]:
    return [
        spec
        for service, count in TARGETS.items()
        for spec in _specs(service, "v1", count, TARGET_OPTIONS)
    ]


def _specs(
    service: str, version: str, count: int, options: dict[str, str]
) -> list[NodeSpec]:
    return [
        NodeSpec(
            name=f"{service}-{version}-{index}",
            service=service,
            version=version,
            failure_domain=FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            target_options=options,
        )
        for index in range(count)
    ]


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return Address(host=host, port=int(port))


def run_demo(log_directory: Path | None) -> int:
    """Run the demo and return the exit code.

    Without a directory the logs are removed at the end.
    """
    if log_directory is not None:
        log_directory.mkdir(parents=True, exist_ok=True)
        return trio.run(Demo(log_directory).run)
    with TemporaryDirectory(prefix="catkinhollow-demo-") as directory:
        return trio.run(Demo(Path(directory)).run)
