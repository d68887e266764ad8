"""The datagram socket of a node, in terms of messages."""

import asyncio
from collections.abc import Callable

import msgspec

from fescueknot.gossip.errors import PackingError, UnreadableMessageError
from fescueknot.gossip.messages import AnyMessage
from fescueknot.gossip.packing import pack, unpack
from fescueknot.identity import Address

_DECODER = msgspec.json.Decoder(AnyMessage)


class GossipPort(asyncio.DatagramProtocol):
    """Sends and takes messages; a message that can't be sent is lost."""

    def __init__(
        self,
        *,
        take: Callable[[AnyMessage, Address], None],
        refuse: Callable[[Address, UnreadableMessageError], None],
    ) -> None:
        self._take = take
        self._refuse = refuse
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take one message."""
        source = Address(host=addr[0], port=addr[1])
        try:
            message = decode(data)
        except UnreadableMessageError as error:
            self._refuse(source, error)
            return
        self._take(message, source)

    def error_received(self, exc: Exception) -> None:
        """Go on: somebody's port is closed."""

    def send(self, message: AnyMessage, target: Address) -> None:
        """Send a message once."""
        if self._transport is not None:
            datagram = pack(msgspec.json.encode(message))
            self._transport.sendto(datagram, (target.host, target.port))


def decode(datagram: bytes) -> AnyMessage:
    """Return a message; raise :class:`UnreadableMessageError`."""
    try:
        return _DECODER.decode(unpack(datagram))
    except (msgspec.MsgspecError, PackingError, UnicodeError) as error:
        raise UnreadableMessageError(str(error)) from error
