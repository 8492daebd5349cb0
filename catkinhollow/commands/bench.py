"""Run experiments, and report and compare their results."""

from __future__ import annotations

from pathlib import Path

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode

INCOMPLETE = 1


class BenchRunCommand(BaseCommand):
    """Run one experiment."""

    name = "bench run"
    description = "Run an experiment on real processes on loopback."
    arguments = [argument("name", "Name of a file in experiments/, without .yaml.")]
    options = [
        option("repeat", None, "Times that everything is run.", flag=False),
        option("out", None, "Directory of the result.", flag=False, default="out"),
    ]

    def handle(self) -> int:
        """Return 1 if the run did not come to its end."""
        from attrs import evolve

        from catkinhollow.testbed.bench import run_bench
        from catkinhollow.testbed.experiments import load_experiment

        loaded = load_experiment(self.argument("name"))
        if loaded.is_error():
            return self.print_problems(loaded.error)
        repeat = self._repeat(loaded.ok.experiment.repeat)
        experiment = evolve(loaded.ok.experiment, repeat=repeat)
        named = evolve(loaded.ok, experiment=experiment)
        failure = run_bench(named, Path(self.option("out")), self.print_line)
        if failure:
            self.print_error(failure)
            return INCOMPLETE
        return ExitCode.OK

    def _repeat(self, default: int) -> int:
        text = self.option("repeat")
        if text is None:
            return default
        if not text.isdecimal() or not int(text):
            raise CleoValueError("--repeat is a whole number above 0")
        return int(text)
