"""Run experiments, and report and compare their results."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from cleo.exceptions import CleoValueError
from cleo.helpers import argument, option

from catkinhollow.commands.base import BaseCommand
from catkinhollow.commands.exit_codes import ExitCode

INCOMPLETE = 1

if TYPE_CHECKING:
    from catkinhollow.testbed.compare import Comparison, Unmatched


class BenchRunCommand(BaseCommand):
    """Run one experiment."""

    name = "bench run"
    description = "Run an experiment on real processes on loopback."
    arguments = [argument("name", "Name of a file in experiments/, without .yaml.")]
    options = [
        option(
            "repeat", None, "Number of times that the experiment is run.", flag=False
        ),
        option("out", None, "Directory of the result.", flag=False, default="out"),
    ]

    def handle(self) -> int:
        """Run the experiment and return 1 if it is incomplete."""
        from attrs import evolve

        from catkinhollow.testbed.bench import run_bench
        from catkinhollow.testbed.experiments import load_experiment

        loaded = load_experiment(self.argument("name"))
        if loaded.is_error():
            return self.print_problems(loaded.error)
        repeat = self._read_repeat(loaded.ok.experiment.repeat)
        experiment = evolve(loaded.ok.experiment, repeat=repeat)
        named_experiment = evolve(loaded.ok, experiment=experiment)
        failure = run_bench(named_experiment, Path(self.option("out")), self.print_line)
        if failure:
            self.print_error(failure)
            return INCOMPLETE
        return ExitCode.OK

    def _read_repeat(self, default: int) -> int:
        text = self.option("repeat")
        if text is None:
            return default
        if not text.isdecimal() or not int(text):
            raise CleoValueError("--repeat must be a whole number above 0")
        return int(text)


class BenchReportCommand(BaseCommand):
    """Write reports of results."""

    name = "bench report"
    description = "Write a table and a plot beside each result in a directory."
    arguments = [argument("directory", "Directory of results or one result file.")]

    def handle(self) -> int:
        """Write a table and a plot for each result."""
        from catkinhollow.testbed.report import write_report
        from catkinhollow.testbed.results import read_results

        path = Path(self.argument("directory"))
        results = read_results(path)
        if results.is_error():
            return self.print_problems(results.error)
        directory = path if path.is_dir() else path.parent
        for result in results.ok:
            for written in write_report(result, directory):
                self.print_line(str(written))
        return ExitCode.OK


class BenchCompareCommand(BaseCommand):
    """Compare the results of two versions."""

    name = "bench compare"
    description = "Show the ratio of each figure between two results."
    arguments = [
        argument("old", "Result or directory of the older version."),
        argument("new", "Result or directory of the newer version."),
    ]

    def handle(self) -> int:
        """Print one row for each figure."""
        from catkinhollow.testbed.compare import compare
        from catkinhollow.testbed.results import read_results

        old = read_results(Path(self.argument("old")))
        new = read_results(Path(self.argument("new")))
        for results in (old, new):
            if results.is_error():
                return self.print_problems(results.error)
        rows = [_build_row(item) for item in compare(old.ok, new.ok)]
        if not rows:
            self.print_error("the results have no experiment in common")
            return ExitCode.INVALID
        headers = ["experiment", "series", "size", "figure", "old", "new", "ratio"]
        self.print_table(headers, rows)
        return ExitCode.OK


def _build_row(item: Comparison | Unmatched) -> list[str]:
    from catkinhollow.testbed.compare import Comparison

    key = item.key
    name = [item.experiment, key.series, str(key.size), key.figure]
    if not isinstance(item, Comparison):
        return [*name, "", "", "only one side"]
    ratio = "-" if item.ratio is None else f"{item.ratio:.3f}"
    return [*name, f"{item.old:.4g}", f"{item.new:.4g}", ratio]
