"""Generate the reference of the settings and the fleet files."""

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

Files are YAML with plain values, without tags, merge keys or duplicate keys.
Anchors and aliases are allowed. A file with an unknown key, a value of the
wrong type or a value out of bounds is refused as a whole; the error names file,
line and reason.
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

On the users' platform, the platform fills the values into `deploy/daemon.yaml`
and writes the result to the path in the environment variable
`CATKINHOLLOW_SETTINGS`. The file is reloaded on SIGHUP and every 2 s; a changed
`grace_s` takes effect immediately, other values at the next start.
"""
ROUTES_INTRODUCTION = """\
## Configuration of relay daemons

One object of the store holds the routes and services of all relay daemons; on
the users' platform it is `config/main`, whose fields `deploy/wire.toml` renames.
`catkinhollow validate FILE... --relay` checks files with such objects. A daemon
refuses a version with an older number, a route to an unknown service, a prefix
without a slash at each end, an organisation listed twice, and a key listed
twice, empty or with spaces.
"""
FLEET_INTRODUCTION = """\
## Fleet files

One or more files, checked by `catkinhollow validate FILE...` and written to the
store by `catkinhollow apply FILE...`. The lists of all files are concatenated;
`defaults` may be set in one file only. Within a fleet the names of services, of
routes and of exceptions are unique, no two routes have the same method and
path prefix, and no two exceptions replace the same setting for the same scope.
"""


def build_reference() -> str:
    """Return the text of the reference."""
    parts = [
        INTRODUCTION,
        SETTINGS_INTRODUCTION,
        *_describe_all("settings.yaml", "Settings"),
        RELAY_INTRODUCTION,
        *_describe_all("relay.yaml", "RelaySettings"),
        ROUTES_INTRODUCTION,
        *_describe_all("relay.yaml", "RelayConfiguration"),
        FLEET_INTRODUCTION,
        *_describe_all("fleet.yaml", "Fleet"),
    ]
    return "\n".join(parts)


def _describe_all(schema_file: str, root: str) -> Iterator[str]:
    schema = yaml.safe_load((SCHEMA_DIR / schema_file).read_text())
    pattern_texts = schema.get("x-pattern-words", {})
    definitions = schema["$defs"]
    for name in _list_reachable(definitions, root):
        if "properties" in definitions[name]:
            yield _describe(name, definitions, pattern_texts)


def _list_reachable(definitions: dict[str, Any], root: str) -> list[str]:
    names = [root]
    for name in names:
        for item in definitions[name].get("properties", {}).values():
            referenced = _referenced_name(item) or _referenced_name(
                item.get("items", {})
            )
            if referenced and referenced not in names:
                names.append(referenced)
    return names


def _describe(
    name: str, definitions: dict[str, Any], pattern_texts: dict[str, str]
) -> str:
    definition = definitions[name]
    required = definition.get("required", [])
    lines = [
        f"### {name}\n",
        definition["description"] + "\n",
        "| key | type | limits | default | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for key, item in definition["properties"].items():
        # A value that may be missing as well is described by its other type.
        item = {**item, **item.get("anyOf", [{}])[0]}
        cells = [
            f"`{key}`",
            _format_type(item, definitions),
            _format_limits(item, definitions, pattern_texts),
            "required" if key in required else _format_default(item),
            item.get("description", ""),
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _referenced_name(item: dict[str, Any]) -> str:
    return str(item.get("$ref", "")).removeprefix("#/$defs/")


def _format_type(item: dict[str, Any], definitions: dict[str, Any]) -> str:
    if item.get("type") == "array":
        return f"list of {_format_type(item['items'], definitions)}"
    referenced = _referenced_name(item)
    if referenced and "properties" in definitions[referenced]:
        return f"[{referenced}](#{referenced.lower()})"
    return str(definitions[referenced]["type"] if referenced else item["type"])


def _format_limits(
    item: dict[str, Any], definitions: dict[str, Any], pattern_texts: dict[str, str]
) -> str:
    referenced = _referenced_name(item)
    if referenced and "enum" in definitions[referenced]:
        item = {**definitions[referenced], **item}
    if item.get("type") == "array":
        entries = _format_limits(item["items"], definitions, pattern_texts)
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
        parts.append(pattern_texts[item["pattern"]])
    return ", ".join(parts)


def _format_default(item: dict[str, Any]) -> str:
    default = item["default"]
    if default is None:
        return "none"
    if default in ({}, []):
        return "the defaults below" if default == {} else "none"
    if default == "":
        return "empty"
    return f"`{yaml.safe_dump(default, default_flow_style=True).splitlines()[0]}`"


if __name__ == "__main__":
    REFERENCE.write_text(build_reference())
