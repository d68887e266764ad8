"""Checks of routes and services."""

import collections
import re
from collections.abc import Iterator

from fescueknot.routes.delta import RouteKey
from fescueknot.routes.findings import ConfigurationCheck, Finding, place_of
from fescueknot.routes.messages import Configuration, Route
from fescueknot.routes.review import ONCE, REPEATABLE, total_weight
from fescueknot.routes.table import normalized_host

# Neither wildcards nor URLs are understood; the others occur in no host.
_NOT_IN_HOSTS = re.compile(r'[\s/?#@*]')
_NOT_IN_PREFIXES = re.compile(r'[\s?#]')


class DefinedTwice(ConfigurationCheck):
    """Reports routes that are replaced by a later one."""

    name = 'route-twice'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare hosts and prefixes as the route table does."""
        by_key: dict[RouteKey, Route] = {}
        for route in configuration.routes:
            key = _lookup_key(route)
            earlier = by_key.get(key)
            if earlier is not None:
                yield self._finding(
                    place_of(route),
                    f'stands twice, once as {earlier.name}; only the last, '
                    f'{route.name}, is used',
                    'remove one of them',
                )
            by_key[key] = route


class SameName(ConfigurationCheck):
    """Reports different routes with one name.

    Nodes keep the state of a split by the route's name: two splits of one name
    over different services end requests with a ``KeyError``.
    """

    name = 'route-name'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Report each name once, at its first route."""
        by_name: dict[str, list[Route]] = collections.defaultdict(list)
        for route in configuration.routes:
            by_name[route.name].append(route)
        for name, routes in by_name.items():
            places = list(dict.fromkeys(map(place_of, routes)))
            if len(places) > 1:
                yield self._finding(
                    places[0],
                    f'has the name "{name}" of {", ".join(places[1:])}; logs '
                    'and splits do not tell them apart',
                    'give each route a name of its own',
                )


class NeverMatched(ConfigurationCheck):
    """Reports routes that no request can match."""

    name = 'never-matched'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Report the host and the prefix of a route separately."""
        for route in configuration.routes:
            yield from self._host_findings(route)
            yield from self._prefix_findings(route)

    def _host_findings(self, route: Route) -> Iterator[Finding]:
        place = place_of(route)
        if normalized_host(route.host) != route.host.lower():
            yield self._finding(
                place,
                f'can never match: host "{route.host}" is looked up as '
                f'"{normalized_host(route.host)}"',
                'write the host without the port',
            )
        elif not route.host or _NOT_IN_HOSTS.search(route.host):
            yield self._finding(
                place,
                f'can never match: "{route.host}" is no host of a request',
                'write the host alone, without scheme, path or wildcard',
            )

    def _prefix_findings(self, route: Route) -> Iterator[Finding]:
        prefix = route.path_prefix
        problem, fix = '', 'add the slash'
        if not prefix.startswith('/'):
            problem = 'does not begin with a slash'
        elif not prefix.endswith('/'):
            problem = 'does not end with a slash'
        elif _NOT_IN_PREFIXES.search(prefix):
            problem = 'has a character that is in no path of a request'
            fix = 'write the path alone, percent-encoded'
        if problem:
            yield self._finding(
                place_of(route),
                f'can never match: prefix "{prefix}" {problem}',
                fix,
            )


class ServiceMissing(ConfigurationCheck):
    """Reports routes to services that are not listed."""

    name = 'no-service'
    needs_all_entries = True

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare the routes' services with the listed ones."""
        listed = {service.name for service in configuration.services}
        for route in configuration.routes:
            for weighted in route.services:
                if weighted.service not in listed:
                    yield self._finding(
                        place_of(route),
                        f'goes to "{weighted.service}", no such service',
                        'add the service, or correct its name',
                    )


class ServiceTwice(ConfigurationCheck):
    """Reports services that are listed more than once."""

    name = 'service-twice'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Count the names."""
        counts = collections.Counter(
            service.name for service in configuration.services
        )
        for name, count in counts.items():
            if count > 1:
                yield self._finding(
                    f'service {name}',
                    f'is listed {count} times; only the last is used',
                    'remove the others',
                )


class ServiceUnused(ConfigurationCheck):
    """Reports services that no route uses."""

    name = 'service-unused'
    needs_all_entries = True

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare the listed services with those of the routes."""
        used = {
            weighted.service
            for route in configuration.routes
            for weighted in route.services
        }
        for name in dict.fromkeys(
            service.name for service in configuration.services
        ):
            if name not in used:
                yield self._finding(
                    f'service {name}',
                    'no route uses it',
                    'remove it, or add the route that is missing',
                )


class SplitWeights(ConfigurationCheck):
    """Reports parts of splits that get no request."""

    name = 'split-weight'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Report the whole split, or the parts without weight."""
        for route in configuration.routes:
            if len(route.services) < 2:
                continue
            if total_weight(route) <= 0:
                yield self._finding(
                    place_of(route),
                    'is split into shares that add to nothing',
                    'give each part a weight above 0',
                )
            else:
                yield from self._part_findings(route)

    def _part_findings(self, route: Route) -> Iterator[Finding]:
        for weighted in route.services:
            if weighted.weight <= 0:
                yield self._finding(
                    place_of(route),
                    f'never goes to "{weighted.service}", its weight is '
                    f'{weighted.weight:g}',
                    'raise the weight, or remove the part',
                )


class OnceWithinRepeatable(ConfigurationCheck):
    """Reports routes that must land once within one that may be repeated."""

    name = 'once-within-repeatable'
    needs_all_entries = True

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare each route with the next longer prefix around it."""
        routes = {_lookup_key(route): route for route in configuration.routes}
        for route in configuration.routes:
            outer = _enclosing_route(routes, route)
            if outer is not None and outer.idempotent and not route.idempotent:
                yield self._finding(
                    place_of(route),
                    f'{ONCE}, though {outer.path_prefix} around it '
                    f'{REPEATABLE}',
                    'look whether other requests below '
                    f'{outer.path_prefix} may be repeated',
                )


def _lookup_key(route: Route) -> RouteKey:
    """Return the key of a route in the route table: hosts have no case."""
    return (route.host.lower(), route.path_prefix)


def _enclosing_route(
    routes_by_prefix: dict[RouteKey, Route], route: Route
) -> Route | None:
    """Return the route with the longest prefix above that of ``route``."""
    path = route.path_prefix.rstrip('/')
    while path:
        path = path.rpartition('/')[0]
        outer = routes_by_prefix.get((route.host.lower(), f'{path}/'))
        if outer is not None:
            return outer
    return None
