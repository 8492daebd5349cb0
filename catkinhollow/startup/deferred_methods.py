"""Generate the methods of attrs classes when they are first called.

A start creates about 190 attrs classes, a quarter of them in trio. Generating
`__init__`, `__repr__`, `__eq__` and `__hash__` for all of them took a quarter
of its processor time, and a daemon calls few of these methods.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Any

_make: Any = import_module("attr._make")

# attrs offers no public way to generate a method later. A release without
# these functions, with these numbers of parameters, is used as it is.
_USED_FUNCTIONS = {
    "_add_eq": 2,
    "_add_hash": 2,
    "_add_repr": 3,
    "_generate_unique_filename": 2,
    "_linecache_and_compile": 4,
}


def _make_deferred(name: str, generate: Callable[[Any], Any]) -> Callable[..., Any]:
    """Return a method that replaces itself by a generated one."""

    def method(self: Any, *arguments: Any, **named: Any) -> Any:
        owner = next(
            (kind for kind in type(self).__mro__ if vars(kind).get(name) is method),
            None,
        )
        if owner is None:
            # A reference to this method from before its replacement.
            return getattr(type(self), name)(self, *arguments, **named)
        generate(owner)
        return getattr(owner, name)(self, *arguments, **named)

    method.__name__ = name
    return method


_repr = _make_deferred("__repr__", lambda owner: _make._add_repr(owner))
_eq = _make_deferred("__eq__", lambda owner: _make._add_eq(owner))
_hash = _make_deferred(
    "__hash__", lambda owner: _make._add_hash(owner, owner.__attrs_attrs__)
)


class _DeferringBuilder(_make._ClassBuilder):  # type: ignore[misc]
    """Build an attrs class whose methods are generated later."""

    def add_repr(self, ns: str | None) -> Any:
        """Add a deferred `__repr__`."""
        if ns is not None:
            return super().add_repr(ns)
        self._cls_dict["__repr__"] = _repr
        self._repr_added = True
        return self

    def add_eq(self) -> Any:
        """Add a deferred `__eq__`."""
        self._cls_dict["__eq__"] = _eq
        self._cls_dict["__ne__"] = _make.__ne__
        return self

    def add_hash(self) -> Any:
        """Add a deferred `__hash__`, which must not cache its results."""
        if self._cache_hash:
            return super().add_hash()
        self._cls_dict["__hash__"] = _hash
        return self

    def add_init(self) -> Any:
        """Add a deferred `__init__`."""
        self._cls_dict["__init__"] = _make_deferred("__init__", self._generate_init)
        return self

    def _eval_snippets(self) -> None:
        # The scripts of the methods that are not deferred.
        if self._script_snippets:
            super()._eval_snippets()

    def _generate_init(self, owner: Any) -> None:
        self._script_snippets.clear()
        super().add_init()
        script, names, attach = self._script_snippets.pop()
        filename = _make._generate_unique_filename(owner, "__init__")
        methods: dict[str, Any] = {}
        attach(methods, _make._linecache_and_compile(script, filename, names))
        owner.__init__ = methods["__init__"]


def install_deferred_methods() -> bool:
    """Defer the methods of all classes that are created from now on.

    Return whether the installed release of attrs allows this.
    """
    if not all(
        _count_parameters(name) == count for name, count in _USED_FUNCTIONS.items()
    ):
        return False
    _make._ClassBuilder = _DeferringBuilder
    return True


def _count_parameters(name: str) -> int:
    code = getattr(getattr(_make, name, None), "__code__", None)
    return code.co_argcount if code is not None else -1
