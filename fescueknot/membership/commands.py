"""Commands to the gossip task."""

import abc
from concurrent.futures import Future

import msgspec

from fescueknot.identity import Address
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.feeds import Reading
from fescueknot.membership.messages import Bulk, BulkRequest


class Announce(msgspec.Struct, frozen=True, kw_only=True):
    """Announce the local instance in a state, directly to ``notify``."""

    state: InstanceState
    notify: tuple[Address, ...] = ()


class ApplyReading(msgspec.Struct, frozen=True, kw_only=True):
    """Apply a reading of the store."""

    reading: Reading


class ExportBulk(msgspec.Struct, frozen=True, kw_only=True):
    """Set a bulk copy for a peer as the result of ``answer``."""

    request: BulkRequest
    answer: Future = msgspec.field(default_factory=Future)


class ApplyBulk(msgspec.Struct, frozen=True, kw_only=True):
    """Apply a bulk copy that was requested at ``asked_at_s``."""

    bulk: Bulk
    asked_at_s: float


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Stop the task."""


Command = Announce | ApplyReading | ExportBulk | ApplyBulk | Stop


class CommandSink(abc.ABC):
    """Accepts commands from other threads."""

    @abc.abstractmethod
    def put(self, command: Command) -> None:
        """Queue a command to be executed later."""
