"""Keys of at-most-once operations.

The text that a caller sends is hashed together with the service and the
caller. A UUID of version 7 (RFC 9562) also contains when the key was made.
"""

import hashlib
import uuid

import msgspec

_DIGEST_BYTES = 16
_NUMBER_BYTES = 8
_FINGERPRINT_BYTES = 12
_UUID_LENGTHS = frozenset((32, 36))
_TIMED_UUID_VERSION = 7
_TIME_SHIFT_BITS = 80
_MS_PER_S = 1000


class OperationKey(msgspec.Struct, frozen=True, kw_only=True):
    """One key: its digest and, if the text contains it, its creation time."""

    digest: bytes
    made_at_wall_s: float | None = None

    @property
    def number(self) -> int:
        """Return the 64 bits of the digest that select the owner."""
        return key_number(self.digest)


def key_number(digest: bytes) -> int:
    """Return the 64 bits of a key's digest that select its owner."""
    return int.from_bytes(digest[:_NUMBER_BYTES], 'big')


def operation_key(*, service: str, caller: str, text: str) -> OperationKey:
    """Return the key for the text of an ``Idempotency-Key`` header."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (service, caller, text):
        raw = part.encode()
        digest.update(len(raw).to_bytes(4, 'big'))
        digest.update(raw)
    return OperationKey(
        digest=digest.digest(),
        made_at_wall_s=made_at_wall_s(text),
    )


def made_at_wall_s(text: str) -> float | None:
    """Return when a version 7 UUID was made, ``None`` for other texts."""
    if len(text) not in _UUID_LENGTHS:
        return None
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return None
    if parsed.version != _TIMED_UUID_VERSION:
        return None
    return (parsed.int >> _TIME_SHIFT_BITS) / _MS_PER_S


def fingerprint(*, method: str, path: str, body: bytes) -> bytes:
    """Return a digest that distinguishes requests with the same key."""
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, 'big'))
        digest.update(part)
    return digest.digest()
