"""Actions ``routes diff`` and ``routes check``."""

from collections.abc import Iterator, Sequence

from absl import flags

from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.routes_file import read_configuration
from fescueknot.routes.delta import (
    RoutesDelta,
    compute_delta,
    route_key,
    routes_by_key,
)
from fescueknot.routes.messages import Configuration, Route
from fescueknot.routes.review import (
    find_problems,
    handling_of,
    newly_repeatable,
    shares_of,
)

_COMPARED_FIELDS = (
    ('goes to', shares_of),
    ('requests', handling_of),
    ('class', lambda route: route.importance.name.lower()),
    ('tries', lambda route: route.attempts),
    ('time in s', lambda route: f'{route.timeout_s:g}'),
    ('objective in s', lambda route: f'{route.objective_s:g}'),
)


class Diff(Command):
    """Compares two versions of a configuration."""

    arguments_help = 'OLD NEW'
    arguments_min = 2
    arguments_max = 2
    description = 'Says in words what changed between two versions.'

    def run(self, arguments: Sequence[str]) -> int:
        """Read both files and print the changes."""
        before, after = map(read_configuration, arguments)
        delta = compute_delta(before, after)
        print(f'version {before.version} to {after.version}')
        for line in _change_lines(before, after, delta):
            print(line)
        return ExitCode.OK


class Check(Command):
    """Reports routes that are likely to be mistakes."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Reports routes that are defined twice, lead to no service, have a '
        'split whose weights are all 0, time out before their latency '
        'objective, or must land once below a prefix that may be repeated. '
        'With --before also routes that had to land once in an earlier '
        'version and now may be repeated. Exit code 1 if there are any.'
    )

    def define_flags(self) -> None:
        """Define the flag for the earlier version."""
        super().define_flags()
        flags.DEFINE_string(
            'before',
            '',
            'File with the earlier version, such as the one in force.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Read the file and print the findings."""
        configuration = read_configuration(arguments[0])
        findings = list(find_problems(configuration))
        if self.flags.before:
            before = read_configuration(self.flags.before)
            findings.extend(newly_repeatable(before, configuration))
        for finding in findings:
            print(f'{finding.host}{finding.path_prefix}: {finding.problem}')
        if findings:
            return ExitCode.FAILED
        print(f'version {configuration.version}: nothing odd')
        return ExitCode.OK


def _change_lines(
    before: Configuration, after: Configuration, delta: RoutesDelta
) -> Iterator[str]:
    old_routes = routes_by_key(before)
    for host, prefix in delta.removed_routes:
        yield f'{host}{prefix}: gone, callers get 404'
    for route in delta.routes:
        old_route = old_routes.get(route_key(route))
        if old_route is None:
            yield (
                f'{route.host}{route.path_prefix}: new, goes to '
                f'{shares_of(route)}, {handling_of(route)}'
            )
        else:
            yield from _route_change_lines(old_route, route)
    yield from (
        f'service {service.name}: new or changed' for service in delta.services
    )
    yield from (f'service {name}: gone' for name in delta.removed_services)
    if after.limits != before.limits:
        yield f'limits: {before.limits} before, {after.limits} now'


def _route_change_lines(before: Route, after: Route) -> Iterator[str]:
    for name, describe in _COMPARED_FIELDS:
        if describe(before) != describe(after):
            yield (
                f'{after.host}{after.path_prefix}: {name} {describe(before)} '
                f'before, {describe(after)} now'
            )
