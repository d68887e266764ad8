"""Subcommands that have actions, such as ``rules apply``."""

import importlib
from collections.abc import Mapping, Sequence

from fescueknot.cli._subcommands import CommandSpec
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError

_HELP_ARGS = frozenset(('--help', '-h'))


class CommandGroup(Command):
    """Runs the action that the first argument names.

    ``actions`` maps names of actions to their modules and classes.
    """

    arguments_help = 'ACTION [its flags and arguments]'
    actions: Mapping[str, CommandSpec]

    def invoke(self, args: Sequence[str]) -> int:
        """Pass all arguments after the name of the action to the action."""
        if args and args[0] in _HELP_ARGS:
            return super().invoke(args[:1])
        return self.run(args)

    def run(self, arguments: Sequence[str]) -> int:
        """Run the action."""
        action = ''.join(arguments[:1])
        return self.load(action).invoke(arguments[1:])

    def load(self, action: str) -> Command:
        """Return the action.

        Raise :class:`BadInputError` if there is no such action.
        """
        if action not in self.actions:
            known_actions = ', '.join(self.actions)
            raise BadInputError(
                f'{self.name}: no action "{action}"; known: {known_actions}'
            )
        spec = self.actions[action]
        module = importlib.import_module(spec.module)
        command_class = getattr(module, spec.class_name)
        return command_class(name=f'{self.name} {action}')

    def help_text(self) -> str:
        """Return the help text with the list of actions."""
        action_lines = [
            f'  {action:<10} {spec.summary}'
            for action, spec in self.actions.items()
        ]
        return '\n'.join((super().help_text(), '', 'actions:', *action_lines))
