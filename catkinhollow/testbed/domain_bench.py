"""Measure calls while a failure domain is out of service and returns."""

import os
from collections import Counter
from collections.abc import Iterable, Sequence
from random import Random

import trio
from attrs import frozen

from catkinhollow.configuration.fleet_files import load_fleet
from catkinhollow.generated.bench import (
    DomainPlan,
    DomainVariant,
    Experiment,
    Point,
)
from catkinhollow.generated.fleet import Fleet, Route
from catkinhollow.generated.testbed import Execution, OutageMode, StoreFaults
from catkinhollow.testbed.audit import AuditReport, audit
from catkinhollow.testbed.callers import (
    CallerGroup,
    CallKind,
    CallLog,
    CallRecord,
    CallResult,
)
from catkinhollow.testbed.cluster import Node, NodeSpec
from catkinhollow.testbed.daemon_logs import now_ms
from catkinhollow.testbed.deployment import BenchError, Deployment, open_deployment
from catkinhollow.testbed.measures import ROOT, Recorder
from catkinhollow.testbed.observations import (
    ROUTING_OBJECTIVE_MS,
    open_store,
    read_executions,
    wait_accepted,
)

DOMAINS = ("domain-a", "domain-b", "domain-c")
REMOVED_DOMAIN = DOMAINS[1]
ACCEPT_LIMIT_S = 15.0
KILL_AFTER_S = 1.0
RESTART_AFTER_S = 0.5
# The store outage ends this long before the domain returns, as the return
# needs a write to the store.
STORE_RECOVERY_S = 2.0
SLOTS = 10


@frozen(kw_only=True)
class DomainTimes:
    """Represent the Unix times of the changes in one run."""

    began_ms: float
    out_ms: float
    in_ms: float
    ended_ms: float


def make_call_kinds(fleet: Fleet, rates: dict[str, float]) -> list[CallKind]:
    """Return a kind of call for each route and backer."""
    routes: dict[str, list[Route]] = {}
    for route in fleet.routes:
        routes.setdefault(route.service, []).append(route)
    return [
        CallKind(
            name=route.name,
            method=route.methods[0].value,
            path=route.path_prefix,
            weight=rates[service.name]
            * backer.share_percent
            / len(routes[service.name]),
            worth=route.worth,
            idempotent=route.idempotent,
            backer=backer.name,
        )
        for service in fleet.services
        if service.name in rates
        for route in routes[service.name]
        for backer in service.backers
    ]


def compute_call_rates(plan: DomainPlan, targets: dict[str, int]) -> dict[str, float]:
    """Return the calls per second of each service.

    At these rates the calls use the planned percentage of the slots outside
    REMOVED_DOMAIN.
    """
    per_target = SLOTS * plan.use_percent / 100 * 1000 / plan.service_ms
    return {
        service: per_target * sum(index % len(DOMAINS) != 1 for index in range(count))
        for service, count in targets.items()
    }


def served_percent(records: Iterable[CallRecord]) -> float:
    """Return the served share of the calls, weighted by their worth."""
    total = served = 0.0
    for record in records:
        total += record.kind.worth
        served += record.kind.worth * (record.result is CallResult.OK)
    return 100 * served / total if total else 0.0


