"""Hints about content of a configuration that nodes ignore or replace."""

import difflib
from collections.abc import Iterable, Iterator

from fescueknot.calls import Importance
from fescueknot.platform.configuration import IDEMPOTENT_TYPES, Document, Rule
from fescueknot.routes.findings import Finding

# Other fields of the platform are not reported, only probable typing errors:
# 0.8 finds one wrong letter in six.
_MIN_SIMILARITY = 0.8
_ROUTE_TYPES = (*sorted(IDEMPOTENT_TYPES), 'non_idempotent')


def hints_on_names(
    names: Iterable[str], known: Iterable[str], path: str
) -> Iterator[Finding]:
    """Yield names of fields that resemble a known one that is absent."""
    present = set(names)
    absent = [name for name in known if name not in present]
    for name in sorted(present.difference(known)):
        similar = _similar(name, absent)
        if similar:
            yield Finding(
                check='field-name',
                place=f'{path}.{name}'.lstrip('.'),
                problem='unknown field, nodes ignore it',
                fix=f'did you mean {similar}?',
            )


def hints_on_values(document: Document) -> Iterator[Finding]:
    """Yield values of routes and accounts that nodes replace."""
    for listener in document.listeners:
        for rule in listener.route_rules:
            place = f'{listener.host}{rule.match.path_prefix}'
            yield from _rule_hints(rule, place)
    for tenant in document.tenants:
        if tenant.priority is not None:
            yield from _priority_hints(
                tenant.priority, f'account "{tenant.name}"'
            )


def _rule_hints(rule: Rule, place: str) -> Iterator[Finding]:
    yield from _priority_hints(rule.priority, place)
    if rule.route_type not in _ROUTE_TYPES:
        similar = _similar(rule.route_type, _ROUTE_TYPES)
        if similar:
            yield _replaced(
                place,
                f'routeType "{rule.route_type}" is unknown, so its requests '
                'must land once',
                f'did you mean {similar}?',
            )
    if rule.action.attempts < 1:
        yield _replaced(
            place,
            f'attempts is {rule.action.attempts}, but a request is always '
            'sent once',
            'write 1 or more',
        )
    # The decoder takes 0 for a missing time-out.
    if rule.action.timeout_ms == 0:
        yield _replaced(
            place,
            'timeoutMs is 0, for which nodes take the default',
            'write the time-out, or leave out the field',
        )


def _priority_hints(priority: int, place: str) -> Iterator[Finding]:
    lowest = max(Importance)
    if not 0 <= priority <= lowest:
        yield _replaced(
            place,
            f'priority is {priority}, for which nodes take the nearest of 0 '
            f'to {lowest:d}',
            f'write 0 (most important) to {lowest:d}',
        )


def _similar(name: str, known: Iterable[str]) -> str:
    """Return the known name that resembles ``name`` most, or ``''``."""
    close = difflib.get_close_matches(
        name, list(known), n=1, cutoff=_MIN_SIMILARITY
    )
    return close[0] if close else ''


def _replaced(place: str, problem: str, fix: str) -> Finding:
    return Finding(
        check='replaced-value', place=place, problem=problem, fix=fix
    )
