"""The first line of a rules text from the log: the version it is based on.

``rules show`` writes this line, so that an edited text names its base version.
``rules apply`` reads it, and removes it from the text that is stored.
"""

import re
from collections.abc import Sequence

import msgspec

_BASE_VERSION_LINE = re.compile(r'#\s*based on version (\d{1,8})\s*')


class BasedText(msgspec.Struct, frozen=True, kw_only=True):
    """A rules text without its base version line.

    ``base_version`` is ``None`` if the text has no such line.
    """

    text: str
    base_version: int | None


def with_base_version(lines: Sequence[str], *, version: int) -> str:
    """Return the text with its base version line first."""
    return '\n'.join((f'# based on version {version}', *lines, ''))


def split_base_version(text: str) -> BasedText:
    """Return the text without its base version line, and the version."""
    first, _, rest = text.partition('\n')
    match = _BASE_VERSION_LINE.fullmatch(first)
    if match is None:
        return BasedText(text=text, base_version=None)
    return BasedText(text=rest, base_version=int(match.group(1)))
