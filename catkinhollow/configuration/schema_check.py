"""Validate documents against a definition of a schema file."""

from collections.abc import Callable, Iterator
from difflib import get_close_matches
from functools import cache
from importlib.resources import files
from typing import Any

from jsonschema import Draft202012Validator, ValidationError
from jsonschema.validators import extend
from referencing import Registry, Resource
from yaml import safe_load

from catkinhollow.configuration.documents import Document, ValuePath
from catkinhollow.errors import Problem

TYPE_DESCRIPTIONS = {
    "object": "a mapping",
    "array": "a list",
    "string": "text",
    "number": "a number",
    "integer": "a whole number",
    "boolean": "true or false",
    "null": "null",
}

# JSON Schema accepts 2.0 as an integer, but the decoder of the daemons does
# not.
TYPE_CHECKER = Draft202012Validator.TYPE_CHECKER.redefine(
    "integer",
    lambda _, value: isinstance(value, int) and not isinstance(value, bool),
)
# The type stubs of jsonschema leave extend untyped.
_extend: Callable[..., type[Draft202012Validator]] = extend
STRICT_VALIDATOR = _extend(Draft202012Validator, type_checker=TYPE_CHECKER)


@cache
def load_schema(schema_file: str) -> Any:
    """Return the parsed content of a schema file of the package."""
    text = files("catkinhollow.schema").joinpath(schema_file).read_text()
    return safe_load(text)


def find_schema_problems(
    document: Document, schema_file: str, definition: str
) -> list[Problem]:
    """Return the schema violations of a document in line order."""
    schema = load_schema(schema_file)
    registry: Registry[Any] = Registry().with_resource(
        schema_file, Resource.from_contents(schema)
    )
    validator = STRICT_VALIDATOR(
        {"$ref": f"{schema_file}#/$defs/{definition}"}, registry=registry
    )
    pattern_descriptions = schema.get("x-pattern-words", {})
    problems = [
        document.problem(path, reason)
        for error in validator.iter_errors(document.value)
        for path, reason in _describe_error(error, pattern_descriptions)
    ]
    return sorted(problems, key=lambda problem: problem.line)


def _describe_error(
    error: ValidationError, pattern_descriptions: dict[str, str]
) -> Iterator[tuple[ValuePath, str]]:
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _describe_unknown_keys(error, path)
    elif error.validator == "required":
        # jsonschema reports each missing key as an error of its own and names
        # the key only in the message.
        yield path, f"{error.message.split(' is a required')[0]} is missing"
    elif error.validator == "pattern":
        description = pattern_descriptions.get(
            str(error.validator_value), error.message
        )
        yield path, f"{error.instance!r} must be {description}"
    else:
        yield path, _describe_limit(error)


def _describe_unknown_keys(
    error: ValidationError, path: ValuePath
) -> Iterator[tuple[ValuePath, str]]:
    schema: Any = error.schema
    instance: Any = error.instance
    allowed = list(schema.get("properties", {}))
    for key in instance:
        if key in allowed:
            continue
        matches = get_close_matches(key, allowed, n=1)
        hint = f"; did you mean '{matches[0]}'?" if matches else ""
        yield (*path, key), f"the key '{key}' is not known{hint}"


def _describe_limit(error: ValidationError) -> str:
    limit: Any = error.validator_value
    value: Any = error.instance
    match error.validator:
        case "type":
            return (
                f"must be {TYPE_DESCRIPTIONS[limit]}, but is {_describe_value(value)}"
            )
        case "enum":
            return f"{_describe_value(value)} is not one of {', '.join(limit)}"
        case "minimum":
            return f"{value} is less than {limit}"
        case "exclusiveMinimum":
            return f"{value} is not greater than {limit}"
        case "maximum":
            return f"{value} is greater than {limit}"
        case "minLength":
            return f"has {len(value)} characters; {limit} are needed"
        case "maxLength":
            return f"has {len(value)} characters; {limit} are allowed"
        case "maxItems":
            return f"has {len(value)} entries; {limit} are allowed"
        case _:
            return error.message


def _describe_value(value: Any) -> str:
    match value:
        case None:
            return "empty"
        case bool():
            return str(value).lower()
        case str():
            return f"the text {value!r}"
        case dict():
            return "a mapping"
        case list():
            return "a list"
        case _:
            return str(value)
