"""Tests of reading YAML files with line numbers."""

from pathlib import Path
from tempfile import TemporaryDirectory

import pytest
import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinhollow.configuration.documents import format_path, parse_path, read_document

KEYS = st.text("abcxyz_", min_size=1, max_size=4)
SCALARS = st.none() | st.booleans() | st.integers() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda items: (
        st.lists(items, max_size=3) | st.dictionaries(KEYS, items, max_size=3)
    ),
    max_leaves=12,
)
SYNTAX = st.text("a1:-[]{}&*!<>|#'\"\n ,.~", max_size=40)


def read(text):
    with TemporaryDirectory() as directory:
        path = Path(directory) / "x.yaml"
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return read_document(path)


@settings(derandomize=True, deadline=None)
@given(st.dictionaries(KEYS, VALUES, min_size=1, max_size=4))
def test_values_and_key_lines_are_those_of_the_file(value):
    """Guards against values that differ from YAML's, and wrong lines."""
    text = yaml.safe_dump(value, default_flow_style=False, allow_unicode=True)
    document = read(text).ok
    assert document.value == value
    for key in value:
        line = text.splitlines()[document.line_of((key,)) - 1]
        assert yaml.safe_load(line.split(":")[0]) == yaml.safe_load(key)
    for path in document.lines:
        assert parse_path(format_path(path)) == path


@settings(derandomize=True, deadline=None, max_examples=300)
@given(SYNTAX | st.binary(max_size=20))
def test_any_file_is_a_value_or_problems(text):
    """Guards against a file whose content makes the reader raise."""
    result = read(text)
    assert result.is_ok() or result.error


@pytest.mark.parametrize(
    ("text", "line", "reason"),
    [
        ("a: 1\nb:\n  c: 1\n  c: 2\n", 4, "already set on line 3"),
        ("a: &x\n  b: *x\n", 1, "refers to a value that encloses it"),
        ("a: 1\nb: !!python/name:os.system\n", 2, "is not supported"),
        ("a: 1\nb: !!timestamp x\n", 2, "is not supported"),
        ("a: 1\n2: b\n", 2, "a key must be text"),
        ("a: 0b_\n", 1, "not a valid value"),
        ("a: 1\n---\nb: 1\n", 2, "not valid YAML"),
        ("", 1, "is empty"),
        ("[" * 3000, 0, "nested too deeply"),
        ("[" * 120 + "]" * 120, 1, "nested more than 50 deep"),
        (
            "".join(
                f"a{n}: &a{n} [{f'*a{n - 1},' * 10 if n else ''}]\n" for n in range(9)
            ),
            0,
            "values",
        ),
    ],
)
def test_refused_content_has_line_and_reason(text, line, reason):
    """Guards against content that is valid YAML but unusable for daemons."""
    problems = read(text).error
    assert any(reason in problem.reason for problem in problems)
    assert line in (0, problems[0].line)


def test_dates_stay_text():
    """Guards against a version such as 2026-12-04 that is read as a date."""
    assert read("a: 2026-12-04\n").ok.value == {"a": "2026-12-04"}
