"""Subcommands ``settings-check`` and ``schema``."""

from collections.abc import Sequence

from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, ExitCode
from fescueknot.settings.errors import SettingsError
from fescueknot.settings.loader import load_settings
from fescueknot.settings.schema import schema_text


class SettingsCheck(Command):
    """Checks a settings file."""

    arguments_help = 'FILE'
    arguments_min = 1
    arguments_max = 1
    description = (
        'Checks a settings file as a node would, and names every fault with '
        'the path of its field. Starts nothing.'
    )

    def run(self, arguments: Sequence[str]) -> int:
        """Check the file."""
        try:
            settings = load_settings(arguments[0])
        except SettingsError as error:
            faults = len(error.problems)
            raise BadInputError(f'{faults} fault(s)\n{error}') from error
        print(f'{arguments[0]}: good, instance {settings.instance}')
        return ExitCode.OK


class Schema(Command):
    """Prints the JSON Schema of the settings file."""

    description = 'Prints the JSON Schema of the settings file.'

    def run(self, arguments: Sequence[str]) -> int:
        """Print the schema."""
        print(schema_text())
        return ExitCode.OK
