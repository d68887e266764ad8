"""The configuration in force in this process; it never goes back."""

import random

from fescueknot.httpio.messages import Limits
from fescueknot.routes.messages import Configuration, Route, ServiceInfo
from fescueknot.routes.table import RouteTable
from fescueknot.routes.updates import RoutesUpdate, UpdateLog, updated
from fescueknot.routes.weighted_round_robin import WeightedRoundRobin


class RoutesInForce:
    """Holds the highest version seen."""

    def __init__(self, *, rng: random.Random) -> None:
        self._configuration: Configuration | None = None
        self._table = RouteTable(routes=())
        self._services: dict[str, ServiceInfo] = {}
        self._turns = WeightedRoundRobin(rng=rng)
        self._updates = UpdateLog()

    @property
    def version(self) -> int:
        """Return the version in force, 0 while there is none."""
        return self._configuration.version if self._configuration else 0

    @property
    def is_loaded(self) -> bool:
        """Tell whether there is a configuration."""
        return self._configuration is not None

    def offer(self, configuration: Configuration) -> bool:
        """Take a newer configuration; return whether it was newer."""
        if self.is_loaded and configuration.version <= self.version:
            return False
        self._configuration = configuration
        self._table = RouteTable(routes=configuration.routes)
        self._services = {one.name: one for one in configuration.services}
        self._turns.forget()
        self._updates.advance(configuration)
        return True

    def update_since(self, version: int) -> RoutesUpdate:
        """Return what a node that has ``version`` lacks."""
        return self._updates.since(version)

    def apply_update(self, update: RoutesUpdate) -> bool:
        """Take what another node has handed over; return whether it is newer.

        Raises ``ValueError`` if it doesn't fit what is in force.
        """
        configuration = updated(self._configuration, update)
        return configuration is not None and self.offer(configuration)

    def find(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or ``None``."""
        return self._table.find(host, target)

    def choose_service(self, route: Route) -> str:
        """Return the service whose turn it is."""
        return self._turns.choose(route)

    def service(self, name: str) -> ServiceInfo:
        """Return what is known of a service."""
        return self._services.get(name) or ServiceInfo(name=name)

    def limits(self) -> Limits:
        """Return the limits for clients."""
        return self._configuration.limits if self._configuration else Limits()
