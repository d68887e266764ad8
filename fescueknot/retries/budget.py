"""Retry budget: bounds retries to a ratio of first attempts.

One budget per node and called service.
"""

import msgspec


class BudgetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A retry costs one token; a first attempt earns ``ratio`` tokens."""

    ratio: float = 0.05
    max_tokens: float = 10
    initial_tokens: float = 3


class RetryBudget:
    """Token bucket that is filled by first attempts, emptied by retries.

    In any period, retries <= ratio * first attempts + max_tokens.
    """

    def __init__(self, *, settings: BudgetSettings | None = None) -> None:
        self._settings = settings or BudgetSettings()
        self._tokens = self._settings.initial_tokens

    def earn(self) -> None:
        """Add the tokens of a first attempt."""
        refill = self._tokens + self._settings.ratio
        self._tokens = min(self._settings.max_tokens, refill)

    def spend(self) -> bool:
        """Spend a token on a retry; return whether one was available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
