"""Fields of a site file that the rig leaves out, so that a run says so."""

from collections.abc import Iterable, Iterator
from typing import Any

import msgspec

_SECTIONS = ('services', 'classes', 'machines', 'traffic', 'timing', 'config')
# They are about the score, or say what the rig does anyway.
_NOT_MISSED = frozenset(
    (
        'abrupt',
        'born',
        'class',
        'idle_routes',
        'inner',
        'late_worth',
        'load_header',
        'model',
        'on_full',
        'worth',
    )
)
_NOT_ENFORCED = (
    'services: conn_cap is told to nodes, targets take more connections',
)


def unread_fields(
    content: dict[str, Any], read: msgspec.Struct
) -> tuple[str, ...]:
    """Return a line for each section that has fields which are left out.

    ``read`` is what was made of the content.
    """
    found = []
    for section in _SECTIONS:
        entries = _entries(content.get(section, ()))
        names = sorted(set(_unread(entries, _known(read, section))))
        if names:
            found.append(f'{section}: {", ".join(names)}')
    return (*found, *_NOT_ENFORCED)


def _entries(section: Any) -> list[dict[str, Any]]:
    return [section] if isinstance(section, dict) else list(section)


def _known(read: msgspec.Struct, section: str) -> frozenset[str]:
    entries = getattr(read, section, ())
    return frozenset(
        field.encode_name
        for entry in entries[:1]
        for field in msgspec.structs.fields(entry)
    )


def _unread(
    entries: Iterable[dict[str, Any]], known: frozenset[str]
) -> Iterator[str]:
    """Yield the names that are not known and say something."""
    for entry in entries:
        for name, given in entry.items():
            if given and name not in known | _NOT_MISSED:
                yield name
