"""The seam to a platform: what an adapter supplies."""

import abc

import msgspec

from fescueknot.errors import FescueknotError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.relay.header_names import HeaderNames
from fescueknot.routes.messages import Configuration
from fescueknot.targets.messages import Heartbeat


class UnreadableError(FescueknotError):
    """An adapter can't read what it was given."""


class LeaveNotice(msgspec.Struct, frozen=True, kw_only=True):
    """The last word of a target."""

    instance: str


class Adapter(abc.ABC):
    """Names and shapes of one platform.

    ``configuration_kind`` and ``configuration_name`` tell where the object
    store keeps the operator's configuration.
    """

    header_names: HeaderNames
    configuration_kind: str
    configuration_name: str

    @abc.abstractmethod
    def object_store(self, address: Address) -> AsyncObjectStore:
        """Return a client of the object store."""

    @abc.abstractmethod
    def heartbeat(
        self, request: Request, target: str
    ) -> Heartbeat | LeaveNotice:
        """Return what the target at an address says of itself.

        Raises :class:`UnreadableError`.
        """

    @abc.abstractmethod
    def configuration(self, text: str) -> Configuration:
        """Return a configuration; raise :class:`UnreadableError`."""
