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

_STATUS_MEANINGS = (
    (
        503,
        'not run and will not run; come back after the time in Retry-After',
    ),
    (502, 'may have run: an answer was lost or a target failed'),
    (504, 'may have run: there was no answer in time'),
)


class List(Command):
    """Lists routes in groups that are handled alike."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Prints one line for all routes of a host that go to the same service '
        'and are handled alike: whether a request whose outcome is unknown '
        'may be repeated or must land once, how many targets it may be sent '
        'to, the time-out, the latency objective, the importance class and '
        'the shares of a split.'
    )

    def define_flags(self) -> None:
        """Define the flags for filters and the output format."""
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
        self.define_json_flag()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the file and print the groups."""
        configuration = read_configuration(arguments[0])
        groups = group_routes(
            filter(self._matches_filters, configuration.routes)
        )
        if self.flags.json:
            print(json.dumps(msgspec.to_builtins(groups), indent=2))
            return ExitCode.OK
        print(f'version {configuration.version}')
        for line in render.table_lines([_group_row(group) for group in groups]):
            print(line)
        return ExitCode.OK

    def _matches_filters(self, route: Route) -> bool:
        services = {weighted.service for weighted in route.services}
        return (
            self.flags.host in {'', route.host}
            and (not self.flags.service or self.flags.service in services)
            and not (self.flags.once and route.idempotent)
        )


class Explain(Command):
    """Shows which route a request takes."""

    arguments_help = 'FILE HOST PATH'
    arguments_min = 3
    arguments_max = 3
    description = (
        'Says which route a request to HOST and PATH takes and why, and what '
        'a response of 502, 503 or 504 means to its caller.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Read the file and print the explanation."""
        file, host, request_path = arguments
        configuration = read_configuration(file)
        route = RouteTable(routes=configuration.routes).find(host, request_path)
        if route is None:
            raise CommandFailedError(
                _no_route(configuration, host, request_path)
            )
        for line in _explanation_lines(configuration, route):
            print(line)
        return ExitCode.OK


def _group_row(group: RouteGroup) -> dict[str, object]:
    omitted_count = group.count - len(group.paths)
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
        'paths': f'{paths} and {omitted_count} more'
        if omitted_count
        else paths,
    }


def _no_route(
    configuration: Configuration, host: str, request_path: str
) -> str:
    hosts = {route.host for route in configuration.routes}
    if host not in hosts:
        return f'no route: version {configuration.version} has no host "{host}"'
    return (
        f'no route: no prefix of {host} begins "{request_path}"; prefixes end '
        'with a slash; callers get 404'
    )


def _explanation_lines(
    configuration: Configuration, route: Route
) -> Iterator[str]:
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
    for status, meaning in _STATUS_MEANINGS:
        yield f'{status}: {meaning}{_repeat_advice(route, status)}'


def _repeat_advice(route: Route, status: int) -> str:
    if status == _STATUS_MEANINGS[0][0]:
        return ''
    if handling_of(route) == ONCE:
        return ': look into the books before you send it again'
    return '; sending it again does no harm'
