"""Path patterns of rules and the normal form of request paths.

``*`` matches one segment; ``**``, only allowed at the end, matches any number
of segments, including none. Paths are normalised before they are matched, so
that a request can't evade a rule by a different spelling of the same path.
"""

import re
from urllib.parse import unquote

import msgspec

from fescueknot.rules.errors import BadField

ONE_SEGMENT = '*'
REST = '**'
_SLASH = '/'
_PARENT = '..'
_EMPTY_SEGMENTS = frozenset(('', '.'))
_NORMAL_PATH = re.compile(r'(?:/(?!\.)[^/%?#]+)+|/')


class _InvalidSegment(msgspec.Struct, frozen=True, kw_only=True):
    """The problem of segments that match ``pattern``."""

    pattern: re.Pattern
    message: str
    fix: str


_INVALID_SEGMENTS = (
    _InvalidSegment(
        pattern=re.compile(r'\*\*'),
        message='is only allowed at the end',
        fix='use * here',
    ),
    _InvalidSegment(
        pattern=re.compile(r'.*\*.*'),
        message='mixes * with text',
        fix='use * alone between two slashes',
    ),
    _InvalidSegment(
        pattern=re.compile(r'\.{0,2}'),
        message='is empty or a dot segment',
        fix='remove it',
    ),
    _InvalidSegment(
        pattern=re.compile(r".*[^A-Za-z0-9._~!$&'()+,;=:@-].*"),
        message='has a character that is not allowed in a path',
        fix='write the path without query, spaces and escapes',
    ),
)


def normal_path(path: str) -> str:
    """Return ``path`` without query, fragment, empty and dot segments.

    Percent-encoded characters are decoded.
    """
    if _NORMAL_PATH.fullmatch(path):
        return path
    encoded_path = path.partition('?')[0].partition('#')[0]
    segments: list[str] = []
    for segment in unquote(encoded_path).split(_SLASH):
        if segment == _PARENT:
            segments = segments[:-1]
        elif segment not in _EMPTY_SEGMENTS:
            segments.append(segment)
    return _SLASH + _SLASH.join(segments)


def parse_pattern(text: str) -> tuple[str, ...]:
    """Return the segments of a pattern; raise ``BadField``."""
    if not text.startswith(_SLASH):
        raise BadField('must start with /', fix=f'write /{text}')
    segments = tuple(text[1:].split(_SLASH))
    if segments == ('',):
        return ()
    for position, segment in enumerate(segments):
        _check_segment(segment, is_last=position == len(segments) - 1)
    return segments


def pattern_regex(segments: tuple[str, ...]) -> str:
    """Return a regular expression that matches normalised paths."""
    parts = [_segment_regex(segment) for segment in segments]
    if not parts:
        return _SLASH
    if segments == (REST,):
        return '/.*'
    return ''.join(parts)


def covers(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    """Return whether ``wide`` matches every path that ``narrow`` matches.

    Both are segments of patterns.
    """
    if wide[-1:] == (REST,):
        prefix = wide[:-1]
        return _covers_segments(prefix, narrow[: len(prefix)])
    return _covers_segments(wide, narrow)


def _covers_segments(wide: tuple[str, ...], narrow: tuple[str, ...]) -> bool:
    if len(wide) != len(narrow) or REST in narrow:
        return False
    return all(
        wide_segment in {ONE_SEGMENT, narrow_segment}
        for wide_segment, narrow_segment in zip(wide, narrow, strict=True)
    )


def _segment_regex(segment: str) -> str:
    if segment == REST:
        return '(?:/.*)?'
    if segment == ONE_SEGMENT:
        return '/[^/]+'
    return _SLASH + re.escape(segment)


def _check_segment(segment: str, *, is_last: bool) -> None:
    if segment == ONE_SEGMENT or (segment == REST and is_last):
        return
    for invalid in _INVALID_SEGMENTS:
        if invalid.pattern.fullmatch(segment):
            raise BadField(
                f'segment {segment!r} {invalid.message}', fix=invalid.fix
            )
