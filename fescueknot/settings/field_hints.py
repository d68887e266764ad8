"""Hints for field names that are not known.

A name that differs from a known one only in its unit is the common slip, so
it gets a hint of its own; other names get the closest known one.
"""

import difflib
import types
from collections.abc import Iterable

_UNITS = types.MappingProxyType(
    {
        'bytes': 'bytes',
        'h': 'hours',
        'hours': 'hours',
        'kb': 'kilobytes',
        'kib': 'kibibytes',
        'mb': 'megabytes',
        'mib': 'mebibytes',
        'min': 'minutes',
        'minutes': 'minutes',
        'ms': 'milliseconds',
        'ns': 'nanoseconds',
        's': 'seconds',
        'sec': 'seconds',
        'seconds': 'seconds',
        'us': 'microseconds',
    }
)


def split_unit(name: str) -> tuple[str, str]:
    """Return the name without its unit suffix, and the suffix or ``''``."""
    stem, _, suffix = name.rpartition('_')
    if stem and suffix in _UNITS:
        return stem, suffix
    return name, ''


def hint(name: str, known: Iterable[str]) -> str:
    """Say which known name was probably meant by ``name``."""
    candidates = sorted(known)
    stem, suffix = split_unit(name)
    for candidate in candidates:
        other_stem, unit = split_unit(candidate)
        if other_stem == stem:
            return _unit_hint(candidate, unit, suffix)
    close = difflib.get_close_matches(name, candidates, n=1)
    if close:
        return f'did you mean {close[0]}?'
    listed = ', '.join(candidates)
    return f'known fields here: {listed}'


def _unit_hint(candidate: str, unit: str, suffix: str) -> str:
    if not unit:
        return f'{candidate} has no unit, write {candidate}'
    meant = f'write {candidate}, in {_UNITS[unit]}'
    if suffix:
        return f'wrong unit suffix _{suffix}, {meant}'
    return f'the unit suffix is missing, {meant}'
