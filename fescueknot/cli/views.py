"""Subcommands that print a JSON document of a node."""

from collections.abc import Sequence
from typing import Any

from fescueknot.cli import render
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.ops_command import OpsCommand


class DocumentCommand(OpsCommand):
    """Prints the document that nodes serve at ``path``."""

    path = ''

    def run(self, arguments: Sequence[str]) -> int:
        """Query each node in turn."""
        for client in self.clients():
            self.show(client.get(self.path).document())
        return ExitCode.OK

    def lines(self, document: Any) -> list[str]:
        """Return one line for each leaf."""
        return list(render.leaf_lines(document))


class Status(DocumentCommand):
    """Prints the state of a node."""

    path = '/status'
    description = (
        'Prints the state of a node: its identity, whether it is draining, '
        'its queue and concurrency limit, the version of the rules in force '
        'and the age of its data from the store.'
    )


class MetricsCommand(DocumentCommand):
    """Prints counters and percentiles of a node."""

    path = '/metrics.json'
    description = (
        'Prints counters, gauges and latency percentiles. The same metrics '
        'are served at /metrics of the ops port in the Prometheus text format.'
    )

    def lines(self, document: Any) -> list[str]:
        """Return a table of percentiles and a table of counters."""
        latencies = render.table_lines(document['latencies'])
        samples = render.table_lines(document['samples'])
        return [*latencies, '', *samples]


class Targets(DocumentCommand):
    """Prints the targets that a node knows."""

    path = '/targets'
    description = (
        'Prints the targets that a node knows from their announcements: '
        'service, place, address, state and results of calls to them.'
    )

    def lines(self, document: Any) -> list[str]:
        """Return a table with a row for each target."""
        return list(render.table_lines(document['targets']))
