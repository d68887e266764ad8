"""Entry point of the program: dispatches to subcommands."""

import importlib
import sys
from collections.abc import Sequence

from absl import app, flags

import fescueknot
from fescueknot.cli._subcommands import SUBCOMMANDS
from fescueknot.cli.command import Command
from fescueknot.cli.errors import BadInputError, CliError, ExitCode

_HELP_ARGS = frozenset(('help', '--help', '-h', '-help'))
_VERSION_ARGS = frozenset(('version', '--version'))


def run() -> None:
    """Run the program and exit the process with its exit code."""
    app.run(main, argv=sys.argv, flags_parser=_parse_program_name)


def main(argv: Sequence[str]) -> int:
    """Run the subcommand that ``argv[1]`` names; return the exit code."""
    args = tuple(argv[1:])
    try:
        return int(_dispatch(args))
    except CliError as error:
        print(f'fescueknot: {error}', file=sys.stderr)
        return int(error.exit_code)
    except BrokenPipeError:
        return int(ExitCode.FAILED)
    except KeyboardInterrupt:
        return int(ExitCode.FAILED)


def load(name: str) -> Command:
    """Return the subcommand ``name``.

    Raise :class:`BadInputError` if there is no such subcommand.
    """
    try:
        spec = SUBCOMMANDS[name]
    except KeyError:
        raise BadInputError(
            f'no subcommand "{name}"; see fescueknot --help'
        ) from None
    module = importlib.import_module(spec.module)
    return getattr(module, spec.class_name)(name=name)


def overview() -> str:
    """Return the usage line and the list of subcommands."""
    lines = [
        f'  {name:<18} {spec.summary}' for name, spec in SUBCOMMANDS.items()
    ]
    usage = 'usage: fescueknot SUBCOMMAND [flags] [arguments]'
    details = 'Run "fescueknot SUBCOMMAND --help" for details.'
    return '\n'.join((usage, '', *lines, '', details))


def _dispatch(args: Sequence[str]) -> int:
    subcommand = args[0] if args else ''
    if not subcommand:
        raise BadInputError(f'no subcommand given\n\n{overview()}')
    if subcommand in _HELP_ARGS:
        print(overview())
        return ExitCode.OK
    if subcommand in _VERSION_ARGS:
        print(fescueknot.__version__)
        return ExitCode.OK
    return load(subcommand).invoke(args[1:])


def _parse_program_name(argv: Sequence[str]) -> Sequence[str]:
    """Parse only the program's name; subcommands parse their own flags."""
    flags.FLAGS(argv[:1])
    return argv


if __name__ == '__main__':
    run()
