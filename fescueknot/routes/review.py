"""Summary of a configuration, for the ``routes`` commands."""

import collections
from collections.abc import Iterable

import msgspec

from fescueknot.routes.delta import route_key
from fescueknot.routes.messages import Route

ONCE = 'must land once'
REPEATABLE = 'may be repeated'
_MAX_PATHS = 3
_PERCENT = 100


class RouteGroup(msgspec.Struct, frozen=True, kw_only=True):
    """Routes of one host that handle requests in the same way.

    ``timeout_s`` is the longest time that a caller is kept waiting. An answer
    within ``objective_s``, the latency objective, has its full value.
    """

    host: str
    services: str
    handling: str
    attempts: int
    timeout_s: float
    objective_s: float
    importance: str
    count: int = 0
    paths: tuple[str, ...] = ()


def handling_of(route: Route) -> str:
    """Return whether a request whose outcome is unknown may be repeated."""
    return REPEATABLE if route.idempotent else ONCE


def shares_of(route: Route) -> str:
    """Return the services of a route, with percentages if it is split."""
    if len(route.services) == 1:
        return route.services[0].service
    weight_per_percent = (total_weight(route) or 1) / _PERCENT
    return ', '.join(
        f'{weighted.service} {weighted.weight / weight_per_percent:.0f}%'
        for weighted in route.services
    )


def group_routes(routes: Iterable[Route]) -> tuple[RouteGroup, ...]:
    """Group routes that handle requests alike, by host and service."""
    paths_by_group: dict[RouteGroup, list[str]] = collections.defaultdict(list)
    for route in routes:
        paths_by_group[_group_of(route)].append(route.path_prefix)
    groups = (
        msgspec.structs.replace(
            group,
            count=len(paths),
            paths=tuple(sorted(paths)[:_MAX_PATHS]),
        )
        for group, paths in paths_by_group.items()
    )
    return tuple(sorted(groups, key=msgspec.structs.astuple))


def shadowed_routes(
    routes: Iterable[Route], winner: Route
) -> tuple[Route, ...]:
    """Return the routes that the longer prefix of ``winner`` shadows."""
    other_routes = (
        route for route in routes if route_key(route) != route_key(winner)
    )
    return tuple(
        route
        for route in other_routes
        if route.host == winner.host
        and winner.path_prefix.startswith(route.path_prefix)
    )


def _group_of(route: Route) -> RouteGroup:
    """Return the group of a route, without paths."""
    return RouteGroup(
        host=route.host,
        services=shares_of(route),
        handling=handling_of(route),
        attempts=route.attempts,
        timeout_s=route.timeout_s,
        objective_s=route.objective_s,
        importance=route.importance.name.lower(),
    )


def total_weight(route: Route) -> float:
    """Return the sum of the weights of a route's services."""
    return sum(weighted.weight for weighted in route.services)
