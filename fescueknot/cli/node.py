"""Subcommand ``node``: runs the process beside a target."""

import importlib
from collections.abc import Sequence

from absl import flags

from fescueknot.cli.addresses import read_settings
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, CommandFailedError

_NODE_MODULE = 'fescueknot.node.main'


class Node(Command):
    """Runs a node until SIGTERM or ``fescueknot drain``."""

    description = (
        'Runs the process beside a target until SIGTERM, SIGINT or a drain: '
        'it then takes no new work, finishes the requests in flight and ends. '
        'It starts no other process and writes no file; logs go to the '
        'standard error stream.'
    )

    def define_flags(self) -> None:
        """Define the flag for the settings file."""
        super().define_flags()
        flags.DEFINE_string(
            'settings',
            default='',
            help='Settings file, JSON; see fescueknot schema.',
            flag_values=self.flags,
        )

    def run(self, arguments: Sequence[str]) -> int:
        """Run the node."""
        path = self.flags.settings
        if not path:
            raise BadInputError('say which settings: --settings FILE')
        read_settings(path)
        try:
            return importlib.import_module(_NODE_MODULE).run(path)
        except OSError as failure:
            raise CommandFailedError(f"can't start: {failure}") from failure
