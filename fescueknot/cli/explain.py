"""Subcommand ``explain``: shows how a node would handle a request."""

from collections.abc import Sequence
from typing import Any
from urllib.parse import urlencode

from fescueknot.calls import Importance
from fescueknot.cli import render
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.ops_command import OpsCommand


class Explain(OpsCommand):
    """Queries nodes for the rule and the policy that apply to a request."""

    arguments_help = 'SERVICE METHOD PATH'
    arguments_min = 3
    arguments_max = 3
    description = (
        'Prints how the node would handle a request now: importance class, '
        'retries, at-most-once, deadline, the rule that applies, who '
        'requested that rule, and whether the request would be admitted. '
        'Does not send the request.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Query each node in turn."""
        service, method, path = arguments
        query = urlencode(
            {'service': service, 'method': method.upper(), 'path': path}
        )
        for client in self.clients():
            self.show(client.get(f'/explain?{query}').document())
        return ExitCode.OK

    def lines(self, document: Any) -> list[str]:
        """Return one line for each leaf, with the importance class by name."""
        name = Importance(document['importance']).name.lower()
        return list(render.leaf_lines({**document, 'importance': name}))
