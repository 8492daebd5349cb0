"""Read YAML files and record the line of each value."""

from collections.abc import Callable, Iterator, Mapping
from math import isfinite
from pathlib import Path
from typing import Any

from attrs import define, field, frozen
from expression import Error, Ok, Result
from yaml import (
    MappingNode,
    MarkedYAMLError,
    Node,
    SafeLoader,
    ScalarNode,
    SequenceNode,
    YAMLError,
    compose,
)

from catkinhollow.errors import Problem

# Nested aliases can expand a small file without bound. The configuration of a
# fleet with 36 services has fewer than 10,000 values.
MAX_VALUES = 100_000

# Limits the recursion of the builder. The schemas nest values at most 6 deep.
MAX_DEPTH = 50

STRING_TAG = "tag:yaml.org,2002:str"
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"
MERGE_TAG = "tag:yaml.org,2002:merge"
COLLECTION_TAGS = {"tag:yaml.org,2002:map", "tag:yaml.org,2002:seq"}

ValuePath = tuple[str | int, ...]


@frozen(kw_only=True)
class Document:
    """Represent the value of a file and the line of each path in it."""

    file: str
    value: Any
    lines: Mapping[ValuePath, int]

    def line_of(self, path: ValuePath) -> int:
        """Return the line of a path, or of its closest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)

    def problem(self, path: ValuePath, reason: str) -> Problem:
        """Return a problem at a path of this document."""
        return Problem(
            file=self.file,
            line=self.line_of(path),
            path=format_path(path),
            reason=reason,
        )


def format_path(path: ValuePath) -> str:
    """Format a path as text, such as services[0].name."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def parse_path(text: str) -> ValuePath:
    """Parse the text of a path as written by format_path."""
    parts: list[str | int] = []
    for name in text.split(".") if text else ():
        key, *indexes = name.split("[")
        parts.append(key)
        parts.extend(int(index.removesuffix("]")) for index in indexes)
    return tuple(parts)


def read_document(path: Path) -> Result[Document, list[Problem]]:
    """Read a YAML file without explicit tags, merge keys or duplicate keys."""
    file = str(path)
    try:
        root = compose(path.read_bytes(), SafeLoader)
    except OSError as error:
        return Error([Problem(path="", reason=str(error.strerror), file=file)])
    except RecursionError:
        return Error([Problem(path="", reason="nested too deeply", file=file)])
    except YAMLError as error:
        return Error([_syntax_problem(file, error)])
    if root is None:
        return Error([Problem(path="", reason="the file is empty", file=file, line=1)])
    builder = _DocumentBuilder(file)
    value = builder.build(root, ())
    if builder.problems:
        return Error(builder.problems)
    return Ok(Document(file=file, value=value, lines=builder.lines))


def _syntax_problem(file: str, error: YAMLError) -> Problem:
    line = 0
    reason = str(error).splitlines()[0]
    if isinstance(error, MarkedYAMLError):
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 0
        reason = error.problem or reason
    return Problem(path="", reason=f"not valid YAML: {reason}", file=file, line=line)


@define
class _DocumentBuilder:
    """Convert YAML nodes to plain values and collect the problems found."""

    file: str
    lines: dict[ValuePath, int] = field(factory=dict)
    problems: list[Problem] = field(factory=list)
    # IDs of the collections being built, to detect recursive aliases.
    _enclosing: set[int] = field(factory=set)
    _loader: SafeLoader = field(factory=lambda: SafeLoader(""))

    def build(self, node: Node, path: ValuePath) -> Any:
        """Return the plain value of a node."""
        self.lines.setdefault(path, node.start_mark.line + 1)
        if len(self.lines) > MAX_VALUES:
            return self._add_problem(node, (), f"more than {MAX_VALUES} values")
        if len(path) > MAX_DEPTH:
            return self._add_problem(node, (), f"nested more than {MAX_DEPTH} deep")
        if isinstance(node, ScalarNode):
            return self._build_scalar(node, path)
        if node.tag not in COLLECTION_TAGS:
            return self._add_problem(node, path, f"the tag {node.tag} is not supported")
        if id(node) in self._enclosing:
            return self._add_problem(
                node, path, "an alias refers to a value that encloses it"
            )
        self._enclosing.add(id(node))
        value = self._build_collection(node, path)
        self._enclosing.remove(id(node))
        return value

    def _build_collection(self, node: Node, path: ValuePath) -> Any:
        if isinstance(node, SequenceNode):
            return [
                self.build(item, (*path, index))
                for index, item in enumerate(node.value)
            ]
        assert isinstance(node, MappingNode)
        return {
            key: self.build(item, (*path, key))
            for key, item in self._iterate_items(node, path)
        }

    def _iterate_items(
        self, node: MappingNode, path: ValuePath
    ) -> Iterator[tuple[str, Node]]:
        first_lines: dict[str, int] = {}
        for key_node, item in node.value:
            line = key_node.start_mark.line + 1
            if key_node.tag == MERGE_TAG:
                self._add_problem(key_node, path, "merge keys (<<) are not supported")
            elif key_node.tag != STRING_TAG:
                self._add_problem(
                    key_node, path, "a key must be text; write it in quotes"
                )
            elif key_node.value in first_lines:
                first_line = first_lines[key_node.value]
                reason = f"the key is already set on line {first_line}"
                self._add_problem(key_node, (*path, key_node.value), reason)
            else:
                first_lines[key_node.value] = line
                self.lines[*path, key_node.value] = line
                yield key_node.value, item

    def _build_scalar(self, node: ScalarNode, path: ValuePath) -> Any:
        if node.tag != _resolve_implicit_tag(self._loader, node):
            return self._add_problem(node, path, f"the tag {node.tag} is not supported")
        if node.tag == TIMESTAMP_TAG:
            return node.value
        try:
            value = self._loader.construct_object(node)
        except (ValueError, YAMLError):
            return self._add_problem(node, path, f"'{node.value}' is not a valid value")
        if isinstance(value, float) and not isfinite(value):
            return self._add_problem(node, path, f"{node.value} is not a finite number")
        return value

    def _add_problem(self, node: Node, path: ValuePath, reason: str) -> None:
        line = node.start_mark.line + 1
        problem = Problem(
            path=format_path(path), reason=reason, file=self.file, line=line
        )
        if problem not in self.problems:
            self.problems.append(problem)


def _resolve_implicit_tag(loader: SafeLoader, node: ScalarNode) -> str:
    plain = node.style is None
    # The type stubs of PyYAML leave resolve untyped.
    resolve: Callable[..., str] = loader.resolve
    return resolve(ScalarNode, node.value, (plain, not plain))
