"""Ratio of retries to first attempts, per node and called service."""

import msgspec


class BudgetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A retry costs one token; each first attempt earns ``ratio``."""

    ratio: float = 0.05
    max_tokens: float = 10
    initial_tokens: float = 3


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    Over any span, retries <= ratio * first attempts + max_tokens.
    """

    def __init__(self, *, settings: BudgetSettings | None = None) -> None:
        self._settings = settings or BudgetSettings()
        self._tokens = self._settings.initial_tokens

    def earn(self) -> None:
        """Count a first attempt."""
        earned = self._tokens + self._settings.ratio
        self._tokens = min(self._settings.max_tokens, earned)

    def spend(self) -> bool:
        """Take a token for a retry; return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
