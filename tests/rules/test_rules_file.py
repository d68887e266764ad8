"""Policies from valid rules files, and problems of invalid files."""

import pathlib

import pytest

from fescueknot.calls import CallPolicy, Importance
from fescueknot.rules.problems import InvalidRules, Problem
from fescueknot.rules.rule_set import FALLBACK_POLICY, RuleSet
from fescueknot.rules.rules_file import check_rules

_EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / 'examples'


def _problems(text: str) -> tuple[Problem, ...]:
    try:
        check_rules(text, file='f.rules')
    except InvalidRules as error:
        return error.problems
    raise AssertionError('the rules were accepted')


def _example(name: str) -> RuleSet:
    path = _EXAMPLES / f'{name}.rules'
    return check_rules(path.read_text(encoding='utf-8'), file=path.name)


class TestPolicy:
    """The policy that a line defines."""

    def test_all_options(self) -> None:
        rules = check_rules(
            'inscripcion POST /entries/** class=critical retry=never'
            ' at-most-once deadline=8s # Club secretaries, Marta',
            file='f.rules',
        )
        policy = rules.match(
            service='inscripcion', method='POST', path='/entries/7'
        )
        assert policy == CallPolicy(
            importance=Importance.CRITICAL,
            idempotent=False,
            at_most_once=True,
            deadline_ms=8000,
            rule='inscripcion POST /entries/**',
            requested_by='Club secretaries, Marta',
        )

    def test_safe_method_is_not_idempotent_by_itself(self) -> None:
        rules = check_rules('a GET /** class=high # x', file='f.rules')
        assert not rules.match(service='a', method='GET', path='/').idempotent

    def test_fallback(self) -> None:
        rules = check_rules('# nothing\n\n', file='f.rules')
        policy = rules.match(service='a', method='GET', path='/')
        assert policy == FALLBACK_POLICY
        assert policy.importance is Importance.LOW
        assert not policy.idempotent


_MATCHES = (
    ('/x/*', '/x/1', True),
    ('/x/*', '/x', False),
    ('/x/*', '/x/1/2', False),
    ('/x/**', '/x', True),
    ('/x/**', '/x/1/2', True),
    ('/x/**', '/xy', False),
    ('/**', '/', True),
    ('/', '/', True),
    ('/', '/x', False),
    ('/x.y', '/xzy', False),
    ('/x', '/x?y=1', True),
    ('/x', '/x/', True),
    ('/x', '//x', True),
    ('/x', '/%78', True),
    ('/x', '/y/../x', True),
    ('/x', '/./x', True),
    ('/x', '/x\n', False),
)


class TestMatching:
    """Paths are normalised before matching; the first matching rule wins."""

    @pytest.mark.parametrize(('pattern', 'path', 'is_match'), _MATCHES)
    def test_path(self, pattern: str, path: str, is_match: bool) -> None:
        rules = check_rules(f'a * {pattern} class=high # x', file='f.rules')
        found = rules.find(service='a', method='GET', path=path)
        assert bool(found) is is_match

    @pytest.mark.parametrize(
        ('service', 'method', 'path', 'importance'),
        [
            ('a', 'POST', '/x/1', Importance.CRITICAL),
            ('a', 'GET', '/x/1', Importance.HIGH),
            ('a', 'BREW', '/x/1', Importance.NORMAL),
            ('b', 'POST', '/x/1', Importance.NORMAL),
            ('b', 'POST', '/y', Importance.LOW),
        ],
    )
    def test_first_match_wins(self, service, method, path, importance) -> None:
        rules = check_rules(
            'a POST /x/* class=critical # p\n'
            'a GET,HEAD /x/** class=high # q\n'
            '* * /x/** class=normal # r\n'
            'a POST /y class=high # s\n',
            file='f.rules',
        )
        policy = rules.match(service=service, method=method, path=path)
        assert policy.importance is importance


