"""Sharing the requests of a route among services by weight."""

import random

from fescueknot.routes.messages import Route


class WeightedRoundRobin:
    """Smooth weighted round robin, one state a route.

    Over any run of requests each service is within one request of its share.
    The random start keeps nodes from taking the same turns at once.
    """

    def __init__(self, *, rng: random.Random) -> None:
        self._rng = rng
        self._credit_by_route: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service whose turn it is."""
        if len(route.services) == 1:
            return route.services[0].service
        credit = self._credit(route)
        for part in route.services:
            credit[part.service] += part.weight
        chosen = max(credit, key=credit.__getitem__)
        credit[chosen] -= sum(one.weight for one in route.services)
        return chosen

    def forget(self) -> None:
        """Drop the state, for a new configuration."""
        self._credit_by_route.clear()

    def _credit(self, route: Route) -> dict[str, float]:
        credit = self._credit_by_route.get(route.name)
        if credit is None:
            credit = {
                part.service: self._rng.random() * part.weight
                for part in route.services
            }
            self._credit_by_route[route.name] = credit
        return credit
