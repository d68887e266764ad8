"""Index of the rules of one service: one regular expression per method."""

import re

from fescueknot.rules.line_parser import Rule
from fescueknot.rules.paths import pattern_regex
from fescueknot.rules.selector import ANY, METHODS


class ServiceIndex:
    """Finds the first rule for a method and path of one service.

    The expression of a method is compiled on the first call with that method.
    Its alternatives are in the order of the rules, so that the first matching
    rule wins.
    """

    def __init__(self, *, rules: tuple[Rule, ...]) -> None:
        self._rules = rules
        self._matchers: dict[str, _Matcher] = {}

    def find(self, method: str, path: str) -> Rule | None:
        """Return the first rule that matches the normalised ``path``."""
        matcher_key = method if method in METHODS else ANY
        matcher = self._matchers.get(matcher_key)
        if matcher is None:
            matcher = _Matcher(rules=self._rules_for_method(matcher_key))
            self._matchers[matcher_key] = matcher
        return matcher.find(path)

    def _rules_for_method(self, method: str) -> tuple[Rule, ...]:
        return tuple(
            rule
            for rule in self._rules
            if rule.selector.methods == (ANY,)
            or method in rule.selector.methods
        )


class _Matcher:
    def __init__(self, *, rules: tuple[Rule, ...]) -> None:
        self._rules = rules
        alternatives = '|'.join(
            f'({pattern_regex(rule.selector.segments)})' for rule in rules
        )
        self._regex = re.compile(f'(?:{alternatives})', re.DOTALL)

    def find(self, path: str) -> Rule | None:
        """Return the rule of the first alternative that matches."""
        if not self._rules:
            return None
        match = self._regex.fullmatch(path)
        return self._rules[match.lastindex - 1] if match else None