_INVALID_LINES = (
    ('a GET /x class=low', 19, 'comment'),
    ('a GET /x class=low #', 21, 'comment'),
    ('a GET /x class=low # ', 22, 'comment'),
    ('a GET # x', 10, 'path'),
    ('a GET x class=low # x', 7, 'path'),
    ('a GET /x/**/y class=low # x', 7, 'path'),
    ('a GET /x* class=low # x', 7, 'path'),
    ('a GET /x/../y class=low # x', 7, 'path'),
    ('a GET /x?y class=low # x', 7, 'path'),
    ('A GET /x class=low # x', 1, 'service'),
    ('a get /x class=low # x', 3, 'method'),
    ('a GET /x # x', 13, 'class'),
    ('a GET /x class=urgent # x', 10, 'class'),
    ('a GET /x class=low retri=never # x', 20, 'retri'),
    ('a GET /x class=low retry=often # x', 20, 'retry'),
    ('a GET /x class=low deadline=8 # x', 20, 'deadline'),
    ('a GET /x class=low deadline=11m # x', 20, 'deadline'),
    ('a GET /x class=low class=low # x', 20, 'class'),
    ('a GET /x class=low at-most-once=yes # x', 20, 'at-most-once'),
    ('a GET /x class=low at-most-once retry=idempotent # x', 33, 'retry'),
    ('a GET "/x class=low # x', 7, 'line'),
)


class TestProblems:
    """Each problem names file, line, column, field and the fix."""

    @pytest.mark.parametrize(('line', 'column', 'field'), _INVALID_LINES)
    def test_invalid_line(self, line: str, column: int, field: str) -> None:
        problems = _problems(f'# title\n{line}\n')
        problem = problems[0]
        assert len(problems) == 1
        assert problem.file == 'f.rules'
        assert (problem.line, problem.column) == (2, column)
        assert problem.field == field
        assert problem.fix

    def test_all_problems_are_reported_at_once(self) -> None:
        problems = _problems(
            'A get /x class=urgent deadline=8\na GET /x class=low # x\n'
            'a GET /x class=high # y\n'
        )
        columns = [problem.column for problem in problems]
        assert columns == [1, 3, 10, 23, 33, 1]
        assert problems[-1].line == 3

    def test_misspelt_option_gets_a_hint(self) -> None:
        (problem, _) = _problems('a GET /x clas=low # x')
        assert problem.fix == 'write class'

    @pytest.mark.parametrize(
        ('wide', 'narrow', 'is_shadowed'),
        [
            ('* * /**', 'a GET /x', True),
            ('a GET,HEAD /x/**', 'a GET /x', True),
            ('a GET /x/*', 'a GET /x/y', True),
            ('a GET /x/*', 'a GET /x/**', False),
            ('a GET /x/**', 'a GET,HEAD /x/y', False),
            ('a GET /x/**', 'b GET /x/y', False),
            ('a GET /x/*/**', 'a GET /x/**', False),
            ('a GET /x/*/**', 'a GET /x/*', True),
        ],
    )
    def test_rule_that_never_matches(self, wide, narrow, is_shadowed) -> None:
        text = f'{wide} class=low # x\n{narrow} class=low # y\n'
        if is_shadowed:
            assert [problem.line for problem in _problems(text)] == [2]
        else:
            assert len(check_rules(text, file='f.rules').lines) == 2


_BRUJULA = 'brujula-andina'
_TUNTIKIRJA = 'tuntikirja'
_PAYMENTS = (
    (_BRUJULA, 'inscripcion', '/entries'),
    (_BRUJULA, 'inscripcion', '/entries/2026/quito'),
    (_BRUJULA, 'inscripcion', '/payments/81/captures'),
    (_BRUJULA, 'salidas', '/start-times/swaps'),
    (_TUNTIKIRJA, 'invoicing', '/invoice-runs'),
    (_TUNTIKIRJA, 'trust', '/postings'),
    (_TUNTIKIRJA, 'trust', '/retainers/5/draw-downs'),
)
_READS = (
    (_BRUJULA, 'calendario', '/events/2026', Importance.NORMAL),
    (_BRUJULA, 'recorridos', '/courses/5', Importance.NORMAL),
    (_BRUJULA, 'recorridos', '/internal/maps/5', Importance.LOW),
    (_TUNTIKIRJA, 'timesheet', '/hours/2026-03', Importance.HIGH),
    (_TUNTIKIRJA, 'ledger', '/matters/8/balance', Importance.HIGH),
)


class TestExamples:
    """The shipped example files set the policies of both deployments."""

    @pytest.mark.parametrize(('name', 'service', 'path'), _PAYMENTS)
    def test_payments(self, name: str, service: str, path: str) -> None:
        policy = _example(name).match(service=service, method='POST', path=path)
        assert policy.importance is Importance.CRITICAL
        assert policy.at_most_once
        assert not policy.idempotent

    @pytest.mark.parametrize(('name', 'service', 'path', 'importance'), _READS)
    def test_reads(self, name, service, path, importance) -> None:
        policy = _example(name).match(service=service, method='GET', path=path)
        assert policy.importance is importance
        assert policy.idempotent
        assert not policy.at_most_once
