"""A network of membership cores at the datagram interface, in one process.

Cores are the real ones; only the clock, the links and the random sources are
fakes. Events run in the order of their time, so one seed repeats one run.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from fescueknot.identity import Address, Place
from fescueknot.membership import messages as wire
from fescueknot.membership.bulk import BulkFetch, encode_bulk
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.messages import Bulk
from fescueknot.membership.schedule import TICK_PERIOD_S
from fescueknot.membership.view import LocalView
from fescueknot.randomness import seeded

DOMAIN_DELAY_S = 0.00025
REGION_DELAY_S = 0.0005
FAR_DELAY_S = 0.02
_UDP_HEADER_BYTES = 28
_SEED_BITS = 64
_SHORTEST_TICK_S = TICK_PERIOD_S * 0.9
_LONGEST_TICK_S = TICK_PERIOD_S * 1.1


class Link(msgspec.Struct, kw_only=True):
    """What happens to datagrams; ``is_cut`` tells which pairs are apart."""

    loss_ratio: float = 0
    duplicate_ratio: float = 0
    jitter_s: float = 0
    is_cut: Callable[[Place, Place], bool] | None = None

    def loses(self, source: Place, target: Place, rng: random.Random) -> bool:
        """Return whether the next datagram is lost."""
        if self.is_cut is not None and self.is_cut(source, target):
            return True
        return rng.random() < self.loss_ratio


class Traffic:
    """Datagrams and bytes sent, with the headers of IP and UDP."""

    def __init__(self) -> None:
        self.datagrams = 0
        self.total_bytes = 0
        self.inter_region_bytes = 0
        self.largest_bytes = 0
        self.bulk_copies = 0
        self.bulk_bytes = 0

    def count(self, size_bytes: int, *, is_far: bool) -> None:
        """Count one datagram."""
        self.datagrams += 1
        self.total_bytes += size_bytes
        self.largest_bytes = max(self.largest_bytes, size_bytes)
        if is_far:
            self.inter_region_bytes += size_bytes


class FakeNode(msgspec.Struct, kw_only=True):
    """A core on the fake network; ``is_frozen`` holds its events back.

    Its clock is ahead of the network's by ``ahead_s``.
    """

    core: MembershipCore
    place: Place
    address: Address
    rng: random.Random
    ahead_s: float = 0
    is_frozen: bool = False
    is_dead: bool = False
    held_back: list[wire.Incoming] = msgspec.field(default_factory=list)
    sent_bytes: int = 0

    @property
    def view(self) -> LocalView:
        """Return what the node knows."""
        return self.core.view

    @property
    def name(self) -> str:
        """Return the name of the instance."""
        return self.view.own.name

    def clock_s(self, network_s: float) -> float:
        """Return the node's clock at a time of the network."""
        return network_s + self.ahead_s


_Event = tuple[float, int, Callable[[], None]]


