"""What a target announces about itself in the headers of its answers."""

import math

import msgspec

from fescueknot.httpio.messages import Response
from fescueknot.relay.header_names import HeaderNames

_LEAVING_VALUE = '1'


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """Announcement of one answer.

    ``rate_limit_per_s`` is the number of requests a second that the target
    accepts from all hosts together, ``None`` without a limit.
    ``unreadable_limit`` is the text of a limit that is no such number.
    """

    rate_limit_per_s: float | None = None
    unreadable_limit: str = ''
    is_leaving: bool = False


def read_announcement(
    response: Response, header_names: HeaderNames
) -> Announcement:
    """Return what the target announces with a response."""
    is_leaving = response.header(header_names.leaving) == _LEAVING_VALUE
    text = response.header(header_names.rate_limit)
    if text is None:
        return Announcement(is_leaving=is_leaving)
    rate_limit_per_s = _parse_rate(text)
    if rate_limit_per_s is None:
        return Announcement(unreadable_limit=text, is_leaving=is_leaving)
    return Announcement(
        rate_limit_per_s=rate_limit_per_s, is_leaving=is_leaving
    )


def _parse_rate(text: str) -> float | None:
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    is_rate = math.isfinite(rate_per_s) and rate_per_s >= 0
    return rate_per_s if is_rate else None
