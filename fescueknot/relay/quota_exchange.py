"""Queries for tokens of accounts, and their answers, as datagrams."""

import asyncio
from collections.abc import Callable

from fescueknot.identity import Address
from fescueknot.quotas.candidates import QuotaNode, QuotaNodes
from fescueknot.quotas.fleet_admission import FleetAdmission
from fescueknot.quotas.messages import (
    AnyQuotaMessage,
    QuotaAnswer,
    QuotaMessage,
    QuotaQuery,
)
from fescueknot.quotas.shard_owner import ShardOwner
from fescueknot.relay.datagram_exchange import DatagramExchange, Send
from fescueknot.targets.directory import TargetDirectory


class QuotaExchange(DatagramExchange):
    """Passes messages to the owners of this node and to its admission.

    ``owners`` are this node's parts in the shards of its region.
    ``before_query`` brings their limits up to date, ``on_prompt`` is called
    when a node looks for an owner that this node is not. ``boot_s`` is the
    clock of the leases.
    """

    message_base = QuotaMessage

    def __init__(
        self,
        *,
        local_address: Address,
        directory: TargetDirectory,
        nodes: QuotaNodes,
        owners: tuple[ShardOwner, ...],
        before_query: Callable[[], bool],
        on_prompt: Callable[[], None],
        boot_s: Callable[[], float],
    ) -> None:
        self.admission: FleetAdmission | None = None
        self._local_address = local_address
        self._directory = directory
        self._nodes = nodes
        self._owners = owners
        self._before_query = before_query
        self._on_prompt = on_prompt
        self._boot_s = boot_s
        self._send: Send | None = None
        self._directory_changes = -1

    def connect(self, send: Send) -> None:
        """Set the function that sends a message to an address."""
        self._send = send

    def ask_at_start(self) -> None:
        """Ask nobody: the first request that needs a token does."""

    def run_round(self) -> None:
        """Bring limits and, if there are any, candidates up to date."""
        if self._before_query():
            self.update_nodes()

    def ensure_nodes(self) -> None:
        """Take over the nodes now if there are none, as after a start."""
        if not self._nodes:
            self.update_nodes()

    def update_nodes(self) -> None:
        """Take over which nodes can be owners, if the directory changed."""
        if self._directory_changes == self._directory.changes:
            return
        self._directory_changes = self._directory.changes
        self._nodes.update(
            QuotaNode(
                name=name,
                region=entry.place.region,
                address=Address(host=entry.node.host, port=entry.gossip_port),
            )
            for name, entry in self._directory.entries().items()
            if entry.gossip_port
        )

    def send_query(self, query: QuotaQuery, node: QuotaNode) -> None:
        """Send a query to a node, which may be this one."""
        self._send_to(query, node.address)

    def receive(self, message: AnyQuotaMessage, source: Address) -> None:
        """Answer a query, or apply an answer."""
        if isinstance(message, QuotaAnswer):
            self.admission.receive(message)
        elif self._before_query() and message.shard < len(self._owners):
            self._answer(message, source)

    def _answer(self, query: QuotaQuery, source: Address) -> None:
        owner = self._owners[query.shard]
        answer = owner.answer(query, str(source), self._boot_s())
        if answer is None:
            return
        self._send_to(answer, source)
        if not answer.is_owner:
            self._on_prompt()

    def _send_to(self, message: AnyQuotaMessage, address: Address) -> None:
        if address == self._local_address:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.receive, message, address)
        elif self._send is not None:
            self._send(message, address)
