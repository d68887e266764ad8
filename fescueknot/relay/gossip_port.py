"""Encodes and decodes gossip messages on a datagram socket."""

import abc
import asyncio
import contextlib

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.gossip.errors import PackingError, UnreadableMessageError
from fescueknot.gossip.messages import AnyMessage
from fescueknot.gossip.packing import pack, unpack
from fescueknot.identity import Address
from fescueknot.quarantine.messages import AnyCrashEvidence
from fescueknot.quotas.messages import AnyQuotaMessage
from fescueknot.targets.departures import AnyDepartureMessage

# The address may be taken for a moment.
_REOPEN_PAUSE_S = 0.1
_READ_ERRORS = (PackingError, *DECODE_ERRORS)
AnyDatagram = (
    AnyMessage | AnyCrashEvidence | AnyDepartureMessage | AnyQuotaMessage
)
_DECODER = msgspec.json.Decoder(AnyDatagram)


class DatagramReceiver(abc.ABC):
    """Receives the messages of other nodes."""

    @abc.abstractmethod
    def receive(self, message: AnyDatagram, source: Address) -> None:
        """Handle a message of the node at ``source``."""

    @abc.abstractmethod
    def receive_unreadable(
        self, source: Address, error: UnreadableMessageError
    ) -> None:
        """Handle a datagram that can't be decoded."""


class DatagramPort(abc.ABC):
    """Sends and receives messages; a message that can't be sent is dropped."""

    @abc.abstractmethod
    async def listen(
        self, address: Address, receiver: DatagramReceiver
    ) -> None:
        """Receive datagrams at an address."""

    @abc.abstractmethod
    def send(self, message: AnyDatagram, target: Address) -> None:
        """Send a message once, without waiting for a reply."""


class GossipPort(DatagramPort, asyncio.DatagramProtocol):
    """A port on a UDP socket, which is opened again if an error closes it."""

    def __init__(self) -> None:
        self._address: Address | None = None
        self._receiver: DatagramReceiver | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._reopening: asyncio.Task[None] | None = None

    async def listen(
        self, address: Address, receiver: DatagramReceiver
    ) -> None:
        """Open the socket, unless it is open."""
        self._address = address
        self._receiver = receiver
        if self._transport is None:
            await self._open()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Open another socket; asyncio has closed this one by an error."""
        self._transport = None
        context = {'message': 'gossip socket closed', 'exception': exc}
        loop = asyncio.get_running_loop()
        loop.call_exception_handler(context)
        self._reopening = loop.create_task(self._reopen())

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass the message on."""
        source = Address(host=addr[0], port=addr[1])
        try:
            message = decode(data)
        except UnreadableMessageError as error:
            self._receiver.receive_unreadable(source, error)
            return
        self._receiver.receive(message, source)

    def error_received(self, exc: Exception) -> None:
        """Ignore errors of earlier sends, such as a closed port of a peer."""

    def send(self, message: AnyDatagram, target: Address) -> None:
        """Send a message once, without waiting for a reply."""
        if self._transport is not None:
            datagram = pack(msgspec.json.encode(message))
            self._transport.sendto(datagram, (target.host, target.port))

    async def _open(self) -> None:
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(self._address.host, self._address.port)
        )

    async def _reopen(self) -> None:
        while self._transport is None:
            await asyncio.sleep(_REOPEN_PAUSE_S)
            with contextlib.suppress(OSError):
                await self._open()


def decode(datagram: bytes) -> AnyDatagram:
    """Decode a datagram; raise :class:`UnreadableMessageError`."""
    try:
        return _DECODER.decode(unpack(datagram))
    except _READ_ERRORS as error:
        raise UnreadableMessageError(str(error)) from error
