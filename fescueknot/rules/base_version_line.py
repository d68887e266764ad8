"""The first line of a text taken from the log: the version it is based on.

``rules show`` writes it, ``rules apply`` reads it and leaves it out of the
log, so that an edit carries its base along.
"""

import re
from collections.abc import Sequence

import msgspec

_BASE_LINE = re.compile(r'#\s*based on version (\d{1,8})\s*')


class BasedText(msgspec.Struct, frozen=True, kw_only=True):
    """A text without its base line; ``None`` when it had no such line."""

    text: str
    base_version: int | None


def with_base_version(lines: Sequence[str], *, version: int) -> str:
    """Return the text under its base line."""
    return '\n'.join((f'# based on version {version}', *lines, ''))


def split_base_version(text: str) -> BasedText:
    """Take the base line off a text."""
    first, _, rest = text.partition('\n')
    found = _BASE_LINE.fullmatch(first)
    if found is None:
        return BasedText(text=text, base_version=None)
    return BasedText(text=rest, base_version=int(found.group(1)))
