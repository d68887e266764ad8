"""Token bucket of one account at one owner."""

import msgspec

# Sums of refills are rounded: a token counts if no more than this is lacking.
_ROUNDING_TOKENS = 1e-9
# A refusal names no later time. It spreads the retries of a burst of ten times
# the limit; callers rarely wait longer.
_MAX_BACKLOG_S = 10.0
# A bucket takes back at most what it has granted in the current and previous
# slot. A token that is returned late would let more requests run in a window
# than the limit allows; 0.5 s of the rate is the tolerated 10 % of 5 s.
_RETURN_SLOT_S = 0.25


class BucketLimit(msgspec.Struct, frozen=True, kw_only=True):
    """Limit of one bucket; ``fleet_rate_per_s`` is that of all owners."""

    rate_per_s: float
    capacity: float
    fleet_rate_per_s: float


def bucket_limit(
    *, rate_per_s: float, burst: float, regions: int
) -> BucketLimit:
    """Return one region's part of an account's limit.

    A bucket grants whole tokens only. One more than its part of the burst makes
    up for what less than a token each owner has left when it refuses.
    """
    return BucketLimit(
        rate_per_s=rate_per_s / regions,
        capacity=burst / regions + 1,
        fleet_rate_per_s=rate_per_s,
    )


class TokenBucket:
    """Tokens of one account; starts empty."""

    def __init__(self, *, limit: BucketLimit, now_s: float) -> None:
        self._limit = limit
        self._tokens = float(0)
        self._refilled_s = now_s
        self._promised_s = now_s
        self._slot = 0
        self._granted_in_slot = 0
        self._granted_before = 0

    def set_limit(self, limit: BucketLimit, now_s: float) -> None:
        """Change the limit; a lower one cuts the tokens."""
        self._refill(now_s)
        self._limit = limit
        self._tokens = min(self._tokens, limit.capacity)

    def take(self, tokens: int, now_s: float) -> int:
        """Take up to ``tokens``; return how many there were."""
        self._refill(now_s)
        granted = min(tokens, int(self._tokens + _ROUNDING_TOKENS))
        self._tokens = max(0, self._tokens - granted)
        self._move_slot(now_s)
        self._granted_in_slot += granted
        return granted

    def put_back(self, tokens: int, now_s: float) -> None:
        """Add tokens that were granted and not used."""
        self._refill(now_s)
        self._move_slot(now_s)
        returnable = self._granted_in_slot + self._granted_before
        accepted = min(tokens, returnable)
        from_slot = min(accepted, self._granted_in_slot)
        self._granted_in_slot -= from_slot
        self._granted_before -= accepted - from_slot
        self._tokens = min(self._tokens + accepted, self._limit.capacity)

    def promise(self, refused: int, now_s: float) -> float:
        """Return after what time the first of ``refused`` tokens is likely.

        Each refused token moves the time on by one interval of the whole
        fleet's rate, as the other owners refuse the same request too.
        """
        lacking = max(0, 1 - self._tokens)
        next_token_s = now_s + lacking / self._limit.rate_per_s
        first_s = max(self._promised_s, next_token_s)
        latest_s = now_s + _MAX_BACKLOG_S
        step_s = refused / self._limit.fleet_rate_per_s
        self._promised_s = min(first_s + step_s, latest_s)
        return min(first_s, latest_s) - now_s

    def _refill(self, now_s: float) -> None:
        elapsed_s = max(0, now_s - self._refilled_s)
        refilled = self._tokens + elapsed_s * self._limit.rate_per_s
        self._tokens = min(refilled, self._limit.capacity)
        self._refilled_s = max(now_s, self._refilled_s)

    def _move_slot(self, now_s: float) -> None:
        slot = int(now_s / _RETURN_SLOT_S)
        if slot == self._slot:
            return
        is_next = slot == self._slot + 1
        self._granted_before = self._granted_in_slot if is_next else 0
        self._granted_in_slot = 0
        self._slot = slot
