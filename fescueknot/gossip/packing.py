"""Compression of JSON arrays, so that a message fits into one packet.

Names that repeat within a message compress well.
"""

import zlib

from fescueknot.gossip.errors import PackingError

_MIN_DEFLATED_BYTES = 400
# A few times the plain text that one packet can hold; limits the memory that a
# malicious packet can take up when it is inflated.
_MAX_INFLATED_BYTES = 131_072
_JSON_ARRAY = b'['


def pack(body: bytes) -> bytes:
    """Return a JSON array in the form in which it is sent."""
    if len(body) <= _MIN_DEFLATED_BYTES:
        return body
    return zlib.compress(body)


def unpack(body: bytes) -> bytes:
    """Return the JSON array of a datagram; raise :class:`PackingError`."""
    if body[:1] == _JSON_ARRAY:
        return body
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, _MAX_INFLATED_BYTES)
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not inflater.eof:
        raise PackingError(
            f'truncated, or more than {_MAX_INFLATED_BYTES} bytes inflated'
        )
    return inflated
