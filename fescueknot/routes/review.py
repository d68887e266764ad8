"""What a person wants to know of a long configuration."""

import collections
from collections.abc import Iterable, Iterator

import msgspec

from fescueknot.routes.delta import RouteKey, route_key, routes_by_key
from fescueknot.routes.messages import Configuration, Route

ONCE = 'must land once'
REPEATABLE = 'may be repeated'
_MOST_PATHS = 3
_PERCENT = 100


class RouteGroup(msgspec.Struct, frozen=True, kw_only=True):
    """Routes of one host that are handled alike.

    ``timeout_s`` bounds how long a caller is kept waiting, an answer within
    ``objective_s`` has its full worth.
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
    """Something in a configuration that a person should look at."""

    host: str
    path_prefix: str
    problem: str


def handling_of(route: Route) -> str:
    """Return what may be done with a request whose end is unknown."""
    return REPEATABLE if route.idempotent else ONCE


def shares_of(route: Route) -> str:
    """Return the services of a route, with their shares if it is split."""
    if len(route.services) == 1:
        return route.services[0].service
    whole = (_total_weight(route) or 1) / _PERCENT
    return ', '.join(
        f'{part.service} {part.weight / whole:.0f}%' for part in route.services
    )


def group_routes(routes: Iterable[Route]) -> tuple[RouteGroup, ...]:
    """Return routes that are handled alike as one, by host and service."""
    alike: dict[RouteGroup, list[str]] = collections.defaultdict(list)
    for route in routes:
        alike[_handled(route)].append(route.path_prefix)
    groups = (
        msgspec.structs.replace(
            group,
            count=len(paths),
            paths=tuple(sorted(paths)[:_MOST_PATHS]),
        )
        for group, paths in alike.items()
    )
    return tuple(sorted(groups, key=msgspec.structs.astuple))


def shadowed_routes(
    routes: Iterable[Route], winner: Route
) -> tuple[Route, ...]:
    """Return the routes of one host that a longer prefix goes before."""
    others = (one for one in routes if route_key(one) != route_key(winner))
    return tuple(
        one
        for one in others
        if one.host == winner.host
        and winner.path_prefix.startswith(one.path_prefix)
    )


def find_problems(configuration: Configuration) -> Iterator[Finding]:
    """Yield what is odd in one configuration."""
    services = {service.name for service in configuration.services}
    seen: set[RouteKey] = set()
    for route in configuration.routes:
        if route_key(route) in seen:
            yield _found(route, f'stands twice, once as {route.name}')
        seen.add(route_key(route))
        yield from _odd_parts(route, services)
    yield from _surprises(configuration)


def newly_repeatable(
    before: Configuration, after: Configuration
) -> Iterator[Finding]:
    """Yield routes that had to land once and may be repeated now."""
    old = routes_by_key(before)
    for route in after.routes:
        known = old.get(route_key(route))
        if known and route.idempotent and not known.idempotent:
            yield _found(route, f'{ONCE} before, {REPEATABLE} now')


def _handled(route: Route) -> RouteGroup:
    """Return how a route is handled, without its path."""
    return RouteGroup(
        host=route.host,
        services=shares_of(route),
        handling=handling_of(route),
        attempts=route.attempts,
        timeout_s=route.timeout_s,
        objective_s=route.objective_s,
        importance=route.importance.name.lower(),
    )


def _odd_parts(route: Route, services: set[str]) -> Iterator[Finding]:
    for part in route.services:
        if part.service not in services:
            yield _found(route, f'goes to "{part.service}", no such service')
    if len(route.services) > 1 and not _total_weight(route):
        yield _found(route, 'is split into shares that add to nothing')
    if route.objective_s > route.timeout_s:
        yield _found(
            route,
            f'ends after {route.timeout_s:g} s, before its latency objective '
            f'of {route.objective_s:g} s',
        )


def _surprises(configuration: Configuration) -> Iterator[Finding]:
    """Yield prefixes that are handled in another way than those around."""
    around = routes_by_key(configuration)
    for route in configuration.routes:
        outer = _outer(around, route)
        if outer is not None and outer.idempotent and not route.idempotent:
            yield _found(
                route,
                f'{ONCE}, though {outer.path_prefix} around it {REPEATABLE}',
            )


def _outer(around: dict[RouteKey, Route], route: Route) -> Route | None:
    """Return the route that would win without this one."""
    path = route.path_prefix.rstrip('/')
    while path:
        path = path.rpartition('/')[0]
        found = around.get((route.host, f'{path}/'))
        if found is not None:
            return found
    return None


def _total_weight(route: Route) -> float:
    return sum(part.weight for part in route.services)


def _found(route: Route, problem: str) -> Finding:
    return Finding(
        host=route.host, path_prefix=route.path_prefix, problem=problem
    )
