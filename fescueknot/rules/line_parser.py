"""Parses one line of a rules file."""

from collections.abc import Callable
from typing import TypeVar

import msgspec

from fescueknot.calls import CallPolicy
from fescueknot.rules.errors import BadField
from fescueknot.rules.options import OptionValue, parse_option
from fescueknot.rules.paths import parse_pattern
from fescueknot.rules.problems import LineProblem
from fescueknot.rules.selector import Selector, parse_methods, parse_service
from fescueknot.rules.tokens import (
    Token,
    TokenLine,
    UnclosedQuote,
    split_line,
)

_Parsed = TypeVar('_Parsed')

_SELECTOR_FIELDS = ('service', 'method', 'path')
_COMMENT_FIELD = 'comment'
_CLASS_OPTION = 'class'


class Rule(msgspec.Struct, frozen=True, kw_only=True):
    """A selector and the policy of the calls that it matches."""

    selector: Selector
    policy: CallPolicy


class ParsedLine(msgspec.Struct, frozen=True, kw_only=True):
    """The rule or the problems of a line.

    A line without words, such as a comment, has neither.
    """

    rule: Rule | None = None
    problems: tuple[LineProblem, ...] = ()


def parse_line(line: str) -> ParsedLine:
    """Parse a line and collect all its problems."""
    try:
        token_line = split_line(line)
    except UnclosedQuote as error:
        problem = LineProblem(
            column=error.column,
            field='line',
            message=str(error),
            fix=error.fix,
        )
        return ParsedLine(problems=(problem,))
    if not token_line.tokens:
        return ParsedLine()
    return _LineParser(token_line=token_line, end_column=len(line) + 1).parse()


class _LineParser:
    """Parses the tokens of one line and collects the problems."""

    def __init__(self, *, token_line: TokenLine, end_column: int) -> None:
        self._token_line = token_line
        self._end_column = end_column
        self._problems: list[LineProblem] = []

    def parse(self) -> ParsedLine:
        """Return the rule, or all problems of the line."""
        selector = self._parse_selector()
        options = self._parse_options()
        self._check_options(options)
        if not self._token_line.comment:
            self._add_problem(
                self._end_column,
                _COMMENT_FIELD,
                'the comment naming who requested the rule is missing',
                fix='end the line with # and a name',
            )
        if self._problems or selector is None:
            return ParsedLine(problems=tuple(self._problems))
        policy = CallPolicy(
            rule=str(selector),
            requested_by=self._token_line.comment,
            **{option.field: option.value for option in options},
        )
        return ParsedLine(rule=Rule(selector=selector, policy=policy))

    def _parse_selector(self) -> Selector | None:
        tokens = self._token_line.tokens[: len(_SELECTOR_FIELDS)]
        for missing_field in _SELECTOR_FIELDS[len(tokens) :]:
            self._add_problem(
                self._end_column,
                missing_field,
                f'the {missing_field} is missing',
                fix='write service, method, path, then options',
            )
        if len(tokens) < len(_SELECTOR_FIELDS):
            return None
        service = self._parse_token(tokens[0], 'service', parse_service)
        methods = self._parse_token(tokens[1], 'method', parse_methods)
        segments = self._parse_token(tokens[2], 'path', parse_pattern)
        if service is None or methods is None or segments is None:
            return None
        return Selector(service=service, methods=methods, segments=segments)

    def _parse_options(self) -> list[OptionValue]:
        options: dict[str, OptionValue] = {}
        for token in self._token_line.tokens[len(_SELECTOR_FIELDS) :]:
            option = self._parse_token(token, _option_name(token), parse_option)
            if option is None:
                continue
            if option.name in options:
                self._add_problem(
                    token.column,
                    option.name,
                    'is given twice',
                    fix='keep one of them',
                )
            options[option.name] = option
        return list(options.values())

    def _check_options(self, options: list[OptionValue]) -> None:
        values = {option.field: option.value for option in options}
        if self._is_class_missing():
            self._add_problem(
                self._end_column,
                _CLASS_OPTION,
                'the importance class is missing',
                fix='add class=critical, high, normal or low',
            )
        if values.get('at_most_once') and values.get('idempotent'):
            self._add_problem(
                self._column_of('retry'),
                'retry',
                'at-most-once calls are never repeated',
                fix='write retry=never, or remove at-most-once',
            )

    def _is_class_missing(self) -> bool:
        if len(self._token_line.tokens) < len(_SELECTOR_FIELDS):
            return False
        return self._column_of(_CLASS_OPTION) == self._end_column

    def _column_of(self, name: str) -> int:
        for token in self._token_line.tokens:
            if _option_name(token) == name:
                return token.column
        return self._end_column

    def _parse_token(
        self, token: Token, field: str, parse: Callable[[str], _Parsed]
    ) -> _Parsed | None:
        try:
            return parse(token.text)
        except BadField as error:
            self._add_problem(token.column, field, str(error), fix=error.fix)
        return None

    def _add_problem(
        self, column: int, field: str, message: str, *, fix: str
    ) -> None:
        problem = LineProblem(
            column=column, field=field, message=message, fix=fix
        )
        self._problems.append(problem)


def _option_name(token: Token) -> str:
    return token.text.partition('=')[0]
