"""What one node knows of the store's era."""

from collections.abc import Callable


class StoreEra:
    """The highest era that was seen, in answers of the store or elsewhere.

    ``on_rise`` is called with the eras before and after, except for the first
    era seen: a node that has just started knows nothing of before.
    """

    def __init__(
        self, *, on_rise: Callable[[int, int], None] | None = None
    ) -> None:
        self._on_rise = on_rise
        self.current = 0

    def learn(self, era: int) -> None:
        """Record an era."""
        before = self.current
        if era <= before:
            return
        self.current = era
        if before and self._on_rise is not None:
            self._on_rise(before, era)
