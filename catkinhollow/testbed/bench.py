"""Run an experiment up to its time limit and write its figures."""

import signal
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Protocol

import trio
from attrs import define, field

from catkinhollow.codec import encode_json
from catkinhollow.generated.bench import BenchResult, Experiment, Point
from catkinhollow.testbed.convergence_bench import ConvergenceRunner
from catkinhollow.testbed.deployment import BenchError
from catkinhollow.testbed.domain_bench import DomainRunner
from catkinhollow.testbed.experiments import NamedExperiment
from catkinhollow.testbed.hop_bench import HopRunner
from catkinhollow.testbed.measures import Recorder, read_commit, read_machine
from catkinhollow.testbed.move_bench import MoveRunner
from catkinhollow.testbed.rest_bench import RestRunner
from catkinhollow.testbed.storm_bench import StormRunner

Printer = Callable[[str], None]


class ExperimentRunner(Protocol):
    """Measure one kind of experiment."""

    async def run(self, repeat: int, record: Recorder) -> None:
        """Record the points of one repeat."""


def make_runner(experiment: Experiment) -> ExperimentRunner:
    """Return the runner for the plan of an experiment."""
    if experiment.hop is not None:
        return HopRunner(experiment, experiment.hop)
    if experiment.convergence is not None:
        return ConvergenceRunner(experiment, experiment.convergence)
    if experiment.rest is not None:
        return RestRunner(experiment, experiment.rest)
    if experiment.storm is not None:
        return StormRunner(experiment, experiment.storm)
    if experiment.domain is not None:
        return DomainRunner(experiment, experiment.domain)
    if experiment.move is not None:
        return MoveRunner(experiment, experiment.move)
    raise AssertionError("the experiment was not checked")


@define
class Bench:
    """Run the repeats of one experiment and write the result."""

    _named: NamedExperiment
    _path: Path
    _print: Printer
    _points: list[Point] = field(factory=list)
    _failure: str = ""

    async def run(self) -> str:
        """Run the experiment.

        Return why it ended early, or an empty text if it is complete.
        """
        started = datetime.now(UTC).isoformat(timespec="seconds")
        machine, commit = read_machine(), read_commit()
        experiment = self._named.experiment

        def write(complete: bool) -> None:
            result = BenchResult(
                experiment=self._named.name,
                commit=commit,
                started=started,
                complete=complete,
                machine=machine,
                settings=experiment,
                points=self._points,
            )
            self._path.write_bytes(encode_json(result) + b"\n")

        self._failure = f"the limit of {experiment.limit_s:g} s has passed"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_signal, nursery.cancel_scope)
            with trio.move_on_after(experiment.limit_s):
                await self._run_repeats(write)
            nursery.cancel_scope.cancel()
        write(not self._failure)
        return self._failure

    async def _run_repeats(self, write: Callable[[bool], None]) -> None:
        runner = make_runner(self._named.experiment)

        def record(point: Point) -> None:
            self._points.append(point)
            self._print(f"{point.series}, size {point.size}, repeat {point.repeat}")
            write(False)

        try:
            for repeat in range(self._named.experiment.repeat):
                await runner.run(repeat, record)
        except BenchError as error:
            self._failure = str(error)
        else:
            self._failure = ""

    async def _cancel_on_signal(self, scope: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for number in signals:
                self._failure = f"stopped by {signal.Signals(number).name}"
                scope.cancel()
                return


def run_bench(named: NamedExperiment, directory: Path, print_line: Printer) -> str:
    """Run an experiment and write its result to a directory.

    Return why it ended early, or an empty text if it is complete.
    """
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{named.name}.json"
    return trio.run(Bench(named, path, print_line).run)
