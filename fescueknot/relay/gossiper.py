"""The gossip of one node: questions now and then, news at once."""

import asyncio
import random
from collections.abc import Callable

from fescueknot.gossip.errors import UnreadableMessageError
from fescueknot.gossip.known_peers import GossipPeer, KnownPeers
from fescueknot.gossip.messages import AnyMessage
from fescueknot.gossip.protocol import GossipProtocol
from fescueknot.identity import Address
from fescueknot.relay.gossip_port import GossipPort
from fescueknot.relay.observer import Observer
from fescueknot.targets.directory import TargetDirectory

_QUESTION_PERIOD_S = 1.0
# News that come within this time go out together.
_GATHER_S = 0.02
# A node that has just started asks some at once.
_FIRST_QUESTIONS = 3


class Gossiper:
    """Carries a dialogue between this node and others.

    ``changed`` is called when documents have changed, ``hear_version`` with
    the version of routes that a node has in force.
    """

    def __init__(
        self,
        *,
        protocol: GossipProtocol,
        known_peers: KnownPeers,
        directory: TargetDirectory,
        observer: Observer,
        rng: random.Random,
        changed: Callable[[], None],
        hear_version: Callable[[int, str], None],
    ) -> None:
        self._protocol = protocol
        self._known_peers = known_peers
        self._directory = directory
        self._observer = observer
        self._rng = rng
        self._changed = changed
        self._hear_version = hear_version
        self._port = GossipPort(take=self._take, refuse=self._refuse)
        self._news: asyncio.TimerHandle | None = None

    async def listen(self, address: Address) -> None:
        """Take datagrams at an address."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._port, local_addr=(address.host, address.port)
        )

    async def run(self) -> None:
        """Ask somebody every second; runs for ever."""
        while True:
            self._ask()
            pause_s = _QUESTION_PERIOD_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)

    def ask_some(self) -> None:
        """Ask a few nodes at once."""
        for _ in range(_FIRST_QUESTIONS):
            self._ask()

    def refresh(self) -> None:
        """Take the nodes that the directory lists now."""
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

    def tell_soon(self) -> None:
        """Tell some nodes nearby what is new."""
        if self._news is None:
            loop = asyncio.get_running_loop()
            self._news = loop.call_later(_GATHER_S, self._tell)

    def _tell(self) -> None:
        self._news = None
        now_s = asyncio.get_running_loop().time()
        news = self._protocol.rumour_push(now_s)
        for peer in self._known_peers.sample_nearby(self._rng):
            self._port.send(news, peer.address)

    def _ask(self) -> None:
        peer = self._known_peers.next_peer(self._rng)
        if peer is not None:
            now_s = asyncio.get_running_loop().time()
            question = self._protocol.sync_request(now_s=now_s, rng=self._rng)
            self._port.send(question, peer.address)

    def _take(self, message: AnyMessage, source: Address) -> None:
        self._known_peers.record_alive(message.name)
        now_s = asyncio.get_running_loop().time()
        answers = self._protocol.receive(message, now_s=now_s, rng=self._rng)
        for answer in answers:
            self._port.send(answer, source)
        self._hear_version(message.digest.version, message.name)
        self._changed()

    def _refuse(self, source: Address, error: UnreadableMessageError) -> None:
        self._observer.note(
            'gossip.unreadable', source=str(source), error=str(error)
        )
