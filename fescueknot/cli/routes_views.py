"""Actions ``routes list`` and ``routes explain``."""

import json
from collections.abc import Iterator, Sequence

import msgspec
from absl import flags

from fescueknot.cli import render
from fescueknot.cli.command import Command
from fescueknot.cli.errors import CommandFailedError, ExitCode
from fescueknot.cli.routes_file import read_configuration
from fescueknot.routes.messages import Configuration, Route
from fescueknot.routes.review import (
    ONCE,
    RouteGroup,
    group_routes,
    handling_of,
    shadowed_routes,
    shares_of,
)
from fescueknot.routes.table import RouteTable

_MEANINGS = (
    (
        503,
        'not run and will not run; come back after the time in Retry-After',
    ),
    (502, 'may have run: an answer was lost or a target failed'),
    (504, 'may have run: there was no answer in time'),
)


class List(Command):
    """Groups routes that are handled alike."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Prints a line for all routes of one host that go to the same service '
        'and are handled alike: whether a request whose end is unknown may be '
        'repeated or must land once, how many targets it may be sent to, the '
        'time, the latency objective, the class and the shares of a split.'
    )

    def define_flags(self) -> None:
        """Add filters and the format."""
        super().define_flags()
        for name, meaning in (
            ('host', 'Only routes of this host.'),
            ('service', 'Only routes that go to this service.'),
        ):
            flags.DEFINE_string(name, '', meaning, flag_values=self.flags)
        flags.DEFINE_boolean(
            'once',
            default=False,
            help='Only routes whose requests must land once.',
            flag_values=self.flags,
        )
        self.define_json()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the file and print the groups."""
        configuration = read_configuration(arguments[0])
        groups = group_routes(filter(self._is_wanted, configuration.routes))
        if self.flags.json:
            print(json.dumps(msgspec.to_builtins(groups), indent=2))
            return ExitCode.OK
        print(f'version {configuration.version}')
        for line in render.table([_row(group) for group in groups]):
            print(line)
        return ExitCode.OK

    def _is_wanted(self, route: Route) -> bool:
        services = {part.service for part in route.services}
        return (
            self.flags.host in {'', route.host}
            and (not self.flags.service or self.flags.service in services)
            and not (self.flags.once and route.idempotent)
        )


class Explain(Command):
    """Says which route wins."""

    arguments_help = 'FILE HOST PATH'
    arguments_min = 3
    arguments_max = 3
    description = (
        'Says which route a request to HOST and PATH takes and why, and what '
        'an answer of 502, 503 or 504 means to its caller.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Read the file and print the sentences."""
        path, host, target = arguments
        configuration = read_configuration(path)
        route = RouteTable(routes=configuration.routes).find(host, target)
        if route is None:
            raise CommandFailedError(_no_route(configuration, host, target))
        for line in _sentences(configuration, route):
            print(line)
        return ExitCode.OK


def _row(group: RouteGroup) -> dict[str, object]:
    more = group.count - len(group.paths)
    paths = ' '.join(group.paths)
    return {
        'host': group.host,
        'service': group.services,
        'requests': group.handling,
        'tries': group.attempts,
        'time_s': group.timeout_s,
        'objective_s': group.objective_s,
        'class': group.importance,
        'routes': group.count,
        'paths': f'{paths} and {more} more' if more else paths,
    }


def _no_route(configuration: Configuration, host: str, target: str) -> str:
    hosts = {route.host for route in configuration.routes}
    if host not in hosts:
        return f'no route: version {configuration.version} has no host "{host}"'
    return (
        f'no route: no prefix of {host} begins "{target}"; prefixes end with '
        'a slash; callers get 404'
    )


def _sentences(configuration: Configuration, route: Route) -> Iterator[str]:
    yield (
        f'{route.name} of version {configuration.version}: {route.host}'
        f'{route.path_prefix} is the longest prefix that begins the path'
    )
    for other in shadowed_routes(configuration.routes, route):
        yield f'  goes before {other.path_prefix} ({other.name})'
    yield f'goes to {shares_of(route)}'
    yield f'class {route.importance.name.lower()}; {handling_of(route)}'
    yield (
        f'kept waiting for {route.timeout_s:g} s at the most; full worth '
        f'within {route.objective_s:g} s; sent to {route.attempts} target(s) '
        'at the most'
    )
    for status, meaning in _MEANINGS:
        yield f'{status}: {meaning}{_advice(route, status)}'


def _advice(route: Route, status: int) -> str:
    if status == _MEANINGS[0][0]:
        return ''
    if handling_of(route) == ONCE:
        return ': look into the books before you send it again'
    return '; sending it again does no harm'
