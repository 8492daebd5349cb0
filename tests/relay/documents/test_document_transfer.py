"""Tests of the transfer of documents between daemons."""

import zlib

import pytest
from relay_builders import make_configuration, make_route

from catkinhollow.codec import decode_message, encode_message
from catkinhollow.generated.relay import Document, Documents, Frame
from catkinhollow.relay.documents.document_transfer import (
    MAX_DECOMPRESSED_BYTES,
    pack_documents,
    unpack_documents,
)

# Time for a transfer beside the calls of a link: the bound for a change
# everywhere, less the time until a lasting difference is noticed.
TRANSFER_S = 1.0
# Share of the slowest link, of 5 Mbit/s, that calls leave.
LINK_BYTES_PER_S = 0.1 * 5_000_000 / 8


def make_documents(routes=3):
    configuration = make_configuration(
        routes=[
            make_route(f"r-{n:07x}", host=f"h{n % 7}.example", path_prefix=f"/{n:x}/")
            for n in range(routes)
        ]
    )
    body = encode_message(configuration)
    return [
        Document(name="configuration/main", revision=7, body=body),
        Document(name="daemons/a", revision=9, deleted=True, body=b""),
    ]


def transmit(message):
    data = encode_message(Frame(sender="a:1", incarnation=1, documents=message))
    return decode_message(data, Frame).ok.documents


def test_large_configuration_reaches_a_daemon_on_a_busy_slow_link_in_time():
    """Guards against peers that take as long as the store they replace."""
    message = pack_documents(make_documents(routes=2200), compressed=True)
    assert len(encode_message(message)) <= TRANSFER_S * LINK_BYTES_PER_S


@pytest.mark.parametrize("compressed", [True, False])
def test_documents_arrive_as_they_were_sent(compressed):
    """Guards against documents that change on the way."""
    documents = make_documents()
    message = pack_documents(documents, compressed=compressed)
    assert unpack_documents(transmit(message)).ok == documents
    assert unpack_documents(transmit(pack_documents([], compressed=True))).ok == []


def test_peer_of_an_earlier_release_gets_plain_documents():
    """Guards against daemons that ignore what they can't read."""
    documents = make_documents()
    assert pack_documents(documents, compressed=False).documents == documents


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"no zlib",
        zlib.compress(b"no MessagePack"),
        zlib.compress(encode_message(make_documents()))[:-9],
        zlib.compress(bytes(MAX_DECOMPRESSED_BYTES + 1)),
    ],
    ids=["empty", "no zlib", "no MessagePack", "incomplete", "too large"],
)
def test_unreadable_documents_are_refused(data):
    """Guards against a peer that stops this daemon or fills its memory."""
    assert unpack_documents(Documents(compressed=data)).is_error()
