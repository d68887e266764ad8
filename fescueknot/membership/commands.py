"""Commands to the gossip task."""

import abc
from concurrent.futures import Future

import msgspec

from fescueknot.identity import Address
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.feeds import Reading
from fescueknot.membership.messages import Bulk, BulkRequest


class Announce(msgspec.Struct, frozen=True, kw_only=True):
    """Announce the own instance in a state, at once to ``notify``."""

    state: InstanceState
    notify: tuple[Address, ...] = ()


class ApplyReading(msgspec.Struct, frozen=True, kw_only=True):
    """Take a reading of the store in."""

    reading: Reading


class ExportBulk(msgspec.Struct, frozen=True, kw_only=True):
    """Put a bulk copy for a peer into ``answer``."""

    request: BulkRequest
    answer: Future = msgspec.field(default_factory=Future)


class ApplyBulk(msgspec.Struct, frozen=True, kw_only=True):
    """Take in a bulk copy that was asked for at ``asked_at_s``."""

    bulk: Bulk
    asked_at_s: float


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """End the task."""


Command = Announce | ApplyReading | ExportBulk | ApplyBulk | Stop


class CommandSink(abc.ABC):
    """Takes commands from other threads."""

    @abc.abstractmethod
    def put(self, command: Command) -> None:
        """Take a command; it is carried out later."""
