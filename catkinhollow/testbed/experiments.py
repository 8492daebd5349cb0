"""Read and validate experiment files."""

from pathlib import Path

from attrs import frozen
from expression import Error, Ok, Result

from catkinhollow.codec import from_plain
from catkinhollow.configuration.documents import Document, read_document
from catkinhollow.configuration.schema_check import find_schema_problems
from catkinhollow.errors import Problem
from catkinhollow.generated.bench import Experiment

DIRECTORY = Path(__file__).resolve().parent.parent.parent / "experiments"
PLANS = ("hop", "convergence", "rest", "storm", "domain", "move")


@frozen(kw_only=True)
class NamedExperiment:
    """Represent a validated experiment and its name."""

    name: str
    experiment: Experiment


def list_experiments(directory: Path = DIRECTORY) -> list[str]:
    """Return the names of the experiments in a directory."""
    return sorted(path.stem for path in directory.glob("*.yaml"))


def load_experiment(
    name: str, directory: Path = DIRECTORY
) -> Result[NamedExperiment, list[Problem]]:
    """Return an experiment by its name, or all problems of its file."""
    if name not in list_experiments(directory):
        known = ", ".join(list_experiments(directory)) or "none"
        return Error([Problem(path="", reason=f"no experiment {name!r}; have {known}")])
    return (
        read_document(directory / f"{name}.yaml")
        .bind(_check)
        .map(lambda experiment: NamedExperiment(name=name, experiment=experiment))
    )


def _check(document: Document) -> Result[Experiment, list[Problem]]:
    problems = find_schema_problems(document, "bench.yaml", "Experiment")
    if problems:
        return Error(problems)
    plans = [plan for plan in PLANS if plan in document.value]
    if len(plans) != 1:
        reason = f"exactly one of {', '.join(PLANS)} is needed"
        path = (plans[1],) if plans else ()
        return Error([document.problem(path, reason)])
    decoded = from_plain(document.value, Experiment)
    if decoded.is_error():
        return Error([document.problem((), decoded.error.reason)])
    return Ok(decoded.ok)
