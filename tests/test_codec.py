"""Tests of encoding and decoding messages."""

from catkinhollow.codec import (
    MAX_DEPTH,
    decode_json,
    decode_message,
    encode_message,
    encode_without_none,
    replace_deep_values,
    try_encode_message,
)
from catkinhollow.generated.messages import Envelope, Ping


def test_envelope_keeps_its_body_and_omits_empty_ones():
    """Guards against lost bodies and against fields of None on the wire."""
    ping = Ping(sequence=3, revision=7, digest=11)
    envelope = Envelope(sender="127.0.0.1:1", incarnation=5, ping=ping)
    data = encode_without_none(envelope)
    assert decode_message(data, Envelope).ok == envelope
    assert b"gossip" not in data


def test_malformed_bytes_are_an_error_value():
    """Guards against a malformed message that stops the receive loop."""
    assert decode_message(b"\xc1", Envelope).is_error()
    assert decode_message(b"\x80", Envelope).is_error()


def test_deeply_nested_messages_are_an_error_value():
    """Guards against one message that ends a process."""
    deep = b"\x81\xa1a" * 200_000 + b"\xc0"
    assert decode_message(deep, Envelope).is_error()
    assert decode_json(b'{"sender":' * 100_000, Envelope).is_error()


def test_number_beyond_64_bits_is_an_error_value():
    """Guards against one stored object that ends every daemon."""
    assert try_encode_message({"version": 10**30}).is_error()
    assert try_encode_message({"version": 5}).ok == encode_message({"version": 5})


def test_only_values_that_are_nested_too_deeply_are_replaced():
    """Guards against an entry that hides those behind it."""
    text = rb'"a ] } \" [[["'
    deep = b"[" * 500 + text + b"]" * 500
    document = b'{"items": [{"a": ' + deep + b'}, {"b": [' + text + b"]}]}"
    expected = b'{"items": [{"a": %s}, {"b": [%s]}]}' % (
        b"[" * (MAX_DEPTH - 3) + b"null" + b"]" * (MAX_DEPTH - 3),
        text,
    )
    assert replace_deep_values(document) == expected
    shallow = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH
    assert replace_deep_values(shallow) == shallow
