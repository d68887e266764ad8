"""Matching agrees with a simple reference implementation."""

import itertools
from collections.abc import Sequence

from hypothesis import given, settings, strategies

from fescueknot.rules.delta import apply_delta, make_delta
from fescueknot.rules.line_parser import Rule, parse_line
from fescueknot.rules.paths import covers
from fescueknot.rules.rule_set import RuleSet

_SERVICES = ('a', 'b')
_METHODS = ('GET', 'POST')
_SEGMENTS = ('x', 'y', '*')
_PATHS = tuple(
    '/'.join(('', *segments)) or '/'
    for length in range(4)
    for segments in itertools.product(('x', 'y', 'z'), repeat=length)
)
_patterns = strategies.builds(
    lambda fixed, rest: (*fixed, *rest),
    strategies.lists(strategies.sampled_from(_SEGMENTS), max_size=3),
    strategies.sampled_from(((), ('**',))),
)
_lines = strategies.builds(
    lambda service, method, segments, number: (
        f'{service} {method} /{"/".join(segments)} class=low # {number}'
    ),
    strategies.sampled_from((*_SERVICES, '*')),
    strategies.sampled_from((*_METHODS, '*', 'GET,POST')),
    _patterns,
    strategies.integers(0, 9),
)
_texts = strategies.lists(_lines, max_size=8).map(tuple)
_deterministic = settings(derandomize=True, deadline=None)


def _matches(pattern: Sequence[str], segments: Sequence[str]) -> bool:
    if not pattern:
        return not segments
    if pattern[0] == '**':
        return True
    if not segments or pattern[0] not in {'*', segments[0]}:
        return False
    return _matches(pattern[1:], segments[1:])


def _path_matches(pattern: Sequence[str], path: str) -> bool:
    return _matches(pattern, tuple(filter(None, path.split('/'))))


def _first_match(
    lines: Sequence[str], call: tuple[str, str, str]
) -> Rule | None:
    service, method, path = call
    for line in lines:
        rule = parse_line(line).rule
        selector = rule.selector
        selects_call = selector.service in {'*', service} and (
            {'*', method} & set(selector.methods)
        )
        if selects_call and _path_matches(selector.segments, path):
            return rule
    return None


class TestMatching:
    """The index finds the same rules as a linear search."""

    @_deterministic
    @given(texts=strategies.lists(_texts, min_size=1, max_size=4))
    def test_first_match_after_edits(
        self, texts: list[tuple[str, ...]]
    ) -> None:
        calls = tuple(itertools.product(('a', 'b', 'c'), _METHODS, _PATHS))
        rules = RuleSet()
        for lines in texts:
            hunks = make_delta(rules.lines, lines)
            assert apply_delta(rules.lines, hunks) == lines
            rules = rules.changed(lines=lines, hunks=hunks)
            for call in calls[:: len(calls) // 40]:
                service, method, path = call
                found = rules.find(service=service, method=method, path=path)
                assert found == _first_match(lines, call)

    @_deterministic
    @given(wide=_patterns, narrow=_patterns)
    def test_covers(self, wide: Sequence[str], narrow: Sequence[str]) -> None:
        narrow_paths = [path for path in _PATHS if _path_matches(narrow, path)]
        if covers(wide, narrow):
            assert all(_path_matches(wide, path) for path in narrow_paths)
