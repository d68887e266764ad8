"""Action ``rules check``."""

from collections.abc import Sequence

from fescueknot.cli.command import Command
from fescueknot.cli.errors import ExitCode
from fescueknot.cli.rules_access import convert_rules_errors, read_rules_file
from fescueknot.rules.rules_file import check_rules


class Check(Command):
    """Checks a rules file."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Checks a rules file and names every problem with its line, column '
        'and fix. Changes nothing and contacts no node.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Check the file."""
        path = arguments[0]
        with convert_rules_errors():
            check_rules(read_rules_file(path), file=path)
        print(f'{path}: good')
        return ExitCode.OK
