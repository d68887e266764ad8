"""Base class of subcommands.

Each subcommand has its own set of ``absl`` flags, separate from the flags of
other subcommands and of libraries.
"""

import abc
import textwrap
from collections.abc import Iterator, Sequence

from absl import flags

from fescueknot.cli.errors import BadInputError, ExitCode

_PROGRAM = 'fescueknot'
_WIDTH_CHARACTERS = 78
_EXIT_CODES = 'exit codes: 0 done, 1 refused or failed, 2 bad input or usage'


class Command(abc.ABC):
    """Base of all subcommands.

    ``arguments_help`` names the positional arguments; ``description`` states
    in whole sentences what the subcommand does.
    """

    arguments_help = ''
    arguments_min = 0
    arguments_max = 0
    description = ''

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.flags = flags.FlagValues()
        self.flags.set_gnu_getopt(gnu_getopt=True)
        self.define_flags()

    def define_flags(self) -> None:
        """Define ``--help``; subclasses add their flags to ``self.flags``."""
        flags.DEFINE_boolean(
            'help',
            default=False,
            help='Print this text.',
            short_name='h',
            flag_values=self.flags,
        )

    def define_json_flag(self) -> None:
        """Define ``--json``, for subcommands with machine-readable output."""
        flags.DEFINE_boolean(
            'json',
            default=False,
            help='Print one JSON document.',
            flag_values=self.flags,
        )

    @abc.abstractmethod
    def run(self, arguments: Sequence[str]) -> int:
        """Run the subcommand and return its exit code.

        Raise :class:`fescueknot.cli.errors.CliError` on failure.
        """

    def invoke(self, args: Sequence[str]) -> int:
        """Parse ``args``; print the help text or run the subcommand."""
        arguments = self._parse(args)
        if self.flags.help:
            print(self.help_text())
            return ExitCode.OK
        is_count_valid = (
            self.arguments_min <= len(arguments) <= self.arguments_max
        )
        if not is_count_valid:
            raise BadInputError(
                f'{self.name} takes: {self.arguments_help or "no arguments"}; '
                f'found {len(arguments)}; see {_PROGRAM} {self.name} --help'
            )
        return self.run(arguments)

    def help_text(self) -> str:
        """Return usage, description, flags and exit codes."""
        usage = ' '.join(
            part
            for part in (_PROGRAM, self.name, '[flags]', self.arguments_help)
            if part
        )
        paragraphs = (
            f'usage: {usage}',
            textwrap.fill(self.description, _WIDTH_CHARACTERS),
            '\n'.join(('flags:', *self._flag_lines())),
            _EXIT_CODES,
        )
        return '\n\n'.join(paragraphs)

    def _parse(self, args: Sequence[str]) -> list[str]:
        try:
            return self.flags((self.name, *args))[1:]
        except flags.Error as error:
            raise BadInputError(
                f'{error}; see {_PROGRAM} {self.name} --help'
            ) from error

    def _flag_lines(self) -> Iterator[str]:
        for name in self.flags:
            flag = self.flags[name]
            if name == flag.name:
                default = flag.default_as_str or 'none'
                text = f'--{name}: {flag.help} (default: {default})'
                yield textwrap.fill(
                    text,
                    _WIDTH_CHARACTERS,
                    initial_indent='  ',
                    subsequent_indent='      ',
                )
