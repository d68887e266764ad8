"""Deltas between two rules texts, as hunks of lines."""

import difflib
from collections.abc import Sequence

import msgspec

from fescueknot.rules.errors import BadDelta


class Hunk(msgspec.Struct, frozen=True, kw_only=True):
    """Lines to remove and add; ``start`` counts the old lines from 0."""

    start: int
    removed: tuple[str, ...] = ()
    added: tuple[str, ...] = ()


def make_delta(old: Sequence[str], new: Sequence[str]) -> tuple[Hunk, ...]:
    """Return the hunks that turn ``old`` into ``new``, in order."""
    prefix_length = _common_prefix_length(old, new)
    old_part = old[prefix_length:]
    new_part = new[prefix_length:]
    suffix_length = _common_prefix_length(
        tuple(reversed(old_part)), tuple(reversed(new_part))
    )
    matcher = difflib.SequenceMatcher(
        a=old_part[: len(old_part) - suffix_length],
        b=new_part[: len(new_part) - suffix_length],
        autojunk=False,
    )
    return tuple(
        Hunk(
            start=prefix_length + old_start,
            removed=tuple(old_part[old_start:old_end]),
            added=tuple(new_part[new_start:new_end]),
        )
        for tag, old_start, old_end, new_start, new_end in (
            matcher.get_opcodes()
        )
        if tag != 'equal'
    )


def apply_delta(lines: Sequence[str], hunks: Sequence[Hunk]) -> tuple[str, ...]:
    """Return ``lines`` with the hunks applied.

    Raise ``BadDelta`` if the lines to remove are not there.
    """
    changed: list[str] = []
    copied = 0
    for hunk in hunks:
        end = hunk.start + len(hunk.removed)
        replaced = tuple(lines[hunk.start : end])
        if hunk.start < copied or replaced != hunk.removed:
            raise BadDelta(
                f'lines from {hunk.start + 1} on differ from those to remove'
            )
        changed += (*lines[copied : hunk.start], *hunk.added)
        copied = end
    return (*changed, *lines[copied:])


def _common_prefix_length(left: Sequence[str], right: Sequence[str]) -> int:
    length = 0
    for left_line, right_line in zip(left, right, strict=False):
        if left_line != right_line:
            break
        length += 1
    return length
