"""Texts of past versions, and differences between texts."""

import difflib
from collections.abc import Iterator, Sequence

from fescueknot.rules.delta import Hunk, apply_delta
from fescueknot.rules.errors import VersionUnknown
from fescueknot.rules.log_view import LogView


def lines_at(view: LogView, version: int) -> tuple[str, ...]:
    """Return the lines of a version; raise ``VersionUnknown``.

    The later entries are undone, starting from the head.
    """
    later_entries = view.entries_after(version)
    if not 0 <= version <= view.head.version:
        raise VersionUnknown(f'version {version} does not exist')
    if len(later_entries) != view.head.version - version:
        raise VersionUnknown(f'version {version} is no longer in the log')
    lines = view.head.lines
    for entry in reversed(later_entries):
        lines = apply_delta(lines, tuple(_inverse(entry.delta())))
    return lines


def unified_diff(
    *, old: Sequence[str], new: Sequence[str], old_name: str, new_name: str
) -> tuple[str, ...]:
    """Return the lines of a unified diff; none if the texts are equal."""
    return tuple(
        difflib.unified_diff(old, new, old_name, new_name, lineterm='')
    )


def _inverse(hunks: Sequence[Hunk]) -> Iterator[Hunk]:
    offset = 0
    for hunk in hunks:
        yield Hunk(
            start=hunk.start + offset, removed=hunk.added, added=hunk.removed
        )
        offset += len(hunk.added) - len(hunk.removed)
