"""Subcommand ``fleet``: summarises the metrics of all nodes."""

import pathlib
from collections.abc import Iterator, Sequence
from concurrent import futures

import msgspec

from fescueknot.cli import render
from fescueknot.cli.addresses import parse_address
from fescueknot.cli.command import Command
from fescueknot.cli.errors import (
    BadInputError,
    CliError,
    ExitCode,
)
from fescueknot.cli.ops_client import OpsClient
from fescueknot.telemetry.errors import UnreadableMetricsError
from fescueknot.telemetry.fleet_figures import FleetFigures

_MAX_NODES = 100_000
_MAX_PARALLEL_REQUESTS = 32
_MAX_AGES_SHOWN = 3
_MAX_NAMES_SHOWN = 10
_METRICS_PATH = '/metrics'


class Fleet(Command):
    """Aggregates the metrics of any number of nodes."""

    arguments_help = 'NODE...'
    arguments_min = 1
    arguments_max = _MAX_NODES
    description = (
        'Prints the nodes by the version of the routes in force and by the '
        'era of the store that they know, what those with older routes know, '
        'the ages of '
        'the oldest evidence about routes, calls to the store by reason, '
        'slots by service and failure domain, targets that announce a rate '
        'limit or that they leave, and calls by service with percentiles over '
        'all nodes. NODE is the IP:PORT of a metrics port, '
        'or a file with its response. Fails if the metrics of a node are '
        'missing; the output then covers the remaining nodes.'
    )

    def define_flags(self) -> None:
        """Define the flag for the output format."""
        super().define_flags()
        self.define_json_flag()

    def run(self, arguments: Sequence[str]) -> int:
        """Read the metrics of all nodes and print the summary."""
        figures = FleetFigures()
        failures: dict[str, str] = {}
        with futures.ThreadPoolExecutor(_MAX_PARALLEL_REQUESTS) as pool:
            pending = {
                node: pool.submit(_metrics_text, node) for node in arguments
            }
            for node, future in pending.items():
                try:
                    figures.add(node, future.result())
                except (CliError, UnreadableMetricsError) as error:
                    failures[node] = str(error)
        show = _show_json if self.flags.json else _show_text
        show(figures, failures)
        return ExitCode.FAILED if failures else ExitCode.OK


def _metrics_text(node: str) -> str:
    path = pathlib.Path(node)
    if path.is_file():
        return _read_file(path)
    try:
        address = parse_address(node)
    except BadInputError as error:
        raise BadInputError(f'no such file, and {error}') from error
    return (
        OpsClient(address=address)
        .get(_METRICS_PATH)
        .body.decode(errors='replace')
    )


def _read_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(errors='replace')
    except OSError as error:
        raise BadInputError(str(error)) from error


def _show_json(figures: FleetFigures, failures: dict[str, str]) -> None:
    document = {
        'versions': figures.versions(),
        'store_eras': figures.store_eras(),
        'late_nodes': figures.late_nodes(),
        'belief_ages_s': dict(figures.evidence_ages()),
        'store_calls': figures.store_calls(),
        'targets': figures.targets(),
        'announcing_targets': figures.announcing_targets(),
        'services': figures.services(),
        'no_figures': failures,
    }
    encoded = msgspec.json.encode(document)
    print(msgspec.json.format(encoded, indent=2).decode())


def _show_text(figures: FleetFigures, failures: dict[str, str]) -> None:
    for line in _page_lines(figures):
        print(line)
    for node, reason in failures.items():
        print(f'no figures: {node}: {reason}')


def _page_lines(figures: FleetFigures) -> Iterator[str]:
    yield from _version_lines('routes', figures.versions())
    yield from _version_lines('era of the store', figures.store_eras())
    ages = figures.evidence_ages()[:_MAX_AGES_SHOWN]
    yield _titled_list(
        'oldest beliefs', [f'{node} {age:.1f} s' for node, age in ages]
    )
    calls = sorted(figures.store_calls().items())
    yield _titled_list(
        'store calls', [f'{reason}={count}' for reason, count in calls]
    )
    tables = (
        figures.late_nodes()[:_MAX_NAMES_SHOWN],
        figures.targets(),
        figures.announcing_targets(),
        figures.services(),
    )
    for rows in filter(None, tables):
        yield ''
        yield from render.table_lines(
            [msgspec.to_builtins(row) for row in rows]
        )


def _version_lines(
    subject: str, versions: dict[int, tuple[str, ...]]
) -> Iterator[str]:
    """Yield a line for each version of a subject.

    Nodes are named only if their version is not the newest.
    """
    newest = max(versions, default=0)
    for version, nodes in versions.items():
        noun = 'node' if len(nodes) == 1 else 'nodes'
        line = f'{subject} {version}: {len(nodes)} {noun}'
        if version == newest:
            yield line
        else:
            ellipsis = ', ...' if len(nodes) > _MAX_NAMES_SHOWN else ''
            yield f'{line}: {", ".join(nodes[:_MAX_NAMES_SHOWN])}{ellipsis}'


def _titled_list(title: str, entries: list[str]) -> str:
    joined = ', '.join(entries)
    return f'{title}: {joined}'
