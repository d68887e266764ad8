"""Summary and checks of a configuration, for the ``routes`` commands."""

import collections
from collections.abc import Iterable, Iterator

import msgspec

from fescueknot.routes.delta import RouteKey, route_key, routes_by_key
from fescueknot.routes.messages import Configuration, Route

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


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Probable mistake in a configuration."""

    host: str
    path_prefix: str
    problem: str


def handling_of(route: Route) -> str:
    """Return whether a request whose outcome is unknown may be repeated."""
    return REPEATABLE if route.idempotent else ONCE


def shares_of(route: Route) -> str:
    """Return the services of a route, with percentages if it is split."""
    if len(route.services) == 1:
        return route.services[0].service
    weight_per_percent = (_total_weight(route) or 1) / _PERCENT
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


def find_problems(configuration: Configuration) -> Iterator[Finding]:
    """Yield the probable mistakes in one configuration."""
    services = {service.name for service in configuration.services}
    seen: set[RouteKey] = set()
    for route in configuration.routes:
        if route_key(route) in seen:
            yield _finding(route, f'stands twice, once as {route.name}')
        seen.add(route_key(route))
        yield from _route_problems(route, services)
    yield from _nesting_problems(configuration)


def newly_repeatable(
    before: Configuration, after: Configuration
) -> Iterator[Finding]:
    """Yield routes whose requests may be repeated now and not before."""
    routes_before = routes_by_key(before)
    for route in after.routes:
        route_before = routes_before.get(route_key(route))
        if route_before and route.idempotent and not route_before.idempotent:
            yield _finding(route, f'{ONCE} before, {REPEATABLE} now')


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


def _route_problems(route: Route, services: set[str]) -> Iterator[Finding]:
    for weighted in route.services:
        if weighted.service not in services:
            yield _finding(
                route, f'goes to "{weighted.service}", no such service'
            )
    if len(route.services) > 1 and not _total_weight(route):
        yield _finding(route, 'is split into shares that add to nothing')
    if route.objective_s > route.timeout_s:
        yield _finding(
            route,
            f'ends after {route.timeout_s:g} s, before its latency objective '
            f'of {route.objective_s:g} s',
        )


def _nesting_problems(configuration: Configuration) -> Iterator[Finding]:
    """Yield routes that must land once within one that may be repeated."""
    routes_by_prefix = routes_by_key(configuration)
    for route in configuration.routes:
        outer = _enclosing_route(routes_by_prefix, route)
        if outer is not None and outer.idempotent and not route.idempotent:
            yield _finding(
                route,
                f'{ONCE}, though {outer.path_prefix} around it {REPEATABLE}',
            )


def _enclosing_route(
    routes_by_prefix: dict[RouteKey, Route], route: Route
) -> Route | None:
    """Return the route with the longest prefix above that of ``route``."""
    path = route.path_prefix.rstrip('/')
    while path:
        path = path.rpartition('/')[0]
        outer = routes_by_prefix.get((route.host, f'{path}/'))
        if outer is not None:
            return outer
    return None


def _total_weight(route: Route) -> float:
    return sum(weighted.weight for weighted in route.services)


def _finding(route: Route, problem: str) -> Finding:
    return Finding(
        host=route.host, path_prefix=route.path_prefix, problem=problem
    )
