"""Datagrams: a message as JSON behind a keyed hash of it.

Datagrams may be replayed: merging them again changes nothing, and answers
count only once for the question whose nonce they carry.
"""

import base64
import hashlib
import hmac

import msgspec

from fescueknot.gossip.errors import PackingError
from fescueknot.gossip.packing import pack, unpack
from fescueknot.membership.errors import (
    AuthenticationError,
    MalformedDatagramError,
)
from fescueknot.membership.messages import AnyMessage

_MAC_BYTES = 12
_TEXT_BYTES = 16


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
        signature = datagram[:_TEXT_BYTES]
        body = datagram[_TEXT_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            raise AuthenticationError('signature of a datagram is wrong')
        try:
            return self._decoder.decode(unpack(body))
        except (msgspec.MsgspecError, PackingError) as error:
            raise MalformedDatagramError(str(error)) from error

    def _sign(self, body: bytes) -> bytes:
        digest = hmac.digest(self._key, body, hashlib.sha256)
        return base64.b64encode(digest[:_MAC_BYTES])
