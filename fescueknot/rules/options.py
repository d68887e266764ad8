"""Options of a rule: a table of option names and their parsers."""

import difflib
import re
import types
from collections.abc import Callable

import msgspec

from fescueknot.calls import Importance
from fescueknot.rules.errors import BadField

_NO_VALUE = ''
_DEADLINES_MS = range(1, 600_001)
_DURATION = re.compile('([0-9]{1,7})(ms|s|m)')
_UNIT_MS = types.MappingProxyType({'ms': 1, 's': 1000, 'm': 60_000})
_IDEMPOTENT_BY_RETRY = types.MappingProxyType(
    {'idempotent': True, 'never': False}
)
_IMPORTANCE_BY_NAME = types.MappingProxyType(
    {importance.name.lower(): importance for importance in Importance}
)


class OptionKind(msgspec.Struct, frozen=True, kw_only=True):
    """The field of ``CallPolicy`` that an option sets, and the parser."""

    field: str
    parse: Callable[[str], object]


class OptionValue(msgspec.Struct, frozen=True, kw_only=True):
    """The value that an option sets for a field of ``CallPolicy``."""

    name: str
    field: str
    value: object


def parse_option(text: str) -> OptionValue:
    """Parse ``name=value`` or a flag; raise ``BadField``."""
    name, _, value_text = text.partition('=')
    kind = _KINDS.get(name)
    if kind is None:
        raise BadField(f'{name!r} is not an option', fix=_suggested_fix(name))
    return OptionValue(
        name=name, field=kind.field, value=kind.parse(value_text)
    )


def _suggested_fix(name: str) -> str:
    close = difflib.get_close_matches(name, _KINDS, n=1)
    known = ', '.join(_KINDS)
    return f'write {close[0]}' if close else f'use one of {known}'


def _parse_class(value_text: str) -> Importance:
    importance = _IMPORTANCE_BY_NAME.get(value_text)
    if importance is not None:
        return importance
    raise BadField(
        f'{value_text!r} is not an importance class',
        fix=f'use class= with one of {", ".join(_IMPORTANCE_BY_NAME)}',
    )


def _parse_retry(value_text: str) -> bool:
    idempotent = _IDEMPOTENT_BY_RETRY.get(value_text)
    if idempotent is not None:
        return idempotent
    raise BadField(
        f'{value_text!r} is not a value of retry',
        fix='use retry=idempotent or retry=never',
    )


def _parse_flag(value_text: str) -> bool:
    if value_text == _NO_VALUE:
        return True
    raise BadField('takes no value', fix='write at-most-once alone')


def _parse_deadline_ms(value_text: str) -> int:
    match = _DURATION.fullmatch(value_text)
    if not match:
        raise BadField(
            f'{value_text!r} is not a duration',
            fix='write a whole number with ms, s or m, such as 8s',
        )
    number, unit = match.groups()
    deadline_ms = int(number) * _UNIT_MS[unit]
    if deadline_ms not in _DEADLINES_MS:
        raise BadField('is out of range', fix='use 1ms to 10m')
    return deadline_ms


_KINDS = types.MappingProxyType(
    {
        'class': OptionKind(field='importance', parse=_parse_class),
        'retry': OptionKind(field='idempotent', parse=_parse_retry),
        'at-most-once': OptionKind(field='at_most_once', parse=_parse_flag),
        'deadline': OptionKind(field='deadline_ms', parse=_parse_deadline_ms),
    }
)
