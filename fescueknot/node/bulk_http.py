"""Bulk copies of the membership over control calls."""

from concurrent.futures import Future

from fescueknot.identity import Address
from fescueknot.membership.bulk import BulkClient
from fescueknot.membership.commands import ExportBulk
from fescueknot.membership.errors import BulkError
from fescueknot.membership.messages import Bulk, BulkRequest
from fescueknot.membership.task import GossipTask
from fescueknot.node.control import ControlClient, ControlEndpoint
from fescueknot.node.errors import ControlError

BULK = 'bulk'
_GIVE_TIMEOUT_S = 2.0


class BulkHttpClient(BulkClient):
    """Fetches bulk copies from the peer ports of other nodes."""

    def __init__(self, *, control: ControlClient) -> None:
        self._control = control

    def fetch(self, peer: Address, request: BulkRequest) -> Bulk:
        """Return the copy; raise ``BulkError``."""
        try:
            return self._control.call(peer, BULK, request, Bulk)
        except ControlError as error:
            raise BulkError(str(error)) from error


def bulk_endpoint(gossip: GossipTask) -> ControlEndpoint:
    """Return the endpoint that gives bulk copies to other nodes."""

    def give(request: BulkRequest) -> Bulk:  # noqa: WPS430
        answer: Future[Bulk] = Future()
        gossip.put(ExportBulk(request=request, answer=answer))
        return answer.result(timeout=_GIVE_TIMEOUT_S)

    return ControlEndpoint(request_type=BulkRequest, handler=give)
