"""Tells other nodes of targets that leave, and asks them after a start.

A node acknowledges that its target leaves. The node may be killed right
afterwards, so others have to hold that before. Each node to which a departure
is new passes it on to a few more.
"""

import asyncio
import contextlib
import random
import types
from collections.abc import Callable

import msgspec

from fescueknot.httpio.late_limits import late_limit
from fescueknot.identity import Address
from fescueknot.relay.datagram_exchange import DatagramExchange, Send
from fescueknot.relay.observer import Observer
from fescueknot.relay.random_peers import PushAllowance, RandomPeers
from fescueknot.targets.departures import (
    AnyDepartureMessage,
    Departure,
    DepartureBook,
    DepartureMessage,
    DepartureNotice,
    DepartureQuery,
    DepartureReceipt,
    DepartureReply,
)

# Nodes that have to hold a departure besides the one that acknowledges it.
_HOLDERS = 2
# More are asked, as some may be down.
_ASKED_AT_ONCE = 4
_RESEND_INTERVAL_S = 0.1
_FANOUT = 4
_QUERIES_AT_START = 3
# Rounds in which a node that has started asks until it gets a reply.
_MAX_QUERY_ROUNDS = 5
# So that a message fits into one packet.
_MAX_DEPARTURES_PER_MESSAGE = 24
_NONCE_BITS = 48


class _HandOver:
    """The nodes that have confirmed that they hold a departure."""

    def __init__(self, *, needed: int) -> None:
        self.is_done = asyncio.Event()
        self._needed = needed
        self._holders: set[Address] = set()

    def add(self, holder: Address) -> None:
        """Record a receipt."""
        self._holders.add(holder)
        if len(self._holders) >= self._needed:
            self.is_done.set()


class DepartureExchange(DatagramExchange):
    """Spreads the departures of a :class:`DepartureBook`.

    ``on_departures`` is called with those that are new to the book.
    """

    message_base = DepartureMessage

    def __init__(
        self,
        *,
        book: DepartureBook,
        peers: RandomPeers,
        observer: Observer,
        rng: random.Random,
        on_departures: Callable[[tuple[Departure, ...]], None],
    ) -> None:
        self._book = book
        self._peers = peers
        self._observer = observer
        self._rng = rng
        self._on_departures = on_departures
        self._allowance = PushAllowance()
        self._send: Send | None = None
        self._hand_overs: dict[int, _HandOver] = {}
        self._query_rounds_left = _MAX_QUERY_ROUNDS
        self._handlers = types.MappingProxyType(
            {
                DepartureNotice: self._receive_notice,
                DepartureReceipt: self._receive_receipt,
                DepartureQuery: self._receive_query,
                DepartureReply: self._receive_reply,
            }
        )

    def connect(self, send: Send) -> None:
        """Set the function that sends a message to an address."""
        self._send = send

    async def hand_over(self, departure: Departure, timeout_s: float) -> bool:
        """Have other nodes hold a departure.

        Returns whether enough of them have confirmed it in time.
        """
        self._add((departure,))
        others = self._peers.fleet_size - 1
        if others < 1:
            return False
        nonce = 1 + self._rng.getrandbits(_NONCE_BITS)
        hand_over = _HandOver(needed=min(_HOLDERS, others))
        self._hand_overs[nonce] = hand_over
        notice = DepartureNotice(nonce=nonce, departures=(departure,))
        try:
            async with late_limit(timeout_s):
                await self._send_until_done(notice, hand_over)
        except TimeoutError:
            return False
        finally:
            self._hand_overs.pop(nonce)
        return True

    def ask_at_start(self) -> None:
        """Ask several nodes for what they know."""
        self._send_to_others(DepartureQuery(), _QUERIES_AT_START)

    def run_round(self) -> None:
        """Ask again after a start, until a node has replied."""
        if self._query_rounds_left and self._peers.fleet_size > 1:
            self._query_rounds_left -= 1
            self.ask_at_start()

    def receive(self, message: AnyDepartureMessage, source: Address) -> None:
        """Handle a message of the node at ``source``."""
        self._handlers[type(message)](message, source)

    async def _send_until_done(
        self, notice: DepartureNotice, hand_over: _HandOver
    ) -> None:
        while not hand_over.is_done.is_set():
            self._send_to_others(notice, _ASKED_AT_ONCE)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    hand_over.is_done.wait(), _RESEND_INTERVAL_S
                )

    def _receive_notice(
        self, message: DepartureNotice, source: Address
    ) -> None:
        new = self._add(message.departures)
        if message.nonce:
            self._send_to(DepartureReceipt(nonce=message.nonce), source)
        if new and self._allowance.take(_now_s()):
            self._send_to_others(DepartureNotice(departures=new), _FANOUT)

    def _receive_receipt(
        self, message: DepartureReceipt, source: Address
    ) -> None:
        hand_over = self._hand_overs.get(message.nonce)
        if hand_over is not None:
            hand_over.add(source)

    def _receive_query(self, message: DepartureQuery, source: Address) -> None:
        newest = self._book.newest(_MAX_DEPARTURES_PER_MESSAGE)
        self._send_to(DepartureReply(departures=newest), source)

    def _receive_reply(self, message: DepartureReply, source: Address) -> None:
        self._query_rounds_left = 0
        self._add(message.departures)

    def _add(self, departures: tuple[Departure, ...]) -> tuple[Departure, ...]:
        """Add departures to the book; return those that are new."""
        now_s = _now_s()
        new = tuple(one for one in departures if self._book.add(one, now_s))
        if new:
            instances = [one.instance for one in new]
            self._observer.note('targets.departed', instances=instances)
            self._on_departures(new)
        return new

    def _send_to_others(self, message: msgspec.Struct, count: int) -> None:
        for peer in self._peers.of_fleet(count):
            self._send_to(message, peer)

    def _send_to(self, message: msgspec.Struct, peer: Address) -> None:
        if self._send is not None:
            self._send(message, peer)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
