"""Errors of the settings package."""

import msgspec

from fescueknot.errors import FescueknotError


class Problem(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """A problem in a settings file: the path of a field and the reason."""

    field: str
    reason: str

    def __str__(self) -> str:
        """Return ``field: reason``."""
        return f'{self.field}: {self.reason}'


class SettingsError(FescueknotError):
    """A settings file can't be read or is invalid.

    ``source`` names the file, ``problems`` lists all problems found.
    """

    def __init__(self, *, source: str, problems: tuple[Problem, ...]) -> None:
        lines = [f'{source}: {problem}' for problem in problems]
        super().__init__('\n'.join(lines))
        self.source = source
        self.problems = problems
