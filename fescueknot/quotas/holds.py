"""Refusals of owners that a node applies to later requests without asking."""

import msgspec

from fescueknot.quotas.wait import Wait

# A refusal applies until the owner is likely to have a token, but no longer
# than this, so that tokens which other nodes return, or a raised limit, are
# used soon.
_MAX_HOLD_S = 0.1


class _Hold(msgspec.Struct, kw_only=True):
    until_s: float
    retry_at_s: float


class Holds:
    """The last refusal of each account by each region's owner."""

    def __init__(self) -> None:
        self._holds: dict[tuple[str, str], _Hold] = {}

    def record(
        self, region: str, waits: tuple[Wait, ...], after_s: float, now_s: float
    ) -> None:
        """Record that an owner has refused waits of one account."""
        account = waits[0].account
        hold = _Hold(
            until_s=now_s + min(after_s, _MAX_HOLD_S),
            retry_at_s=now_s + after_s,
        )
        self._holds[region, account.name] = hold
        for wait in waits:
            _refuse(wait, hold)

    def lift(self, region: str, account: str) -> None:
        """Drop the refusal of an owner, as it gets a token back."""
        self._holds.pop((region, account), None)

    def refuses(self, region: str, wait: Wait, now_s: float) -> bool:
        """Return whether an owner need not be asked for a wait."""
        hold = self._holds.get((region, wait.account.name))
        if hold is None or now_s >= hold.until_s:
            return False
        _refuse(wait, hold)
        return True


def _refuse(wait: Wait, hold: _Hold) -> None:
    """Give each refused wait a time of its own, at the account's rate."""
    wait.record_refusal(hold.retry_at_s)
    hold.retry_at_s += 1 / wait.account.rate_per_s
