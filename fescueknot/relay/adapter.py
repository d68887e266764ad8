"""Interface of the adapter to a platform."""

import abc

import msgspec

from fescueknot.errors import FescueknotError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.store_era import StoreEra
from fescueknot.relay.header_names import HeaderNames
from fescueknot.routes.messages import Configuration
from fescueknot.targets.messages import Heartbeat


class UnreadableError(FescueknotError):
    """A heartbeat, leave notice or configuration can't be decoded."""


class LeaveNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Message by which a target announces that it leaves.

    Sent to the same address as heartbeats.
    """

    instance: str


class Adapter(abc.ABC):
    """Header names and message formats of one platform.

    ``configuration_kind`` and ``configuration_name`` identify the object with
    the operator's configuration in the object store.
    """

    header_names: HeaderNames
    configuration_kind: str
    configuration_name: str

    @abc.abstractmethod
    def object_store(self, address: Address, era: StoreEra) -> AsyncObjectStore:
        """Return a client of the object store.

        It tells ``era`` what its answers say of the store's era.
        """

    @abc.abstractmethod
    def heartbeat(
        self, request: Request, target: str
    ) -> Heartbeat | LeaveNotice:
        """Decode a heartbeat or a leave notice.

        ``target`` is the address of the target that sent it. Raises
        :class:`UnreadableError`.
        """

    @abc.abstractmethod
    def configuration(self, text: str) -> Configuration:
        """Decode a configuration; raise :class:`UnreadableError`."""
