"""Texts of past versions, and the differences between texts."""

import difflib
from collections.abc import Iterator, Sequence

from fescueknot.rules.delta import Hunk, apply_delta
from fescueknot.rules.errors import VersionUnknown
from fescueknot.rules.log_view import LogView


def lines_at(view: LogView, version: int) -> tuple[str, ...]:
    """Return the text of a version; raise ``VersionUnknown``.

    Later entries are taken back from the head.
    """
    later = view.entries_after(version)
    if not 0 <= version <= view.head.version:
        raise VersionUnknown(f'there is no version {version} yet')
    if len(later) != view.head.version - version:
        raise VersionUnknown(f'version {version} is no longer in the log')
    lines = view.head.lines
    for entry in reversed(later):
        lines = apply_delta(lines, tuple(_reversed(entry.delta())))
    return lines


def unified_diff(
    *, old: Sequence[str], new: Sequence[str], old_name: str, new_name: str
) -> tuple[str, ...]:
    """Return the lines of a unified diff; none when the texts are equal."""
    return tuple(
        difflib.unified_diff(old, new, old_name, new_name, lineterm='')
    )


def _reversed(hunks: Sequence[Hunk]) -> Iterator[Hunk]:
    shift = 0
    for hunk in hunks:
        yield Hunk(
            start=hunk.start + shift, removed=hunk.added, added=hunk.removed
        )
        shift += len(hunk.added) - len(hunk.removed)
