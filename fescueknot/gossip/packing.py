"""Deflating JSON arrays, so that repeated names fit into one packet."""

import zlib

from fescueknot.gossip.errors import PackingError

_DEFLATED_FROM_BYTES = 400
# A few times what one packet holds of plain text; keeps a hostile packet from
# growing without end.
_MOST_INFLATED_BYTES = 131_072
_JSON_ARRAY = b'['


def pack(body: bytes) -> bytes:
    """Return a JSON array as it is sent."""
    if len(body) <= _DEFLATED_FROM_BYTES:
        return body
    return zlib.compress(body)


def unpack(body: bytes) -> bytes:
    """Return the JSON array that was packed; raise :class:`PackingError`."""
    if body[:1] == _JSON_ARRAY:
        return body
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(body, _MOST_INFLATED_BYTES)
    except zlib.error as error:
        raise PackingError(str(error)) from error
    if not inflater.eof:
        raise PackingError(f'more than {_MOST_INFLATED_BYTES} bytes')
    return inflated
