"""One node's part of a retry budget that the whole fleet shares."""

import msgspec

_CUT_STEP = 0.1
# What is above all urgencies may borrow this part of a repeat.
_BORROWED = 0.5
MAX_URGENCY = 2.0


class SharedBudgetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the fleet may repeat in a window.

    All nodes together may repeat ``ratio`` of the first attempts and
    ``slack`` more. A node keeps to a ``share`` of the ratio, and saves up no
    more than its part of the slack, but a whole repeat at least. A start
    gives it ``initial_tokens`` repeats.
    """

    ratio: float = 0.2
    slack: float = 10
    share: float = 0.9
    initial_tokens: float = 0
    max_tokens: float = 2
    most_debt: float = 50


class SharedBudget:
    """Repeats earned by first attempts; the most urgent ones go first.

    Over any span the repeats of all nodes are at most ``share * ratio`` of
    their first attempts and what they had saved up before. While repeats are
    refused for want of budget, only those above a rising cut are made; it
    falls while there is budget to spare.
    """

    def __init__(self, *, settings: SharedBudgetSettings) -> None:
        self._settings = settings
        self._saved = settings.initial_tokens
        self._cut = float(0)
        self._most_saved = max(1, settings.initial_tokens)

    @property
    def cut(self) -> float:
        """Return the urgency from which on repeats are made."""
        return self._cut

    def earn(self, nodes: int) -> None:
        """Count a first attempt; ``nodes`` share the budget."""
        own_part = self._settings.slack / max(1, nodes) - _BORROWED
        self._most_saved = min(self._settings.max_tokens, max(1, own_part))
        earned = self._settings.ratio * self._settings.share
        self._saved = min(self._saved + earned, self._most_saved)
        if self._saved >= 1:
            self._cut = max(0, self._cut - _CUT_STEP)

    def charge(self) -> None:
        """Count a repeat that can't be refused: a repeated run made it."""
        self._saved = max(-self._settings.most_debt, self._saved - 1)

    def spend(self, urgency: float) -> bool:
        """Take a repeat if there is one; return whether there was.

        ``urgency`` is from 0 to 1, or :data:`MAX_URGENCY` for what is never
        cut and may be paid for a little later.
        """
        if urgency < self._cut:
            return False
        needed = 1 - _BORROWED if urgency >= MAX_URGENCY else 1
        if self._saved < needed:
            self._cut = min(1, self._cut + _CUT_STEP)
            return False
        self._saved -= 1
        return True
