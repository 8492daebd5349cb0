"""Encode and decode messages and stored values."""

from functools import cache
from typing import Any, TypeVar

from attrs import fields
from expression import Error, Ok, Result
from msgspec import MsgspecError, convert, json, msgpack, to_builtins

from catkinhollow.errors import DecodeError

T = TypeVar("T")


def encode_message(message: Any) -> bytes:
    """Encode a message between daemons as MessagePack."""
    return msgpack.encode(message)


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


@cache
def _field_names(message_class: Any) -> tuple[str, ...]:
    return tuple(field.name for field in fields(message_class))


def decode_message(data: bytes, message_class: type[T]) -> Result[T, DecodeError]:
    """Decode a MessagePack message of the given class."""
    try:
        return Ok(msgpack.decode(data, type=message_class))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.encode(value)


def decode_json(data: bytes, result_class: type[T]) -> Result[T, DecodeError]:
    """Decode a JSON document of the given class."""
    try:
        return Ok(json.decode(data, type=result_class))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def from_plain(value: Any, result_class: type[T]) -> Result[T, DecodeError]:
    """Convert plain dicts and lists to the given class."""
    try:
        return Ok(convert(value, type=result_class))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def to_plain(value: Any) -> Any:
    """Convert a data class to plain dicts and lists."""
    return to_builtins(value)
