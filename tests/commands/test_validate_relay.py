"""Tests of the check of relay configurations."""

import json

import pytest

from catkinhollow.commands.application import run

GOOD = {
    "version": 1,
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path_prefix": "/a/",
            "service": "stock",
            "allow_anonymous": True,
        }
    ],
    "services": [{"name": "stock"}],
    "organisations": [{"name": "mill", "keys": ["s3cret"], "priority": 0}],
}


@pytest.mark.parametrize(
    ("changes", "code", "text"),
    [
        ({}, 0, "1 services, 1 routes, 1 organisations"),
        ({"organisations": [{"name": "m", "keys": ["s3cret"] * 2}]}, 1, "twice"),
        ({"organisations": [{"name": "m", "priority": -1}]}, 1, "priority"),
        ({"organisations": [{"keys": ["s3cret"]}]}, 1, "name"),
    ],
)
def test_organisations_are_validated(tmp_path, capsys, changes, code, text):
    """Guards against versions that only the daemons refuse."""
    path = tmp_path / "configuration.yaml"
    path.write_text(json.dumps({**GOOD, **changes}))
    assert run(["", "validate", str(path), "--relay"]) == code
    output = capsys.readouterr()
    assert text in output.out + output.err
    assert "s3cret" not in output.out + output.err
