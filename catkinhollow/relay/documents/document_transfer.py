"""Compress the documents that daemons send to each other.

A configuration shrinks to less than a tenth, so that a daemon on a slow link
gets it from a peer within a fraction of the time that the store needs.
"""

import zlib

from expression import Error, Ok, Result

from catkinhollow.codec import decode_message, encode_message
from catkinhollow.errors import DecodeError
from catkinhollow.generated.relay import Document, Documents

# Higher levels take several times as long and save few bytes more.
COMPRESSION_LEVEL = 1
MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024


def pack_documents(documents: list[Document], *, compressed: bool) -> Documents:
    """Return the message that carries the documents."""
    if not compressed or not documents:
        return Documents(documents=documents)
    data = zlib.compress(encode_message(documents), COMPRESSION_LEVEL)
    return Documents(compressed=data)


def unpack_documents(message: Documents) -> Result[list[Document], DecodeError]:
    """Return the documents of a message, or why they can't be read."""
    if message.compressed is None:
        return Ok(message.documents)
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(message.compressed, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Error(DecodeError(reason=str(error)))
    if not decompressor.eof:
        return Error(DecodeError(reason="incomplete or too large"))
    decoded = decode_message(data, list[Document])
    return decoded.map(lambda documents: [*message.documents, *documents])
