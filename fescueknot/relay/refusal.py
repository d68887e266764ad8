"""Refusals of requests, before any work is done for them."""

import types
from collections.abc import Mapping

import msgspec

from fescueknot.httpio.messages import Response
from fescueknot.relay.arrival import Arrival

# Callers honour a Retry-After of up to a third of their remaining time.
_RETRY_AFTER_TIME_DIVISOR = 3
_NO_DETAILS: Mapping[str, object] = types.MappingProxyType({})


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request that is refused, and its log line.

    Without an ``event`` there is no log line.
    """

    response: Response
    event: str = ''
    details: Mapping[str, object] = _NO_DETAILS


def max_retry_after_s(arrival: Arrival) -> float:
    """Return the longest Retry-After that the caller honours."""
    return arrival.remaining_s / _RETRY_AFTER_TIME_DIVISOR
