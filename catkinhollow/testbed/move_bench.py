"""Measure moves to working and to faulty target versions."""

import os
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime, timedelta
from random import Random

import trio
from attrs import frozen

from catkinhollow.codec import from_plain
from catkinhollow.control.moves import TERMINAL_STATES
from catkinhollow.generated.bench import Experiment, FaultPlan, Mode, MovePlan, Point
from catkinhollow.generated.fleet import Fleet, Move, MoveState
from catkinhollow.generated.testbed import Execution, FaultMode, TargetFaults
from catkinhollow.testbed.callers import CallerGroup, CallLog
from catkinhollow.testbed.cluster import Node, NodeSpec
from catkinhollow.testbed.daemon_logs import QUARANTINED, read_events
from catkinhollow.testbed.deployment import BenchError, Deployment, open_deployment
from catkinhollow.testbed.domain_bench import DOMAINS, load_example, make_call_kinds
from catkinhollow.testbed.measures import Recorder
from catkinhollow.testbed.observations import (
    ROUTING_OBJECTIVE_MS,
    open_store,
    read_executions,
    wait_accepted,
)

EXAMPLE = "board"
SERVICE = "readings"
OLD, NEW = "v1", "v2"
SPLIT_LIMIT_S = 30.0
# Time for new targets to be announced and warm before the move starts.
WARMUP_S = 3.0
# The final state reaches the store at the latest shortly after the deadline.
GRACE_S = 5.0
# Calls continue after the move, to show whether any reach a withdrawn version.
AFTER_S = 3.0
POLL_S = 0.1
SLOW_FACTOR = 10.0
MIN_SERVER_ERROR = 500


@frozen(kw_only=True)
class MoveTrace:
    """Represent a move and its executions, with Unix times."""

    move: Move
    old: Sequence[Execution]
    new: Sequence[Execution]
    quarantined_ms: Sequence[float]
    slow_ms: float
    """Duration from which an execution counts as faulty, in milliseconds."""

    @property
    def withdrawn_ms(self) -> float:
        """Return when the first daemon quarantined the version.

        Without a quarantine, return the end of the move.
        """
        return min(self.quarantined_ms, default=self.move.ended_ms)

    @property
    def evidence_ms(self) -> float | None:
        """Return the end of the first faulty call to the new version."""
        return min(
            (item.end_ms for item in self.new if self._is_faulty(item)), default=None
        )

    def figures(self) -> dict[str, float]:
        """Return the figures of the move."""
        move, state = self.move, self.move.state
        ended_ms = move.ended_ms or move.deadline_ms
        new, old = (
            self._count_before_withdrawal(items) for items in (self.new, self.old)
        )
        faulty = [item for item in self.new if self._is_faulty(item)]
        figures: dict[str, float] = {
            "done": int(state is MoveState.DONE),
            "withdrawn": int(state is MoveState.WITHDRAWN),
            "took_s": (ended_ms - move.started_ms) / 1000,
            "before_deadline_s": (move.deadline_ms - ended_ms) / 1000,
            "service_calls": new + old,
            "new_version_calls": new,
            "reached_percent": 100 * new / max(1, new + old),
            "calls_before_the_move": sum(
                item.start_ms < move.started_ms for item in self.new
            ),
            "struck_calls": len(faulty),
            "daemons_that_quarantined": len(self.quarantined_ms),
        }
        if self.quarantined_ms:
            limit_ms = self.withdrawn_ms + ROUTING_OBJECTIVE_MS
            figures["later_than_2_s_after_quarantine"] = self._count_after(limit_ms)
        if self.evidence_ms is not None:
            waited_ms = self.withdrawn_ms - self.evidence_ms
            figures["evidence_to_withdrawal_s"] = waited_ms / 1000
            limit_ms = self.evidence_ms + ROUTING_OBJECTIVE_MS
            figures["later_than_2_s_after_evidence"] = self._count_after(limit_ms)
        return figures

    def _count_before_withdrawal(self, items: Iterable[Execution]) -> int:
        first_ms, last_ms = self.move.started_ms, self.withdrawn_ms
        return sum(first_ms <= item.start_ms <= last_ms for item in items)

    def _count_after(self, limit_ms: float) -> int:
        return sum(item.start_ms > limit_ms for item in self.new)

    def _is_faulty(self, item: Execution) -> bool:
        if not item.end_ms:
            return False
        is_slow = item.end_ms - item.start_ms >= self.slow_ms
        return item.status >= MIN_SERVER_ERROR or is_slow