class DomainRunner:
    """Take a failure domain of each deployment out of service and back."""

    def __init__(self, experiment: Experiment, plan: DomainPlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        for deployment_plan in self._plan.deployments:
            fleet = load_example(deployment_plan.example)
            rates = compute_call_rates(self._plan, deployment_plan.targets)
            specs = _specs(deployment_plan.targets, self._plan.service_ms)
            for variant in self._plan.variants:
                random = Random(self._experiment.seed + repeat)
                async with open_deployment(self._experiment) as deployment:
                    nodes = await deployment.start(fleet, specs)
                    measure = _DomainMeasure(deployment, self._plan, nodes)
                    figures = await measure.run(
                        variant,
                        make_call_kinds(fleet, rates),
                        sum(rates.values()),
                        random,
                    )
                record(
                    Point(
                        series=f"{deployment_plan.example}, {variant.value}",
                        size=len(nodes),
                        repeat=repeat,
                        figures=figures,
                    )
                )


class _DomainMeasure:
    """Measure one run of one deployment."""

    def __init__(
        self, deployment: Deployment, plan: DomainPlan, nodes: Sequence[Node]
    ) -> None:
        self._deployment = deployment
        self._cluster = deployment.cluster
        self._plan = plan
        self._nodes = nodes
        self._removed_nodes = [
            node for node in nodes if node.spec.failure_domain == REMOVED_DOMAIN
        ]
        self._store = open_store(self._cluster)
        self._log = CallLog()
        self._codes: list[int] = []

    async def run(
        self,
        variant: DomainVariant,
        kinds: Sequence[CallKind],
        rate_per_s: float,
        random: Random,
    ) -> dict[str, float]:
        """Return the figures of the run."""
        load = os.getloadavg()[0]
        addresses = [node.traffic for node in self._nodes]
        callers = CallerGroup(lambda: addresses, kinds, rate_per_s, random, self._log)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            times = await self._run_changes(variant)
            callers.stop()
        await self._store.aclose()
        removed = await read_executions(self._cluster, self._removed_nodes)
        executions = await read_executions(self._cluster, self._nodes)
        report = audit(self._log, [item.request_id for item in executions])
        return {
            **self._served_figures(times),
            **compute_reached_figures(removed, times),
            **_audit_figures(report),
            **self._refusal_figures(times),
            "commands_failed": sum(code != 0 for code in self._codes),
            "calls_per_s": rate_per_s,
            "load_average": load,
        }

    async def _run_changes(self, variant: DomainVariant) -> DomainTimes:
        plan = self._plan
        await trio.sleep(plan.settle_s)
        began_ms = now_ms()
        await trio.sleep(plan.before_s)
        out_ms = await self._change_domain("out", variant)
        await self._inject_fault(variant)
        await trio.sleep(plan.out_s - (now_ms() - out_ms) / 1000)
        in_ms = await self._change_domain("in", DomainVariant.GRACEFUL)
        await trio.sleep(plan.after_s)
        return DomainTimes(
            began_ms=began_ms, out_ms=out_ms, in_ms=in_ms, ended_ms=now_ms()
        )

    async def _change_domain(self, direction: str, variant: DomainVariant) -> float:
        is_out = direction == "out"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_command, direction)
            accepted_ms = await wait_accepted(
                self._store,
                lambda fleet: (REMOVED_DOMAIN in fleet.failure_domains_out) is is_out,
                ACCEPT_LIMIT_S,
            )
            if variant is DomainVariant.STORE_OUT:
                faults = StoreFaults(outage=OutageMode.REFUSE)
                await self._deployment.set_store_faults(faults)
        return accepted_ms

    async def _run_command(self, direction: str) -> None:
        code = await self._cluster.run_command("domain", direction, REMOVED_DOMAIN)
        self._codes.append(code)

    async def _inject_fault(self, variant: DomainVariant) -> None:
        match variant:
            case DomainVariant.DAEMON_KILLED:
                await trio.sleep(KILL_AFTER_S)
                node = self._nodes[0]
                self._deployment.kill(node)
                await trio.sleep(RESTART_AFTER_S)
                self._cluster.start_daemon(node)
            case DomainVariant.STORE_OUT:
                await trio.sleep(self._plan.out_s - STORE_RECOVERY_S)
                await self._deployment.set_store_faults(StoreFaults())

    def _records_between(self, start_ms: float, end_ms: float) -> list[CallRecord]:
        # The records of callers have times of the trio clock.
        offset_ms = now_ms() - trio.current_time() * 1000
        return self._log.between(
            (start_ms - offset_ms) / 1000, (end_ms - offset_ms) / 1000
        )

    def _served_figures(self, times: DomainTimes) -> dict[str, float]:
        spans = {
            "before": (times.began_ms, times.out_ms),
            "during": (times.out_ms, times.in_ms),
            "after": (times.in_ms, times.ended_ms),
            "change": (times.out_ms, times.ended_ms),
        }
        figures = {}
        for name, span in spans.items():
            records = self._records_between(*span)
            figures[f"served_{name}_percent"] = served_percent(records)
            figures[f"calls_{name}"] = len(records)
        return figures

    def _refusal_figures(self, times: DomainTimes) -> dict[str, float]:
        # Leave out calls before the measured time: cold targets refuse some.
        reasons = Counter(
            f"not run: {record.refusal}" if record.refusal else str(record.result)
            for record in self._records_between(times.began_ms, times.ended_ms)
            if record.result is not CallResult.OK
        )
        return {f"calls {reason}": count for reason, count in reasons.items()}


def compute_reached_figures(
    removed: Iterable[Execution], times: DomainTimes
) -> dict[str, float]:
    """Return how long calls still reached the domain out of service."""
    starts_ms = [
        item.start_ms for item in removed if times.out_ms < item.start_ms < times.in_ms
    ]
    last_ms = max(starts_ms, default=times.out_ms)
    return {
        "reached_later_than_2_s": sum(
            start_ms > times.out_ms + ROUTING_OBJECTIVE_MS for start_ms in starts_ms
        ),
        "last_new_call_ms": last_ms - times.out_ms,
        "reached_after_return": sum(item.start_ms >= times.in_ms for item in removed),
    }


def _audit_figures(report: AuditReport) -> dict[str, float]:
    return {
        "requests": report.requests,
        "lost": report.lost,
        "duplicated": report.duplicated,
        "wrong_answer": report.wrong_answer,
        "false_not_run": report.false_not_run,
        "unknown": report.unknown,
    }


def load_example(name: str) -> Fleet:
    """Return the configuration of an example.

    Raise BenchError if it is not valid.
    """
    directory = ROOT / "examples" / name
    files = [directory / "fleet.yaml", directory / "routes.yaml"]
    loaded = load_fleet([path for path in files if path.exists()])
    if loaded.is_error():
        raise BenchError(f"the example {name} is not valid")
    return loaded.ok


def _specs(targets: dict[str, int], service_ms: float) -> list[NodeSpec]:
    options = {
        "slots": str(SLOTS),
        "service-ms": f"{service_ms:g}",
        "warmup-s": "2",
    }
    return [
        NodeSpec(
            name=f"{service}-{index}",
            service=service,
            version="v1",
            failure_domain=DOMAINS[index % len(DOMAINS)],
            target_options=options,
        )
        for service, count in targets.items()
        for index in range(count)
    ]
