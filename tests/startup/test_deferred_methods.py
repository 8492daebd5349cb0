"""Tests of the methods of attrs classes that are generated when called."""

import subprocess
import sys
from importlib import import_module

import attrs
import pytest
from attrs import Factory, define, field, frozen

from catkinhollow.startup import deferred_methods
from catkinhollow.startup.deferred_methods import install_deferred_methods

_make = import_module("attr._make")

COMPARE = """
import sys
if sys.argv[1] == "deferred":
    from catkinhollow.startup.deferred_methods import install_deferred_methods
    assert install_deferred_methods()
import msgspec
from catkinhollow.generated import relay
limits = relay.RequestLimits()
route = relay.RelayRoute(name="r", host="h", path_prefix="/", service="s")
one = relay.RelayConfiguration(version=1, routes=[route], limits=limits)
two = msgspec.msgpack.decode(msgspec.msgpack.encode(one), type=type(one))
print(one, one == two, one != two, hash(limits) == hash(two.limits))
"""


@pytest.fixture
def deferred(monkeypatch):
    monkeypatch.setattr(_make, "_ClassBuilder", _make._ClassBuilder)
    assert install_deferred_methods()


def test_methods_do_the_same_as_generated_at_once(deferred):
    """Guards against classes that compare or print differently in a daemon."""

    @frozen(kw_only=True)
    class Point:
        x: int
        y: int = 2
        note: str = field(default="", eq=False, repr=False)

    first, second = Point(x=1, note="a"), Point(x=1, note="b")
    assert first == second
    assert (first != second) is False
    assert hash(first) == hash(second)
    assert first != Point(x=2) and first != (1, 2)
    assert "Point(x=1, y=2)" in repr(first)
    with pytest.raises(attrs.exceptions.FrozenInstanceError):
        first.x = 3
    with pytest.raises(TypeError):
        Point(y=1)
    assert attrs.evolve(first, y=5).y == 5


def test_each_class_generates_its_own_methods(deferred):
    """Guards against methods of a base class in place of a subclass's own."""

    @define
    class Base:
        _a: int
        parts: list[int] = Factory(list)

        def __attrs_post_init__(self) -> None:
            self.parts.append(self._a)

    @define
    class Derived(Base):
        b: int = 0

    assert Derived(1, b=2) == Derived(1, b=2)
    assert Derived(1, b=2) != Derived(1, b=3)
    assert Base(1) == Base(1) and Base(1) != Derived(1)
    assert Base(a=4).parts == [4]
    assert "Derived(_a=1, parts=[1], b=2)" in repr(Derived(1, b=2))
    assert "Base(_a=1, parts=[1])" in repr(Base(1))


def test_reference_to_a_replaced_method_still_works(deferred):
    """Guards against a call of a method that has been replaced meanwhile."""

    @define
    class Point:
        x: int

    bound = Point(1).__eq__
    assert Point(1) == Point(1)
    assert bound(Point(1)) is True and bound(Point(2)) is False


def test_own_methods_are_kept(deferred):
    """Guards against generated methods in place of a class's own."""

    @define
    class Named:
        name: str

        def __repr__(self) -> str:
            return self.name

        def __eq__(self, other: object) -> bool:
            return True

    assert repr(Named("n")) == "n" and Named("a") == Named("b")


def test_generated_messages_are_the_same(tmp_path):
    """Guards against messages that differ between a daemon and the tests."""
    outputs = {
        subprocess.run(
            [sys.executable, "-c", COMPARE, mode],
            capture_output=True,
            check=True,
            text=True,
            timeout=60.0,
        ).stdout
        for mode in ("deferred", "at once")
    }
    assert len(outputs) == 1 and "True False True" in outputs.pop()


def test_other_releases_of_attrs_are_used_as_they_are(monkeypatch):
    """Guards against a daemon that does not start with another attrs."""
    builder = _make._ClassBuilder
    monkeypatch.setitem(deferred_methods._USED_FUNCTIONS, "_add_eq", 5)
    assert not install_deferred_methods()
    monkeypatch.setitem(deferred_methods._USED_FUNCTIONS, "_missing", 1)
    assert not install_deferred_methods()
    assert _make._ClassBuilder is builder
