"""Levels of routes, as the targets that answer them last told.

Calls of targets stay near and find the targets of a service as open as they
are on average; a root request may go to the most open one.
"""

import msgspec

from fescueknot.admission.rank import OPEN_RANK, rank_of, root_position
from fescueknot.admission.retry_after import EntryRetryAfter
from fescueknot.calls import Importance


class LevelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long a level counts, and how it opens without news, in ranks."""

    fresh_s: float = 1
    opening_rank_per_s: float = 2


class _Told(msgspec.Struct, frozen=True, kw_only=True):
    rank: float
    told_s: float


class LevelsByRoute:
    """Levels by route and target, bounded by the targets called."""

    def __init__(self, *, settings: LevelSettings | None = None) -> None:
        self._settings = settings or LevelSettings()
        self._told: dict[str, dict[str, _Told]] = {}
        self._flows: dict[str, EntryRetryAfter] = {}

    def note(
        self, route: str, instance: str, rank: float, now_s: float
    ) -> None:
        """Take the level that came with an answer."""
        by_target = self._told.setdefault(route, {})
        by_target[instance] = _Told(rank=rank, told_s=now_s)

    def rank(self, route: str, now_s: float) -> float:
        """Return the highest rank that calls of a route are admitted with."""
        ranks = self._fresh_ranks(self._told.get(route, {}), now_s)
        return sum(ranks) / len(ranks)

    def lowest(self, routes: tuple[str, ...], now_s: float) -> float:
        """Return the lowest rank of some routes."""
        ranks = (self.rank(route, now_s) for route in routes)
        return min(ranks, default=OPEN_RANK)

    def refuses(
        self, route: str, importance: Importance, root: str, now_s: float
    ) -> bool:
        """Tell whether a root request would be refused below."""
        asked = rank_of(importance, root_position(root))
        ranks = self._fresh_ranks(self._told.get(route, {}), now_s)
        return asked > max(ranks)

    def is_open(self, route: str, now_s: float) -> bool:
        """Tell whether nothing is refused below."""
        return self.rank(route, now_s) >= OPEN_RANK

    def passed(self, route: str, now_s: float) -> None:
        """Count a request that was let through."""
        self._flow(route).count_admitted(now_s)

    def retry_after_s(self, route: str, root: str, now_s: float) -> float:
        """Count a refusal and return the seconds until the return."""
        return self._flow(route).count_refusal(root, now_s)

    def _fresh_ranks(
        self, by_target: dict[str, _Told], now_s: float
    ) -> list[float]:
        """Return the ranks told of late, or the last one as it has opened."""
        fresh = [
            told.rank
            for told in by_target.values()
            if now_s - told.told_s <= self._settings.fresh_s
        ]
        if fresh or not by_target:
            return fresh or [OPEN_RANK]
        last = max(by_target.values(), key=lambda told: told.told_s)
        silent_s = now_s - last.told_s - self._settings.fresh_s
        return [last.rank + silent_s * self._settings.opening_rank_per_s]

    def _flow(self, route: str) -> EntryRetryAfter:
        return self._flows.setdefault(route, EntryRetryAfter())
