"""A retry budget that is shared by all nodes of the fleet.

Each node keeps its own part of the budget, without coordination.
"""

import msgspec

_URGENCY_STEP = 0.1
# A retry of the maximum urgency may borrow this fraction of a token.
_BORROWED_TOKENS = 0.5
MAX_URGENCY = 2.0


class SharedBudgetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on the retries of the fleet in a window.

    All nodes together may retry ``ratio`` of the first attempts plus
    ``slack``. A node uses only ``usable_fraction`` of the ratio. It saves at
    most its part of the slack, bounded by ``max_tokens``, but at least one
    token. It starts with ``initial_tokens``. Its debt for retries that cannot
    be refused is at most ``max_debt`` tokens.
    """

    ratio: float = 0.2
    slack: float = 10
    usable_fraction: float = 0.9
    initial_tokens: float = 0
    max_tokens: float = 2
    max_debt: float = 50


class SharedBudget:
    """The part of one node: tokens earned by first attempts, spent by retries.

    In any period the retries of all nodes are at most ``usable_fraction *
    ratio`` of their first attempts plus the tokens saved before. While tokens
    are lacking, the minimum urgency of retries rises, so that the most urgent
    retries are granted; it falls while tokens are left.
    """

    def __init__(self, *, settings: SharedBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.initial_tokens
        self._min_urgency = float(0)
        self._max_tokens = max(1, settings.initial_tokens)

    @property
    def min_urgency(self) -> float:
        """Return the lowest urgency of retries that are granted."""
        return self._min_urgency

    def earn(self, nodes: int) -> None:
        """Add the tokens of a first attempt.

        ``nodes`` is the number of nodes that share the budget.
        """
        slack_per_node = self._settings.slack / max(1, nodes) - _BORROWED_TOKENS
        self._max_tokens = min(
            self._settings.max_tokens, max(1, slack_per_node)
        )
        refill = self._settings.ratio * self._settings.usable_fraction
        self._tokens = min(self._tokens + refill, self._max_tokens)
        if self._tokens >= 1:
            self._min_urgency = max(0, self._min_urgency - _URGENCY_STEP)

    def charge(self) -> None:
        """Spend a token on a call of a repeated run.

        Such a call repeats earlier work, but it cannot be refused; the tokens
        may become negative.
        """
        self._tokens = max(-self._settings.max_debt, self._tokens - 1)

    def spend(self, urgency: float) -> bool:
        """Spend a token on a retry; return whether it is granted.

        ``urgency`` is from 0 to 1, or :data:`MAX_URGENCY` for a retry that is
        never refused by urgency and may borrow part of its token.
        """
        if urgency < self._min_urgency:
            return False
        needed = 1 - _BORROWED_TOKENS if urgency >= MAX_URGENCY else 1
        if self._tokens < needed:
            self._min_urgency = min(1, self._min_urgency + _URGENCY_STEP)
            return False
        self._tokens -= 1
        return True
