"""Action ``routes diff``."""

from collections.abc import Sequence

from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.routes_file import read_configuration
from fescueknot.routes.changes import change_lines


class Diff(Command):
    """Compares two versions of a configuration."""

    arguments_help = 'OLD NEW'
    arguments_min = 2
    arguments_max = 2
    description = 'Says in words what changed between two versions.'

    def run(self, arguments: Sequence[str]) -> int:
        """Read both files and print the changes."""
        before, after = map(read_configuration, arguments)
        print(f'version {before.version} to {after.version}')
        for line in change_lines(before, after):
            print(line)
        return ExitCode.OK
