"""Subcommand ``fleet``: one page on all nodes, from their metrics."""

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

_MOST_NODES = 100_000
_ASKED_AT_ONCE = 32
_OLDEST_SHOWN = 3
_NAMES_SHOWN = 10
_PATH = '/metrics'


class Fleet(Command):
    """Adds up the metrics of any number of nodes."""

    arguments_help = 'NODE...'
    arguments_min = 1
    arguments_max = _MOST_NODES
    description = (
        'Prints which versions of the routes are in force where, how old '
        'beliefs are, calls to the store by reason, slots by service and '
        'failure domain, and calls by service with percentiles of all nodes '
        'together. NODE is the IP:PORT of a metrics port, or a file with what '
        'it answered. Fails when a node gave no figures; those of the others '
        'are printed.'
    )

    def define_flags(self) -> None:
        """Add the format."""
        super().define_flags()
        self.define_json()

    def run(self, arguments: Sequence[str]) -> int:
        """Read all nodes and print the page."""
        figures = FleetFigures()
        missing: dict[str, str] = {}
        with futures.ThreadPoolExecutor(_ASKED_AT_ONCE) as pool:
            asked = {node: pool.submit(_text, node) for node in arguments}
            for node, answer in asked.items():
                try:
                    figures.add(node, answer.result())
                except (CliError, UnreadableMetricsError) as error:
                    missing[node] = str(error)
        show = _show_json if self.flags.json else _show_text
        show(figures, missing)
        return ExitCode.FAILED if missing else ExitCode.OK


def _text(node: str) -> str:
    path = pathlib.Path(node)
    if path.is_file():
        return _text_of_file(path)
    try:
        address = parse_address(node)
    except BadInputError as error:
        raise BadInputError(f'no such file, and {error}') from error
    return OpsClient(address=address).get(_PATH).body.decode(errors='replace')


def _text_of_file(path: pathlib.Path) -> str:
    try:
        return path.read_text(errors='replace')
    except OSError as error:
        raise BadInputError(str(error)) from error


def _show_json(figures: FleetFigures, missing: dict[str, str]) -> None:
    document = {
        'versions': figures.versions(),
        'belief_ages_s': dict(figures.evidence_ages()),
        'store_calls': figures.store_calls(),
        'targets': figures.targets(),
        'services': figures.services(),
        'no_figures': missing,
    }
    encoded = msgspec.json.encode(document)
    print(msgspec.json.format(encoded, indent=2).decode())


def _show_text(figures: FleetFigures, missing: dict[str, str]) -> None:
    for line in _lines(figures):
        print(line)
    for node, reason in missing.items():
        print(f'no figures: {node}: {reason}')


def _lines(figures: FleetFigures) -> Iterator[str]:
    yield from _version_lines(figures.versions())
    oldest = figures.evidence_ages()[:_OLDEST_SHOWN]
    yield _listed(
        'oldest beliefs', [f'{node} {age:.1f} s' for node, age in oldest]
    )
    calls = sorted(figures.store_calls().items())
    yield _listed('store calls', [f'{why}={count}' for why, count in calls])
    for rows in (figures.targets(), figures.services()):
        yield ''
        yield from render.table([msgspec.to_builtins(row) for row in rows])


def _version_lines(versions: dict[int, tuple[str, ...]]) -> Iterator[str]:
    """Yield a line for each version; only stragglers are named."""
    newest = max(versions, default=0)
    for version, nodes in versions.items():
        noun = 'node' if len(nodes) == 1 else 'nodes'
        line = f'routes {version}: {len(nodes)} {noun}'
        if version == newest:
            yield line
        else:
            more = ', ...' if len(nodes) > _NAMES_SHOWN else ''
            yield f'{line}: {", ".join(nodes[:_NAMES_SHOWN])}{more}'


def _listed(title: str, entries: list[str]) -> str:
    joined = ', '.join(entries)
    return f'{title}: {joined}'
