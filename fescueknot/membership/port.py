"""The UDP socket of a node, which sends and receives messages."""

import logging
import select
import socket

from fescueknot.identity import Address
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.errors import DatagramError
from fescueknot.membership.messages import Incoming, Outgoing

_MAX_DATAGRAM_BYTES = 65_535
_MAX_BURST_DATAGRAMS = 64
_WAKE_UP_DATAGRAM = b''
_MS_PER_S = 1000
_log = logging.getLogger('fescueknot.gossip')


class DatagramPort:
    """Sends and receives messages; only :meth:`wake` is thread-safe.

    ``dropped_count`` counts datagrams that could not be decoded or were not
    signed with the shared key; only the first is logged.
    """

    def __init__(self, *, address: Address, codec: DatagramCodec) -> None:
        self._codec = codec
        self.dropped_count = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((address.host, address.port))
        self._socket.setblocking(False)
        self._poller = select.poll()
        self._poller.register(self._socket, select.POLLIN)
        host, port = self._socket.getsockname()
        self.address = Address(host=host, port=port)

    def send(self, messages: tuple[Outgoing, ...]) -> None:
        """Send messages; a message that can't be sent now is dropped."""
        for outgoing in messages:
            datagram = self._codec.encode(outgoing.message)
            target = (outgoing.target.host, outgoing.target.port)
            try:
                self._socket.sendto(datagram, target)
            except OSError as error:
                _log.debug('gossip: send to %s failed: %s', target, error)

    def receive(self, *, timeout_s: float) -> tuple[Incoming, ...]:
        """Wait for datagrams and return the messages that have arrived."""
        self._poller.poll(timeout_s * _MS_PER_S)
        received = []
        for _ in range(_MAX_BURST_DATAGRAMS):
            try:
                datagram, source = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                _log.debug('gossip: receive failed: %s', error)
                continue
            if datagram != _WAKE_UP_DATAGRAM:
                received.extend(self._decode(datagram, source))
        return tuple(received)

    def wake(self) -> None:
        """Wake a thread that waits in :meth:`receive`."""
        target = (self.address.host, self.address.port)
        try:
            self._socket.sendto(_WAKE_UP_DATAGRAM, target)
        except OSError as error:
            _log.debug('gossip: wake-up failed: %s', error)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _decode(
        self, datagram: bytes, source: tuple[str, int]
    ) -> tuple[Incoming, ...]:
        try:
            message = self._codec.decode(datagram)
        except DatagramError as error:
            self.dropped_count += 1
            if self.dropped_count == 1:
                _log.warning('gossip: dropped from %s: %s', source[0], error)
            return ()
        address = Address(host=source[0], port=source[1])
        return (Incoming(source=address, message=message),)