class FakeNetwork:
    """Carries messages between cores and ticks them."""

    def __init__(self, *, rng: random.Random, link: Link | None = None) -> None:
        self.now_s: float = 0
        self.nodes: dict[Address, FakeNode] = {}
        self._peers: dict[Address, FakeNode] = {}
        self.link = link or Link()
        self.traffic = Traffic()
        self.rng = rng
        self._codec = DatagramCodec(key=b'fake')
        self._events: list[_Event] = []
        self._order = itertools.count()

    def add(self, core: MembershipCore, *, ahead_s: float = 0) -> FakeNode:
        """Start a core; its first tick comes within a period."""
        own = core.view.own
        node = FakeNode(
            core=core,
            place=own.place,
            address=own.gossip,
            rng=seeded(seed=self.rng.getrandbits(_SEED_BITS)),
            ahead_s=ahead_s,
        )
        self.nodes[node.address] = node
        self._peers[own.peer] = node
        first_s = self.rng.random() * TICK_PERIOD_S
        self.at(self.now_s + first_s, functools.partial(self._tick, node))
        return node

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Run ``action`` at a time."""
        heapq.heappush(self._events, (when_s, next(self._order), action))

    def run(
        self, *, until_s: float, is_done: Callable[[], bool] | None = None
    ) -> bool:
        """Run until a time or until ``is_done``; return whether it is done."""
        while self._events and self._events[0][0] <= until_s:
            event = heapq.heappop(self._events)
            self.now_s = event[0]
            event[2]()
            if is_done is not None and is_done():
                return True
        self.now_s = until_s
        return False

    def thaw(self, node: FakeNode) -> None:
        """Let a frozen node go on: first its tick, then what had arrived."""
        node.is_frozen = False
        held_back = tuple(node.held_back)
        node.held_back.clear()
        self._send_due(node)
        for incoming in held_back:
            self._deliver(node, incoming)

    def send(self, node: FakeNode, messages: tuple[wire.Outgoing, ...]) -> None:
        """Put messages of a node on the network."""
        for outgoing in messages:
            self._send_one(node, outgoing)

    def _tick(self, node: FakeNode) -> None:
        if node.is_dead:
            return
        period_s = self.rng.uniform(_SHORTEST_TICK_S, _LONGEST_TICK_S)
        self.at(self.now_s + period_s, functools.partial(self._tick, node))
        if not node.is_frozen:
            self._send_due(node)

    def _send_due(self, node: FakeNode) -> None:
        now_s = node.clock_s(self.now_s)
        self.send(node, node.core.tick(now_s=now_s, rng=node.rng))
        fetch = node.core.bulk.next_fetch(now_s=now_s)
        if fetch is not None:
            self._fetch(node, fetch, now_s)

    def _fetch(
        self, node: FakeNode, fetch: BulkFetch, asked_at_s: float
    ) -> None:
        """Carry a bulk copy, without losses but over the same cuts."""
        peer = self._peers.get(fetch.peer)
        if peer is None or peer.is_dead or peer.is_frozen:
            return
        if self.link.loses(node.place, peer.place, self.rng):
            return
        bulk = peer.core.bulk.export(
            fetch.request, now_s=peer.clock_s(self.now_s)
        )
        self.traffic.bulk_copies += 1
        self.traffic.bulk_bytes += len(encode_bulk(bulk))
        self.at(
            self.now_s + _delay_s(node.place, peer.place),
            functools.partial(self._apply_bulk, node, bulk, asked_at_s),
        )

    def _apply_bulk(
        self, node: FakeNode, bulk: Bulk, asked_at_s: float
    ) -> None:
        now_s = node.clock_s(self.now_s)
        node.core.bulk.apply(bulk, asked_at_s=asked_at_s, now_s=now_s)

    def _send_one(self, node: FakeNode, outgoing: wire.Outgoing) -> None:
        receiver = self.nodes.get(outgoing.target)
        size_bytes = len(self._codec.encode(outgoing.message))
        size_bytes += _UDP_HEADER_BYTES
        node.sent_bytes += size_bytes
        if receiver is None:
            return
        is_far = receiver.place.region != node.place.region
        self.traffic.count(size_bytes, is_far=is_far)
        if self.link.loses(node.place, receiver.place, self.rng):
            return
        copies = 1 + (self.rng.random() < self.link.duplicate_ratio)
        incoming = wire.Incoming(source=node.address, message=outgoing.message)
        deliver = functools.partial(self._deliver, receiver, incoming)
        for _ in range(copies):
            delay_s = _delay_s(node.place, receiver.place)
            delay_s += self.rng.random() * self.link.jitter_s
            self.at(self.now_s + delay_s, deliver)

    def _deliver(self, node: FakeNode, incoming: wire.Incoming) -> None:
        if node.is_dead:
            return
        if node.is_frozen:
            node.held_back.append(incoming)
            return
        answers = node.core.receive(
            incoming, now_s=node.clock_s(self.now_s), rng=node.rng
        )
        self.send(node, answers)


def _delay_s(source: Place, target: Place) -> float:
    if source == target:
        return DOMAIN_DELAY_S
    if source.region == target.region:
        return REGION_DELAY_S
    return FAR_DELAY_S
