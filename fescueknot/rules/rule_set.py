"""A valid set of rules that determines the policy of each call."""

import collections
import types
from collections.abc import Iterable, Iterator, Mapping, Sequence

from fescueknot.calls import CallPolicy
from fescueknot.rules.delta import Hunk
from fescueknot.rules.line_parser import Rule, parse_line
from fescueknot.rules.paths import normal_path
from fescueknot.rules.selector import ANY
from fescueknot.rules.service_index import ServiceIndex
from fescueknot.rules.tokens import split_line

FALLBACK_POLICY = CallPolicy()
_NO_INDEXES = types.MappingProxyType({})
_QUOTES = ('"', "'", '\\')
_QUOTED_PREFIXES = (*_QUOTES, ' ', '\t')


class RuleSet:
    """Rules by service; the first rule that matches a call wins.

    ``lines`` are the lines of a checked file. The lines of a service are
    parsed when it is first called, so that neither the time of a match nor
    the memory for parsed rules grows with services that are not called.

    Several threads may call ``match`` and ``changed`` concurrently: indexes
    are added but never removed, and the mapping is copied before iteration.
    """

    def __init__(
        self,
        *,
        lines: Sequence[str] = (),
        line_counts: Mapping[str, int] | None = None,
        indexes: Mapping[str, ServiceIndex] = _NO_INDEXES,
    ) -> None:
        self._lines = tuple(lines)
        if line_counts is None:
            line_counts = collections.Counter(_service_names(self._lines))
        self._line_counts = line_counts
        self._indexes = dict(indexes)

    @property
    def lines(self) -> tuple[str, ...]:
        """All lines of the file."""
        return self._lines

    def changed(
        self, *, lines: Sequence[str], hunks: Iterable[Hunk]
    ) -> 'RuleSet':
        """Return the rule set after a delta that results in ``lines``.

        Indexes of services that the delta doesn't change are reused.
        """
        counts = collections.Counter(self._line_counts)
        changed_services = set()
        for hunk in hunks:
            removed = tuple(_service_names(hunk.removed))
            added = tuple(_service_names(hunk.added))
            counts.subtract(removed)
            counts.update(added)
            changed_services.update(removed, added)
        kept_indexes = {
            service: index
            for service, index in self._indexes.copy().items()
            if not changed_services & {service, ANY}
        }
        return RuleSet(lines=lines, line_counts=+counts, indexes=kept_indexes)

    def match(self, *, service: str, method: str, path: str) -> CallPolicy:
        """Return the policy of a call; ``FALLBACK_POLICY`` without a rule."""
        rule = self.find(service=service, method=method, path=path)
        return FALLBACK_POLICY if rule is None else rule.policy

    def find(self, *, service: str, method: str, path: str) -> Rule | None:
        """Return the first rule that matches, or ``None``."""
        index_key = service if service in self._line_counts else ANY
        index = self._indexes.get(index_key)
        if index is None:
            index = ServiceIndex(rules=tuple(self._parse_rules_of(index_key)))
            self._indexes[index_key] = index
        return index.find(method, normal_path(path))

    def line_of(self, rule: Rule) -> int:
        """Return the line number of ``rule``, counted from 1."""
        for number, line in enumerate(self._lines, start=1):
            if parse_line(line).rule == rule:
                return number
        raise LookupError(str(rule.selector))

    def _parse_rules_of(self, service: str) -> Iterator[Rule]:
        services = {service, ANY}
        prefixes = (
            *_line_prefixes(service),
            *_line_prefixes(ANY),
            *_QUOTED_PREFIXES,
        )
        for line in self._lines:
            if line.startswith(prefixes) and _service_name(line) in services:
                rule = parse_line(line).rule
                if rule is not None:
                    yield rule


def _line_prefixes(service: str) -> tuple[str, str]:
    return f'{service} ', f'{service}\t'


def _service_names(lines: Iterable[str]) -> Iterator[str]:
    return filter(None, map(_service_name, lines))


def _service_name(line: str) -> str:
    """Return the first word of a line; empty if the line has no rule."""
    word = next(iter(line.split(None, 1)), '#')
    if word.startswith('#'):
        return ''
    if not any(quote in word for quote in _QUOTES):
        return word
    tokens = split_line(line).tokens
    return tokens[0].text if tokens else ''
