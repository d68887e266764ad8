"""Encodes and decodes gossip messages on a datagram socket."""

import asyncio
from collections.abc import Callable

import msgspec

from fescueknot.gossip.errors import PackingError, UnreadableMessageError
from fescueknot.gossip.messages import AnyMessage
from fescueknot.gossip.packing import pack, unpack
from fescueknot.identity import Address
from fescueknot.quarantine.messages import AnyCrashEvidence

AnyDatagram = AnyMessage | AnyCrashEvidence
_DECODER = msgspec.json.Decoder(AnyDatagram)


class GossipPort(asyncio.DatagramProtocol):
    """Sends and receives messages; a message that can't be sent is dropped.

    ``on_message`` is called with each message and the address of its sender,
    ``on_unreadable`` for each datagram that can't be decoded.
    """

    def __init__(
        self,
        *,
        on_message: Callable[[AnyDatagram, Address], None],
        on_unreadable: Callable[[Address, UnreadableMessageError], None],
    ) -> None:
        self._on_message = on_message
        self._on_unreadable = on_unreadable
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the message on."""
        source = Address(host=addr[0], port=addr[1])
        try:
            message = decode(data)
        except UnreadableMessageError as error:
            self._on_unreadable(source, error)
            return
        self._on_message(message, source)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier sends, such as a closed port of a peer."""

    def send(self, message: AnyDatagram, target: Address) -> None:
        """Send a message once, without waiting for a reply."""
        if self._transport is not None:
            datagram = pack(msgspec.json.encode(message))
            self._transport.sendto(datagram, (target.host, target.port))


def decode(datagram: bytes) -> AnyDatagram:
    """Decode a datagram; raise :class:`UnreadableMessageError`."""
    try:
        return _DECODER.decode(unpack(datagram))
    except (msgspec.MsgspecError, PackingError, UnicodeError) as error:
        raise UnreadableMessageError(str(error)) from error
