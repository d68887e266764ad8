"""The gossip socket and the datagrams that it receives."""

import asyncio
import socket

import pytest

from fescueknot.gossip.errors import UnreadableMessageError
from fescueknot.gossip.messages import Digest, SyncRequest
from fescueknot.identity import Address
from fescueknot.relay.gossip_port import (
    DatagramReceiver,
    GossipPort,
    decode,
)
from tests.odd_inputs import ODD_MESSAGES
from tests.relay.fakes import run

_MESSAGE = SyncRequest(name='n1', digest=Digest(), nonce=1)


class _Receiver(DatagramReceiver):
    def __init__(self):
        self.messages = []
        self.unreadable = 0

    def receive(self, message, source):
        self.messages.append(message)

    def receive_unreadable(self, source, error):
        self.unreadable += 1


def _free_address():
    with socket.socket(type=socket.SOCK_DGRAM) as probe:
        probe.bind(('127.0.0.1', 0))
        return Address(host='127.0.0.1', port=probe.getsockname()[1])


async def _send_until_received(port, address, receiver):
    """Send the message until it arrives; datagrams may be lost."""
    while not receiver.messages:
        port.send(_MESSAGE, address)
        await asyncio.sleep(0.01)


class TestDecode:
    """Datagrams of any content."""

    @pytest.mark.parametrize(
        'odd', ODD_MESSAGES.values(), ids=ODD_MESSAGES.keys()
    )
    def test_guards_against_a_datagram_that_is_no_message(self, odd):
        with pytest.raises(UnreadableMessageError):
            decode(odd)


class TestGossipPort:
    """The socket."""

    def test_odd_datagrams_cost_only_themselves(self):
        async def scenario():
            address = _free_address()
            receiver = _Receiver()
            port = GossipPort()
            await port.listen(address, receiver)
            with socket.socket(type=socket.SOCK_DGRAM) as other:
                for odd in ODD_MESSAGES.values():
                    other.sendto(odd, (address.host, address.port))
            await _send_until_received(port, address, receiver)
            return receiver.messages[0]

        assert run(scenario) == _MESSAGE

    @pytest.mark.parametrize(
        'wrong',
        [
            Address(host='127.0.0.1', port=70_000),
            Address(host='127.0.0.1', port=-1),
            Address(host='127.0.0.1\0', port=1),
        ],
        ids=str,
    )
    def test_guards_against_a_socket_that_an_odd_address_closes(self, wrong):
        """Gossip was gone for good after one send to such an address."""

        async def scenario():
            loop = asyncio.get_running_loop()
            faults = []
            loop.set_exception_handler(
                lambda _, context: faults.append(context)
            )
            address = _free_address()
            receiver = _Receiver()
            port = GossipPort()
            await port.listen(address, receiver)
            port.send(_MESSAGE, wrong)
            await _send_until_received(port, address, receiver)
            return receiver.messages[0], bool(faults)

        assert run(scenario) == (_MESSAGE, True)
