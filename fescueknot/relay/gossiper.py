"""Sends and receives gossip: periodic questions and immediate pushes."""

import asyncio
import random
from collections.abc import Callable

from fescueknot.clock import elapsed_s
from fescueknot.gossip.errors import UnreadableMessageError
from fescueknot.gossip.freshness import FreshnessBounds
from fescueknot.gossip.known_peers import GossipPeer, KnownPeers
from fescueknot.gossip.messages import AnyMessage
from fescueknot.gossip.protocol import GossipProtocol
from fescueknot.identity import Address
from fescueknot.relay.datagram_exchange import DatagramExchange
from fescueknot.relay.gossip_port import (
    AnyDatagram,
    DatagramPort,
    DatagramReceiver,
)
from fescueknot.relay.observer import Observer
from fescueknot.relay.routes_status import RoutesStatus
from fescueknot.targets.directory import TargetDirectory

_SYNC_INTERVAL_S = 1.0
# Changes of documents within this time go out in one push.
_PUSH_DELAY_S = 0.02
# Questions sent at once after a start, or when an entry is out of date.
_SYNC_REQUESTS_AT_ONCE = 3
# After a change that all nodes need, they are sent once more for those nodes
# that the first ones have not reached.
_SPREAD_AGAIN_S = 0.3


class Gossiper(DatagramReceiver):
    """Exchanges the messages of the gossip protocol with known peers.

    Messages of the ``exchanges`` come and go through the same port.
    Both callbacks are called for each message received: ``on_routes_version``
    with the version of the routes in force at its sender and the sender's
    name, then ``on_change``, as documents of the replica may have changed.
    """

    def __init__(
        self,
        *,
        port: DatagramPort,
        protocol: GossipProtocol,
        known_peers: KnownPeers,
        directory: TargetDirectory,
        observer: Observer,
        rng: random.Random,
        exchanges: tuple[DatagramExchange, ...],
        status: RoutesStatus,
        freshness: FreshnessBounds,
        on_change: Callable[[], None],
        on_routes_version: Callable[[int, str], None],
    ) -> None:
        self._protocol = protocol
        self._known_peers = known_peers
        self._directory = directory
        self._observer = observer
        self._status = status
        self._freshness = freshness
        self._rng = rng
        self._on_change = on_change
        self._on_routes_version = on_routes_version
        self._exchanges = exchanges
        self._port = port
        for exchange in exchanges:
            exchange.connect(port.send)
        self._push_timer: asyncio.TimerHandle | None = None

    async def listen(self, address: Address) -> None:
        """Receive datagrams at an address."""
        await self._port.listen(address, self)

    def receive(self, message: AnyDatagram, source: Address) -> None:
        """Handle a message and answer it."""
        for exchange in self._exchanges:
            if isinstance(message, exchange.message_base):
                exchange.receive(message, source)
                return
        self._receive_documents(message, source)

    def receive_unreadable(
        self, source: Address, error: UnreadableMessageError
    ) -> None:
        """Log a datagram that can't be decoded."""
        self._observer.note(
            'gossip.unreadable', source=str(source), error=str(error)
        )

    async def renew_evidence(self) -> None:
        """Ask for evidence whenever it is about to get old, until cancelled.

        Each attempt asks a node of another group, until there is an answer.
        """
        attempt = 0
        while True:
            interval_s = self._freshness.check_interval_s
            await asyncio.sleep(interval_s * self._rng.uniform(0.8, 1.2))
            if self._status.age_s() <= self._freshness.renew_age_s:
                attempt = 0
                continue
            peer = self._known_peers.next_informed_peer(attempt, self._rng)
            self._send_request_to(peer)
            attempt += 1

    async def run(self) -> None:
        """Send a question about every second, until cancelled."""
        for starting in self._exchanges:
            starting.ask_at_start()
        while True:
            self._send_sync_request()
            for exchange in self._exchanges:
                exchange.run_round()
            pause_s = _SYNC_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)

    def send_sync_requests(self) -> None:
        """Send sync requests to several known peers now."""
        for _ in range(_SYNC_REQUESTS_AT_ONCE):
            self._send_sync_request()

    def spread_new_state(self) -> None:
        """Exchange state with several peers now and again shortly after."""
        self.send_sync_requests()
        loop = asyncio.get_running_loop()
        loop.call_later(_SPREAD_AGAIN_S, self.send_sync_requests)

    def update_known_peers(self) -> None:
        """Set the known peers to the nodes in the directory that gossip."""
        listed = self._directory.entries()
        self._known_peers.update(
            tuple(
                GossipPeer(
                    name=name,
                    place=entry.place,
                    address=Address(
                        host=entry.node.host, port=entry.gossip_port
                    ),
                )
                for name, entry in listed.items()
                if entry.gossip_port
            )
        )

    def schedule_push(self) -> None:
        """Push new documents to several nearby peers after a short delay."""
        if self._push_timer is None:
            loop = asyncio.get_running_loop()
            self._push_timer = loop.call_later(_PUSH_DELAY_S, self._push)

    def _push(self) -> None:
        self._push_timer = None
        now_s = elapsed_s()
        push = self._protocol.rumour_push(now_s)
        for peer in self._known_peers.sample_nearby(self._rng):
            self._port.send(push, peer.address)

    def _send_sync_request(self) -> None:
        self._send_request_to(self._known_peers.next_peer(self._rng))

    def _send_request_to(self, peer: GossipPeer | None) -> None:
        if peer is not None:
            now_s = elapsed_s()
            question = self._protocol.sync_request(now_s=now_s, rng=self._rng)
            self._port.send(question, peer.address)

    def _receive_documents(self, message: AnyMessage, source: Address) -> None:
        self._known_peers.record_alive(
            message.name,
            is_informed=self._freshness.is_fresh_ms(message.digest.age_ms),
        )
        now_s = elapsed_s()
        answers = self._protocol.receive(message, now_s=now_s, rng=self._rng)
        for answer in answers:
            self._port.send(answer, source)
        self._on_routes_version(message.digest.version, message.name)
        self._on_change()
