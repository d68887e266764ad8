"""A request as it arrives at the node of its caller."""

from collections.abc import Callable

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.httpio.messages import Request
from fescueknot.httpio.numbers import parse_count
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.runs import Lineage, LocalRuns
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Route
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000


class Arrival(msgspec.Struct, kw_only=True):
    """A request, with its route and account in the version in force.

    The request has no key; if there are accounts, it names its own. ``route``
    is ``None`` without a matching route, ``account`` without a known key.
    ``needs_account`` is true for a request that has no account and needs one:
    on a route that is not public, and on any route with an unknown key.
    ``remaining_s`` is the time that the caller still waits at ``began_s``.
    """

    request: Request
    route: Route | None
    account: Account | None
    needs_account: bool
    attempt: str | None
    began_s: float
    remaining_s: float
    inherit: Callable[['Arrival'], Lineage]
    known_lineage: Lineage | None = None

    @property
    def lineage(self) -> Lineage:
        """Return the lineage, inherited from the parent run if there is one.

        The first use counts the request as a call of that run.
        """
        if self.known_lineage is None:
            self.known_lineage = self.inherit(self)
        return self.known_lineage


class ArrivalReader:
    """Finds route, account and lineage of each request."""

    def __init__(
        self,
        *,
        routes: RoutesInForce,
        header_names: HeaderNames,
        runs: LocalRuns,
    ) -> None:
        self._routes = routes
        self._names = header_names
        self._account_headers = frozenset(
            (header_names.key, header_names.account)
        )
        self._runs = runs

    def read(self, request: Request) -> Arrival:
        """Return the arrival of a request, and take off its key."""
        route = self.route(request)
        account = None
        needs_account = False
        if self._routes.has_accounts:
            keys = self._keys(request)
            account = self._account(keys)
            request = self._without_key(request, account)
            is_public = route is not None and route.is_public
            needs_account = account is None and (bool(keys) or not is_public)
        return Arrival(
            request=request,
            route=route,
            account=account,
            needs_account=needs_account,
            attempt=request.header(self._names.attempt),
            began_s=running_loop().time(),
            remaining_s=self._remaining_s(request, route),
            inherit=self._lineage,
        )

    def route(self, request: Request) -> Route | None:
        """Return the route of a request, or ``None``."""
        host = request.header('host') or ''
        return self._routes.find(host, request.target)

    def _keys(self, request: Request) -> set[str]:
        return {
            text for name, text in request.headers if name == self._names.key
        }

    def _account(self, keys: set[str]) -> Account | None:
        """Return the account of a request; ``None`` without a known key.

        Two different keys are as good as none: it isn't clear who asks.
        """
        if len(keys) != 1:
            return None
        return self._routes.account_with_key(next(iter(keys)))

    def _without_key(
        self, request: Request, account: Account | None
    ) -> Request:
        """Return the request without its key, with the name of its account.

        A name that the caller has sent is removed too, and so is a
        ``Connection`` option that would remove the name at a later hop.
        """
        headers = tuple(
            self._without_option(pair)
            for pair in request.headers
            if pair[0] not in self._account_headers
        )
        if account is not None:
            headers = (*headers, (self._names.account, account.name))
        return msgspec.structs.replace(request, headers=headers)

    def _without_option(self, pair: tuple[str, str]) -> tuple[str, str]:
        name, text = pair
        if name != 'connection':
            return pair
        options = [
            option
            for option in text.split(',')
            if option.strip().lower() not in self._account_headers
        ]
        return (name, ','.join(options))

    def _remaining_s(self, request: Request, route: Route | None) -> float:
        """Return the caller's remaining time; default: the route's timeout."""
        left_ms = parse_count(request.header(self._names.remaining_ms))
        if left_ms is not None:
            return left_ms / _MS_PER_S
        return route.timeout_s if route else 0

    def _lineage(self, arrival: Arrival) -> Lineage:
        """Return the lineage; an account's importance overrides the route's."""
        account = arrival.account
        importance = arrival.route.importance
        if account is not None and account.importance is not None:
            importance = account.importance
        root_lineage = Lineage(
            root=arrival.attempt or '', importance=importance
        )
        return self._runs.inherited_lineage(
            root_lineage,
            arrival.route.name,
            arrival.began_s + arrival.remaining_s,
        )
