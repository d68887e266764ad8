"""Identity of what a request asks for, equal for all its attempts."""

import hashlib
import re

from fescueknot.httpio.messages import Request

_DIGEST_BYTES = 8
_LENGTH_BYTES = 8
_PATTERN = re.compile('[0-9a-f]{16}')


def fingerprint_of(request: Request, caller_service: str) -> str:
    """Return the fingerprint of a request, 16 hexadecimal digits.

    Requests with the same method, host, path, query, caller's service and body
    have the same one, whatever their other headers.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        request.method.encode(),
        (request.header('host') or '').encode(),
        request.target.encode(),
        caller_service.encode(),
        request.body,
    ):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.hexdigest()


def is_fingerprint(text: str) -> bool:
    """Return whether a text is a fingerprint."""
    return _PATTERN.fullmatch(text) is not None
