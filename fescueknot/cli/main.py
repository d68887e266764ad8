"""Entry point of the program: picks the subcommand and runs it."""

import importlib
import sys
from collections.abc import Sequence

from absl import app, flags

import fescueknot
from fescueknot.cli._subcommands import SUBCOMMANDS
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, CliError, ExitCode

_HELP_WORDS = frozenset(('help', '--help', '-h', '-help'))
_VERSION_WORDS = frozenset(('version', '--version'))


def run() -> None:
    """Run the program and end the process with its exit code."""
    app.run(main, argv=sys.argv, flags_parser=_unparsed)


def main(argv: Sequence[str]) -> int:
    """Run the subcommand that ``argv[1]`` names; return the exit code."""
    words = tuple(argv[1:])
    try:
        return int(_dispatch(words))
    except CliError as error:
        print(f'fescueknot: {error}', file=sys.stderr)
        return int(error.exit_code)
    except BrokenPipeError:
        return int(ExitCode.FAILED)
    except KeyboardInterrupt:
        return int(ExitCode.FAILED)


def load(name: str) -> Command:
    """Return the subcommand ``name``; raise :class:`BadInputError`."""
    try:
        entry = SUBCOMMANDS[name]
    except KeyError:
        raise BadInputError(
            f'no subcommand "{name}"; see fescueknot --help'
        ) from None
    module = importlib.import_module(entry.module)
    return getattr(module, entry.class_name)(name=name)


def overview() -> str:
    """Return the list of subcommands."""
    lines = [
        f'  {name:<18} {entry.summary}' for name, entry in SUBCOMMANDS.items()
    ]
    head = 'usage: fescueknot SUBCOMMAND [flags] [arguments]'
    tail = 'fescueknot SUBCOMMAND --help tells more.'
    return '\n'.join((head, '', *lines, '', tail))


def _dispatch(words: Sequence[str]) -> int:
    first = words[0] if words else ''
    if not first:
        raise BadInputError(f'no subcommand given\n\n{overview()}')
    if first in _HELP_WORDS:
        print(overview())
        return ExitCode.OK
    if first in _VERSION_WORDS:
        print(fescueknot.__version__)
        return ExitCode.OK
    return load(first).invoke(words[1:])


def _unparsed(argv: Sequence[str]) -> Sequence[str]:
    """Leave all words but the program's name to the subcommand."""
    flags.FLAGS(argv[:1])
    return argv


if __name__ == '__main__':
    run()
