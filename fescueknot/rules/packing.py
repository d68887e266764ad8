"""Compresses rules texts for the JSON values of the store."""

import base64
import binascii
import hashlib
import zlib
from collections.abc import Sequence

from fescueknot.rules.errors import BadSnapshot

_MAX_UNPACKED_BYTES = 16_000_000


def text_of(lines: Sequence[str]) -> str:
    """Return the whole text, with a line feed after each line."""
    return '\n'.join((*lines, ''))


def digest_of(version: int, lines: Sequence[str]) -> str:
    """Return the SHA-256 of a version and its text, in hexadecimal digits."""
    digest = hashlib.sha256(f'{version}\n'.encode())
    digest.update(text_of(lines).encode())
    return digest.hexdigest()


def pack(text: str) -> str:
    """Return ``text`` compressed by zlib and encoded in Base85."""
    return base64.b85encode(zlib.compress(text.encode())).decode()


def unpack(packed: str) -> str:
    """Return the text that :func:`pack` has packed; raise ``BadSnapshot``."""
    inflater = zlib.decompressobj()
    try:
        text = _inflate(inflater, packed)
    except (ValueError, binascii.Error, zlib.error) as error:
        raise BadSnapshot(f'packed text is corrupt: {error}') from error
    if not inflater.eof:
        raise BadSnapshot(
            f'packed text is truncated or exceeds {_MAX_UNPACKED_BYTES} bytes'
        )
    return text


def _inflate(inflater: 'zlib._Decompress', packed: str) -> str:
    packed_bytes = base64.b85decode(packed)
    return inflater.decompress(packed_bytes, _MAX_UNPACKED_BYTES).decode()
