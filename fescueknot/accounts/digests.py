"""Digests of account keys.

Nodes keep and exchange digests only, so that a memory dump or a message does
not reveal a key.
"""

from fescueknot.hashing import blake2b

_DIGEST_BYTES = 16
# Separates these digests from other hashes of the same text.
_PURPOSE = b'account-key'


def key_digest(key: str) -> str:
    """Return the digest of a key, as hexadecimal digits."""
    text = key.encode('utf-8', 'surrogatepass')
    digest = blake2b()(text, digest_size=_DIGEST_BYTES, person=_PURPOSE)
    return digest.hexdigest()
