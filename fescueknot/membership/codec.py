"""Datagram encoding: a message as JSON, preceded by a keyed hash of it.

Datagrams may be replayed: merging their content again changes nothing, and a
reply counts only once for the request whose nonce it carries.
"""

import base64
import hashlib
import hmac

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.gossip.errors import PackingError
from fescueknot.gossip.packing import pack, unpack
from fescueknot.membership.errors import (
    AuthenticationError,
    MalformedDatagramError,
)
from fescueknot.membership.messages import AnyMessage

_DIGEST_BYTES = 12
_SIGNATURE_BYTES = 16
_READ_ERRORS = (PackingError, *DECODE_ERRORS)


class DatagramCodec:
    """Signs and encodes messages, and checks and decodes datagrams."""

    def __init__(self, *, key: bytes) -> None:
        self._key = key
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(AnyMessage)

    def encode(self, message: AnyMessage) -> bytes:
        """Return the datagram for a message."""
        body = pack(self._encoder.encode(message))
        return self._sign(body) + body

    def decode(self, datagram: bytes) -> AnyMessage:
        """Return the message of a datagram; raise ``DatagramError``."""
        signature = datagram[:_SIGNATURE_BYTES]
        body = datagram[_SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            raise AuthenticationError('datagram signature does not match')
        try:
            return self._decoder.decode(unpack(body))
        except _READ_ERRORS as error:
            raise MalformedDatagramError(str(error)) from error

    def _sign(self, body: bytes) -> bytes:
        digest = hmac.digest(self._key, body, hashlib.sha256)
        return base64.b64encode(digest[:_DIGEST_BYTES])
