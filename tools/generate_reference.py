"""Generate the reference of the settings and of the fleet files."""

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import yaml

ROOT = Path(__file__).resolve().parent.parent
SCHEMA_DIR = ROOT / "catkinhollow" / "schema"
REFERENCE = ROOT / "docs" / "settings.md"

INTRODUCTION = """\
# Reference of settings and fleet files

Generated from `catkinhollow/schema/` by `tools/generate_reference.py`; do not
edit.

Files are YAML with plain values: no tags, no merge keys, no key twice. Anchors
and aliases are allowed. An unknown key, a wrong type or a value out of bounds
refuses the whole file, with file, line and reason.
"""
SETTINGS_INTRODUCTION = """\
## Settings of a daemon

One file for each daemon: `catkinhollow daemon --settings FILE`. The command
`catkinhollow settings show FILE` prints the value of each setting in force and
where it comes from. No two listeners share an address, and
`lease.renew_interval_s` < `lease.stop_deciding_s` < `lease.takeover_s`.
"""
RELAY_INTRODUCTION = """\
## Settings of a relay daemon

On the users' platform: the platform fills the values into `deploy/daemon.yaml`
and puts the result where the variable `CATKINHOLLOW_SETTINGS` says. The file is
read again on SIGHUP and every 2 s; a changed `grace_s` holds at once, other
values from the next start.
"""
FLEET_INTRODUCTION = """\
## Fleet files

One or several files, checked by `catkinhollow validate FILE...` and put in
force by `catkinhollow apply FILE...`. The lists of all files are joined;
`defaults` are in one file only. Within one fleet the names of services, of
routes and of exceptions are unique, no two routes have the same method and
path prefix, and no two exceptions replace one setting for the same scope.
"""


def build_reference() -> str:
    """Return the text of the reference."""
    parts = [
        INTRODUCTION,
        SETTINGS_INTRODUCTION,
        *_describe_all("settings.yaml", "Settings"),
        RELAY_INTRODUCTION,
        *_describe_all("relay.yaml", "RelaySettings"),
        FLEET_INTRODUCTION,
        *_describe_all("fleet.yaml", "Fleet"),
    ]
    return "\n".join(parts)


def _describe_all(schema_file: str, root: str) -> Iterator[str]:
    schema = yaml.safe_load((SCHEMA_DIR / schema_file).read_text())
    words = schema.get("x-pattern-words", {})
    definitions = schema["$defs"]
    for name in _reachable(definitions, root):
        if "properties" in definitions[name]:
            yield _describe(name, definitions, words)


def _reachable(definitions: dict[str, Any], root: str) -> list[str]:
    names = [root]
    for name in names:
        for item in definitions[name].get("properties", {}).values():
            target = _target(item) or _target(item.get("items", {}))
            if target and target not in names:
                names.append(target)
    return names


def _describe(name: str, definitions: dict[str, Any], words: dict[str, str]) -> str:
    definition = definitions[name]
    required = definition.get("required", [])
    lines = [
        f"### {name}\n",
        definition["description"] + "\n",
        "| key | type | limits | default | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for key, item in definition["properties"].items():
        cells = [
            f"`{key}`",
            _type_words(item, definitions),
            _limit_words(item, definitions, words),
            "required" if key in required else _default_words(item),
            item.get("description", ""),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _target(item: dict[str, Any]) -> str:
    return str(item.get("$ref", "")).removeprefix("#/$defs/")


def _type_words(item: dict[str, Any], definitions: dict[str, Any]) -> str:
    if item.get("type") == "array":
        return f"list of {_type_words(item['items'], definitions)}"
    target = _target(item)
    if target and "properties" in definitions[target]:
        return f"[{target}](#{target.lower()})"
    return str(definitions[target]["type"] if target else item["type"])


def _limit_words(
    item: dict[str, Any], definitions: dict[str, Any], words: dict[str, str]
) -> str:
    target = _target(item)
    if target and "enum" in definitions[target]:
        item = {**definitions[target], **item}
    if item.get("type") == "array":
        entries = _limit_words(item["items"], definitions, words)
        size = f"at most {item['maxItems']} entries" if "maxItems" in item else ""
        return "; ".join(part for part in (size, entries) if part)
    limits = [
        ("minimum", "at least {}"),
        ("exclusiveMinimum", "more than {}"),
        ("maximum", "at most {}"),
        ("minLength", "at least {} characters"),
        ("maxLength", "at most {} characters"),
    ]
    parts = [text.format(item[key]) for key, text in limits if key in item]
    if "enum" in item:
        parts.append("one of " + ", ".join(f"`{value}`" for value in item["enum"]))
    if "pattern" in item:
        parts.append(words[item["pattern"]])
    return ", ".join(parts)


def _default_words(item: dict[str, Any]) -> str:
    default = item["default"]
    if default in ({}, []):
        return "the defaults below" if default == {} else "none"
    if default == "":
        return "empty"
    return f"`{yaml.safe_dump(default, default_flow_style=True).splitlines()[0]}`"


if __name__ == "__main__":
    REFERENCE.write_text(build_reference())