class MoveRunner:
    """Move a service to each version of the plan, in new deployments."""

    def __init__(self, experiment: Experiment, plan: MovePlan) -> None:
        self._experiment = experiment
        self._plan = plan

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""
        fleet = load_example(EXAMPLE)
        for version in self._plan.versions:
            random = Random(self._experiment.seed + repeat)
            load = os.getloadavg()[0]
            async with open_deployment(self._experiment) as deployment:
                measure = _MoveMeasure(deployment, self._plan, fleet)
                trace = await measure.run(version, random)
            figures = {**trace.figures(), "load_average": load}
            size = 2 * self._plan.targets
            record(
                Point(series=version.name, size=size, repeat=repeat, figures=figures)
            )


class _MoveMeasure:
    """Measure one move."""

    def __init__(self, deployment: Deployment, plan: MovePlan, fleet: Fleet) -> None:
        self._deployment = deployment
        self._cluster = deployment.cluster
        self._plan = plan
        self._fleet = fleet
        self._store = open_store(self._cluster)

    async def run(self, version: FaultPlan, random: Random) -> MoveTrace:
        """Return the trace of the move."""
        old = await self._deployment.start(self._fleet, self._specs(OLD))
        addresses = [node.traffic for node in old]
        rate_per_s = self._plan.rate_per_s
        kinds = make_call_kinds(self._fleet, {SERVICE: rate_per_s})
        callers = CallerGroup(lambda: addresses, kinds, rate_per_s, random, CallLog())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(callers.run)
            await trio.sleep(self._plan.settle_s)
            # Targets of a new version that start before the service has a
            # split would get calls.
            await wait_accepted(self._store, _has_split, SPLIT_LIMIT_S)
            new = self._cluster.add(self._specs(NEW))
            await self._deployment.wait_ready(new)
            addresses += [node.traffic for node in new]
            await trio.sleep(WARMUP_S)
            await self._start_move(version, new)
            move = await self._wait_for_end()
            await trio.sleep(AFTER_S)
            callers.stop()
        await self._store.aclose()
        return MoveTrace(
            move=move,
            old=await read_executions(self._cluster, old),
            new=await read_executions(self._cluster, new),
            quarantined_ms=self._quarantined_ms([*old, *new]),
            slow_ms=self._slow_ms(version),
        )

    async def _start_move(self, version: FaultPlan, new: Sequence[Node]) -> None:
        faults = TargetFaults(
            mode=FaultMode(version.mode.value),
            rate=version.rate,
            slow_factor=SLOW_FACTOR,
            after_s=version.after_s,
            min_load=version.min_load,
            path_prefix=version.path_prefix,
        )
        for node in new:
            await self._cluster.set_faults(node, faults)
        deadline = datetime.now(UTC) + timedelta(seconds=self._plan.deadline_s)
        code = await self._cluster.run_command(
            "move", "start", SERVICE, NEW, "--by", deadline.isoformat()
        )
        if code:
            raise BenchError(f"move start ended with {code}")

    async def _wait_for_end(self) -> Move:
        move = None
        with trio.move_on_after(self._plan.deadline_s + GRACE_S):
            while move is None or move.state not in TERMINAL_STATES:
                await trio.sleep(POLL_S)
                stored = await self._store.get("moves", SERVICE)
                if stored.is_ok():
                    move = from_plain(stored.ok.value, Move).ok
        if move is None:
            raise BenchError("the store did not return the move")
        return move

    def _quarantined_ms(self, nodes: Iterable[Node]) -> list[float]:
        events = [
            [
                event.time_ms
                for event in read_events(self._deployment.log_path(node))
                if event.event == QUARANTINED
            ]
            for node in nodes
        ]
        return [min(times_ms) for times_ms in events if times_ms]

    def _slow_ms(self, version: FaultPlan) -> float:
        if version.mode is not Mode.SLOW:
            return float("inf")
        return self._plan.service_ms * SLOW_FACTOR / 2

    def _specs(self, version: str) -> list[NodeSpec]:
        options = {
            "service-ms": f"{self._plan.service_ms:g}",
            "jitter": f"{self._plan.jitter:g}",
            "warmup-s": "2",
        }
        return [
            NodeSpec(
                name=f"{SERVICE}-{version}-{index}",
                service=SERVICE,
                version=version,
                failure_domain=DOMAINS[index % len(DOMAINS)],
                target_options=options,
            )
            for index in range(self._plan.targets)
        ]


def _has_split(fleet: Fleet) -> bool:
    return any(item.name == SERVICE and item.split for item in fleet.services)
