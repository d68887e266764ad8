"""Configuration in force in this process; its version never decreases."""

import random

from fescueknot.accounts.messages import Account
from fescueknot.accounts.table import AccountTable
from fescueknot.httpio.messages import Limits
from fescueknot.routes.messages import Configuration, Route, ServiceInfo
from fescueknot.routes.table import RouteTable
from fescueknot.routes.updates import (
    RoutesUpdate,
    UpdateLog,
    configuration_after,
)
from fescueknot.routes.weighted_round_robin import WeightedRoundRobin


class RoutesInForce:
    """The configuration with the highest version offered until now."""

    def __init__(self, *, rng: random.Random) -> None:
        self._configuration: Configuration | None = None
        self._table = RouteTable(routes=())
        self._services: dict[str, ServiceInfo] = {}
        self._accounts = AccountTable()
        self._round_robin = WeightedRoundRobin(rng=rng)
        self._updates = UpdateLog()

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self._configuration.version if self._configuration else 0

    @property
    def has_accounts(self) -> bool:
        """Return whether requests need an account."""
        return len(self._accounts) > 0

    @property
    def limited_accounts(self) -> tuple[Account, ...]:
        """Return the accounts with a limited rate."""
        if self._configuration is None:
            return ()
        return tuple(
            account
            for account in self._configuration.accounts
            if account.rate_per_s
        )

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration is in force."""
        return self._configuration is not None

    def offer(self, configuration: Configuration) -> bool:
        """Put a configuration in force; return whether it was newer."""
        if self.is_loaded and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._table = RouteTable(routes=configuration.routes)
        self._services = {
            service.name: service for service in configuration.services
        }
        self._accounts = AccountTable(accounts=configuration.accounts)
        self._round_robin.reset()
        self._updates.record(configuration)
        return True

    def update_since(self, version: int) -> RoutesUpdate:
        """Return the changes after ``version``, for another node."""
        return self._updates.since(version)

    def apply_update(self, update: RoutesUpdate) -> bool:
        """Apply another node's update; return whether it was newer.

        Raises ``ValueError`` if its base is not the version in force.
        """
        configuration = configuration_after(self._configuration, update)
        return configuration is not None and self.offer(configuration)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or ``None``."""
        return self._table.find(host, target)

    def account_with_key(self, key: str) -> Account | None:
        """Return the account that has a key, or ``None``."""
        return self._accounts.find(key)

    def choose_service(self, route: Route) -> str:
        """Return the next service of a route, in proportion to weights."""
        return self._round_robin.choose(route)

    def service(self, name: str) -> ServiceInfo:
        """Return the settings of a service, defaults if it is not listed."""
        return self._services.get(name) or ServiceInfo(name=name)

    def limits(self) -> Limits:
        """Return the limits for requests of clients."""
        return self._configuration.limits if self._configuration else Limits()
