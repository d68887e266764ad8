"""Subcommand ``bench``: runs a measurement."""

import importlib
from collections.abc import Sequence

from fescueknot.cli._measurements import MEASUREMENTS
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError

_HELP_ARGS = frozenset(('--help', '-h'))


class Bench(Command):
    """Runs one measurement."""

    arguments_help = 'NAME [its flags]'
    description = (
        'Runs a measurement and prints its result as JSON. All arguments after '
        'NAME are passed to the measurement; bench NAME --help lists its '
        'flags.'
    )

    def invoke(self, args: Sequence[str]) -> int:
        """Pass all arguments after the name to the measurement."""
        if not args or args[0] in _HELP_ARGS:
            return super().invoke(args)
        return self.run(args)

    def run(self, arguments: Sequence[str]) -> int:
        """Run the measurement that the first argument names."""
        name, *rest = arguments or ('',)
        if name not in MEASUREMENTS:
            known_names = ', '.join(sorted(MEASUREMENTS))
            raise BadInputError(
                f'no measurement "{name}"; known: {known_names}'
            )
        module = importlib.import_module(MEASUREMENTS[name].module)
        return module.main(rest)

    def help_text(self) -> str:
        """Return the help text with the list of measurements."""
        measurement_lines = [
            f'  {name:<14} {measurement.summary}'
            for name, measurement in sorted(MEASUREMENTS.items())
        ]
        return '\n'.join(
            (super().help_text(), '', 'measurements:', *measurement_lines)
        )
