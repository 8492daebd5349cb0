"""Tests of encoding and decoding messages."""

from catkinhollow.codec import decode_message, encode_without_none
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
