"""Errors and exit codes of the command line."""

import enum

from fescueknot.errors import FescueknotError


class ExitCode(enum.IntEnum):
    """Exit codes of all subcommands."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2


class CliError(FescueknotError):
    """Base of command-line errors; ``exit_code`` is the program's exit code."""

    exit_code = ExitCode.FAILED


class CommandFailedError(CliError):
    """The command is valid, but was refused or failed."""


class BadInputError(CliError):
    """A flag, an argument or an input file is invalid."""

    exit_code = ExitCode.BAD_INPUT
