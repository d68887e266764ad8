"""Subcommand ``bench``: picks a measurement and passes the rest on."""

import importlib
from collections.abc import Sequence

from fescueknot.cli._measurements import BENCHES
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError

_HELP_WORDS = frozenset(('--help', '-h'))


class Bench(Command):
    """Runs one measurement."""

    arguments_help = 'NAME [its flags]'
    description = (
        'Runs a measurement and prints its result as JSON. All that follows '
        'NAME goes to the measurement; bench NAME --help tells its flags.'
    )

    def invoke(self, words: Sequence[str]) -> int:
        """Pass all words after the name on."""
        if not words or words[0] in _HELP_WORDS:
            return super().invoke(words)
        return self.run(words)

    def run(self, arguments: Sequence[str]) -> int:
        """Run the measurement that the first word names."""
        name, *rest = arguments or ('',)
        if name not in BENCHES:
            listed = ', '.join(sorted(BENCHES))
            raise BadInputError(f'no measurement "{name}"; known: {listed}')
        module = importlib.import_module(BENCHES[name].module)
        return module.main(rest)

    def help_text(self) -> str:
        """Return the help with the list of measurements."""
        listed = [
            f'  {name:<14} {measurement.summary}'
            for name, measurement in sorted(BENCHES.items())
        ]
        return '\n'.join((super().help_text(), '', 'measurements:', *listed))
