"""Base of the exchanges that share a node's port for datagrams."""

import abc
from collections.abc import Callable

import msgspec

from fescueknot.identity import Address

Send = Callable[[msgspec.Struct, Address], None]


class DatagramExchange(abc.ABC):
    """Tells other nodes about one subject and learns from them.

    ``message_base`` is the base class of its messages.
    """

    message_base: type[msgspec.Struct]

    @abc.abstractmethod
    def connect(self, send: Send) -> None:
        """Set the function that sends a message to an address."""

    @abc.abstractmethod
    def ask_at_start(self) -> None:
        """Ask several nodes for what they know."""

    @abc.abstractmethod
    def run_round(self) -> None:
        """Do what is due about every second."""

    @abc.abstractmethod
    def receive(self, message: msgspec.Struct, source: Address) -> None:
        """Handle a message of the node at ``source``."""
