"""The load figures that a target sends in a header of its answers."""

import math
import re

import msgspec

from fescueknot.httpio.messages import Response
from fescueknot.relay.header_names import HeaderNames

_FIGURE_COUNT = 4
_SEPARATORS = re.compile(r'[,;\s]+')
# Four numbers are shorter; a longer text is absurd and costs no split.
_MAX_TEXT_CHARS = 128
_MAX_COUNT = 1_000_000
# 100 times the usual time of work.
_MAX_WORK_PERCENT = 10_000


class TargetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Load figures of one answer.

    ``work_percent`` is how long work takes on the target's host now, in
    percent of the usual. ``is_absurd``: the text holds four figures that can't
    be true, and the others are not set.
    """

    in_flight: int = 0
    waiting: int = 0
    slots: int = 0
    work_percent: float = 0
    is_absurd: bool = False


_ABSURD = TargetFigures(is_absurd=True)


def read_figures(
    response: Response, header_names: HeaderNames
) -> TargetFigures | None:
    """Return the figures of a response, ``None`` if it has fewer than four."""
    text = response.header(header_names.load)
    return None if text is None else parse_figures(text)


def parse_figures(text: str) -> TargetFigures | None:
    """Parse numbers separated by commas, semicolons or spaces."""
    if len(text) > _MAX_TEXT_CHARS:
        return _ABSURD
    parts = _SEPARATORS.split(text.strip())
    if len(parts) < _FIGURE_COUNT:
        return None
    try:
        numbers = [float(part) for part in parts[:_FIGURE_COUNT]]
    except ValueError:
        return _ABSURD
    if not all(map(math.isfinite, numbers)):
        return _ABSURD
    return _checked(*numbers)


def _checked(
    in_flight: float, waiting: float, slots: float, work_percent: float
) -> TargetFigures:
    are_counts = min(in_flight, waiting) >= 0 and slots >= 1
    are_small = max(in_flight, waiting, slots) <= _MAX_COUNT
    is_percent = 0 < work_percent <= _MAX_WORK_PERCENT
    if not (are_counts and are_small and is_percent):
        return _ABSURD
    return TargetFigures(
        in_flight=int(in_flight),
        waiting=int(waiting),
        slots=int(slots),
        work_percent=work_percent,
    )
