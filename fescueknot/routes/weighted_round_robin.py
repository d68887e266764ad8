"""Weighted round robin among the services of a route."""

import random

from fescueknot.routes.delta import RouteKey, route_key
from fescueknot.routes.messages import Route


class WeightedRoundRobin:
    """Smooth weighted round robin with one state per route.

    Over any sequence of requests the count of each service stays within one
    request of its fraction by weight. The state starts at random, so that the
    nodes don't all choose the same services in step.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._credit_by_route: dict[RouteKey, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credit_of(route)
        for weighted in route.services:
            credit[weighted.service] += weighted.weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(service.weight for service in route.services)
        return chosen

    def reset(self) -> None:
        """Clear the state of all routes, for a new configuration."""
        self._credit_by_route.clear()

    def _credit_of(self, route: Route) -> dict[str, float]:
        credit = self._credit_by_route.get(route_key(route))
        if credit is None:
            credit = {
                weighted.service: self._rng.random() * weighted.weight
                for weighted in route.services
            }
            self._credit_by_route[route_key(route)] = credit
        return credit
