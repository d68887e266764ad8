"""Problems of a rules file, each with its position and a fix."""

import msgspec

from fescueknot.rules.errors import RulesError


class LineProblem(msgspec.Struct, frozen=True, kw_only=True):
    """A problem in one line; ``column`` counts from 1."""

    column: int
    field: str
    message: str
    fix: str


class Problem(msgspec.Struct, frozen=True, kw_only=True):
    """A problem in a file; ``line`` and ``column`` count from 1."""

    file: str
    line: int
    column: int
    field: str
    message: str
    fix: str

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        position = f'{self.file}:{self.line}:{self.column}'
        return f'{position}: {self.field}: {self.message}; fix: {self.fix}'


class InvalidRules(RulesError):
    """The rules are invalid; ``problems`` lists all problems."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        super().__init__('\n'.join(str(problem) for problem in problems))
        self.problems = problems
