"""Subcommands that have actions, such as ``rules apply``."""

import importlib
from collections.abc import Mapping, Sequence

from fescueknot.cli._subcommands import Entry
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError

_HELP_WORDS = frozenset(('--help', '-h'))


class CommandGroup(Command):
    """Picks the action that the first word names.

    ``actions`` is the table of them.
    """

    arguments_help = 'ACTION [its flags and arguments]'
    actions: Mapping[str, Entry]

    def invoke(self, words: Sequence[str]) -> int:
        """Pass all words after the action's name on to it."""
        if words and words[0] in _HELP_WORDS:
            return super().invoke(words[:1])
        return self.run(words)

    def run(self, arguments: Sequence[str]) -> int:
        """Run the action."""
        first = ''.join(arguments[:1])
        return self.load(first).invoke(arguments[1:])

    def load(self, action: str) -> Command:
        """Return the action; raise :class:`BadInputError`."""
        if action not in self.actions:
            listed = ', '.join(self.actions)
            raise BadInputError(
                f'{self.name}: no action "{action}"; known: {listed}'
            )
        entry = self.actions[action]
        module = importlib.import_module(entry.module)
        command = getattr(module, entry.class_name)
        return command(name=f'{self.name} {action}')

    def help_text(self) -> str:
        """Return the help with the list of actions."""
        listed = [
            f'  {action:<10} {entry.summary}'
            for action, entry in self.actions.items()
        ]
        return '\n'.join((super().help_text(), '', 'actions:', *listed))
