"""Encode and decode messages and stored values.

Values that others have written may be malformed in any way. Decoding returns
an error for all of them, also for those that exceed the decoder's limits.
"""

import re
from functools import cache
from typing import Any, TypeVar

from attrs import Factory, fields, has
from expression import Error, Ok, Result
from msgspec import MsgspecError, convert, json, msgpack, to_builtins

from catkinhollow.errors import DecodeError

T = TypeVar("T")

# Deeper values are not decoded; no message of any party nests as deeply.
MAX_DEPTH = 64

_DECODE_ERRORS = (MsgspecError, RecursionError, OverflowError, UnicodeError)
_JSON_TOKENS = re.compile(rb'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


def encode_message(message: Any) -> bytes:
    """Encode a message between daemons as MessagePack."""
    return msgpack.encode(message)


def try_encode_message(message: Any) -> Result[bytes, DecodeError]:
    """Encode a message that may hold numbers that MessagePack can't hold."""
    try:
        return Ok(msgpack.encode(message))
    except OverflowError as error:
        return Error(DecodeError(reason=str(error)))


def encode_without_none(message: Any) -> bytes:
    """Encode a message as MessagePack without the fields that are None.

    Suits messages in which only one of many optional bodies is set.
    """
    values = {
        name: value
        for name in _field_names(message.__class__)
        if (value := getattr(message, name)) is not None
    }
    return msgpack.encode(values)


def encode_without_defaults(message: Any) -> bytes:
    """Encode a message as MessagePack without the fields that have defaults.

    Suits small frequent messages, in which names take more bytes than values.
    """
    return msgpack.encode(_without_defaults(message))


def _without_defaults(message: Any) -> dict[str, Any]:
    values = {}
    for name, default in _field_defaults(message.__class__):
        value = getattr(message, name)
        if value != default:
            values[name] = _without_defaults(value) if has(type(value)) else value
    return values


@cache
def _field_defaults(message_class: Any) -> tuple[tuple[str, Any], ...]:
    """Return the fields with their defaults, NOTHING if there is none."""
    return tuple(
        (
            field.name,
            field.default.factory()
            if isinstance(field.default, Factory)  # type: ignore[arg-type]
            else field.default,
        )
        for field in fields(message_class)
    )


@cache
def _field_names(message_class: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(message_class))


def decode_message(data: bytes, message_class: type[T]) -> Result[T, DecodeError]:
    """Decode a MessagePack message of the given class."""
    decoded = decode_or_error(data, message_class)
    return Error(decoded) if isinstance(decoded, DecodeError) else Ok(decoded)


def decode_or_error(data: bytes, message_class: type[T]) -> T | DecodeError:
    """Decode a MessagePack message of the given class.

    Suits frequent messages: a Result takes as long to build as a message.
    """
    try:
        return msgpack.decode(data, type=message_class)
    except _DECODE_ERRORS as error:
        return DecodeError(reason=str(error))


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.encode(value)


def decode_json(data: bytes, result_class: type[T]) -> Result[T, DecodeError]:
    """Decode a JSON document of the given class."""
    try:
        return Ok(json.decode(data, type=result_class))
    except _DECODE_ERRORS as error:
        return Error(DecodeError(reason=str(error)))


def replace_deep_values(data: bytes) -> bytes:
    """Replace the values in a JSON document that are nested too deeply."""
    parts: list[bytes] = []
    copied = depth = 0
    for token in _JSON_TOKENS.finditer(data):
        if token.group() in b"[{":
            depth += 1
            if depth == MAX_DEPTH + 1:
                parts += [data[copied : token.start()], b"null"]
        elif token.group() in b"]}":
            depth -= 1
            if depth == MAX_DEPTH:
                copied = token.end()
    if depth > MAX_DEPTH:
        return b"".join(parts)
    return b"".join([*parts, data[copied:]])


def from_plain(value: Any, result_class: type[T]) -> Result[T, DecodeError]:
    """Convert plain dicts and lists to the given class."""
    try:
        return Ok(convert(value, type=result_class))
    except _DECODE_ERRORS as error:
        return Error(DecodeError(reason=str(error)))


def to_plain(value: Any) -> Any:
    """Convert a data class to plain dicts and lists."""
    return to_builtins(value)
