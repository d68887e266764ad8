"""Calls that a target makes in the course of a request."""

import itertools
from collections.abc import Callable

import msgspec

from tools.standin.connections import KeptConnections, Order
from tools.standin.errors import StandInError

_GOOD = range(200, 300)


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One call downstream and the addresses that take it.

    It is made for requests whose path starts with ``under``.
    """

    service: str
    path: str
    addresses: tuple[str, ...]
    under: str = '/'
    attempts: int = 1


class Downstream:
    """Calls one route with kept-alive connections, one for each thread.

    With the layer the only address is the entry port of the own node, and
    the node does the retries; without it the target picks an address and
    retries up to ``attempts`` times by itself.
    """

    def __init__(self, *, route: Route) -> None:
        self._route = route
        self._turns = itertools.count()
        self._connections = KeptConnections()

    def wanted(self, path: str) -> bool:
        """Return whether a request for ``path`` makes this call."""
        return path.startswith(self._route.under)

    def call(
        self, headers: dict[str, str], left_s: Callable[[], float]
    ) -> bool:
        """Return whether a good answer came in time."""
        attempts = self._route.attempts
        while attempts > 0 and left_s() > 0:
            if self._try_once(headers, left_s()):
                return True
            attempts -= 1
        return False

    def _try_once(self, headers: dict[str, str], timeout_s: float) -> bool:
        turn = next(self._turns) % len(self._route.addresses)
        order = Order(
            address=self._route.addresses[turn],
            method='GET',
            path=self._route.path,
            headers={'Host': self._route.service, **headers},
            timeout_s=timeout_s,
        )
        try:
            return self._connections.send(order).status in _GOOD
        except StandInError:
            return False
