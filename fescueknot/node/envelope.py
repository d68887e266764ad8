"""The signed header that carries a call context from node to node.

The signature is an HMAC (RFC 2104) of the envelope, the method and the path
with the shared key of the settings, so that callers can't forge it.
"""

import base64
import binascii
import hashlib
import hmac

import msgspec

from fescueknot.calls import CallContext, CallPolicy
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.node.errors import EnvelopeError

_SEPARATOR = '.'
_READ_ERRORS = (binascii.Error, *DECODE_ERRORS)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """What a node sends to the next node about a call.

    ``span_id`` is the span of the sending node, ``attempt`` counts from 1.
    ``keyed`` makes the receiver act as the owner of the idempotency key.
    """

    context: CallContext
    policy: CallPolicy
    service: str
    span_id: str
    attempt: int = 1
    keyed: bool = False


class EnvelopeCodec:
    """Signs and verifies envelopes."""

    def __init__(self, *, shared_key: str) -> None:
        self._key = shared_key.encode()
        self._decoder = msgspec.json.Decoder(Envelope)

    def sign(self, envelope: Envelope, *, method: str, path: str) -> str:
        """Return the header text of ``envelope`` with its signature."""
        payload = base64.urlsafe_b64encode(msgspec.json.encode(envelope))
        signature = self._signature(payload, method, path)
        return f'{payload.decode()}{_SEPARATOR}{signature}'

    def verify(self, text: str, *, method: str, path: str) -> Envelope:
        """Return the envelope in ``text``; raise :class:`EnvelopeError`."""
        payload, _, signature = text.partition(_SEPARATOR)
        expected = self._signature(payload.encode(), method, path)
        if not hmac.compare_digest(signature.encode(), expected.encode()):
            raise EnvelopeError('the signature does not match')
        try:
            return self._decoder.decode(base64.urlsafe_b64decode(payload))
        except _READ_ERRORS as error:
            raise EnvelopeError('the envelope is malformed') from error

    def _signature(self, payload: bytes, method: str, path: str) -> str:
        text = b'\n'.join((payload, method.encode(), path.encode()))
        return hmac.new(self._key, text, hashlib.sha256).hexdigest()
