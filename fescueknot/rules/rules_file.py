"""Checks a rules file and collects all its problems."""

import collections
import itertools
from collections.abc import Iterator

import msgspec

from fescueknot.rules.line_parser import ParsedLine, Rule, parse_line
from fescueknot.rules.paths import ONE_SEGMENT, REST
from fescueknot.rules.problems import InvalidRules, LineProblem, Problem
from fescueknot.rules.rule_set import RuleSet
from fescueknot.rules.selector import ANY, Selector

_BucketKey = tuple[str, tuple[str, ...]]


class _NumberedRule(msgspec.Struct, frozen=True, kw_only=True):
    line: int
    rule: Rule


def check_rules(text: str, *, file: str) -> RuleSet:
    """Return the rules of a file; raise ``InvalidRules`` with all problems.

    Besides the problems of single lines, it reports shadowed rules: rules
    that never match because an earlier rule matches all their calls.
    """
    problems: list[Problem] = []
    numbered_rules: list[_NumberedRule] = []
    lines = text.splitlines()
    for number, line in enumerate(lines, start=1):
        parsed = parse_line(line)
        problems += _line_problems(parsed, file=file, line=number)
        if parsed.rule is not None:
            numbered_rules.append(_NumberedRule(line=number, rule=parsed.rule))
    problems += _shadowed_rules(numbered_rules, file=file)
    if problems:
        raise InvalidRules(tuple(sorted(problems, key=_position)))
    return RuleSet(lines=lines)


def _position(problem: Problem) -> tuple[int, int]:
    return problem.line, problem.column


def _line_problems(
    parsed: ParsedLine, *, file: str, line: int
) -> Iterator[Problem]:
    for line_problem in parsed.problems:
        yield _problem(line_problem, file=file, line=line)


def _problem(line_problem: LineProblem, *, file: str, line: int) -> Problem:
    return Problem(
        file=file,
        line=line,
        column=line_problem.column,
        field=line_problem.field,
        message=line_problem.message,
        fix=line_problem.fix,
    )


def _shadowed_rules(
    numbered_rules: list[_NumberedRule], *, file: str
) -> Iterator[Problem]:
    earlier: dict[_BucketKey, list[_NumberedRule]] = collections.defaultdict(
        list
    )
    for numbered_rule in numbered_rules:
        selector = numbered_rule.rule.selector
        for candidate in _candidates(earlier, selector):
            if candidate.rule.selector.covers(selector):
                yield _shadowed_problem(numbered_rule, candidate, file=file)
                break
        earlier[_bucket_key(selector)].append(numbered_rule)


def _bucket_key(selector: Selector) -> _BucketKey:
    return selector.service, selector.segments[:1]


def _candidates(
    earlier: dict[_BucketKey, list[_NumberedRule]], selector: Selector
) -> Iterator[_NumberedRule]:
    """Yield earlier rules that may cover ``selector``, by first segment."""
    first_segments = {selector.segments[:1], (ONE_SEGMENT,), (REST,)}
    for key in itertools.product((ANY, selector.service), first_segments):
        yield from earlier[key]


def _shadowed_problem(
    rule: _NumberedRule, shadowing: _NumberedRule, *, file: str
) -> Problem:
    return Problem(
        file=file,
        line=rule.line,
        column=1,
        field='rule',
        message=f'never matches, line {shadowing.line} covers it',
        fix=f'move it above line {shadowing.line}, or remove it',
    )
