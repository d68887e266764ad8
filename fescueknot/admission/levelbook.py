"""Levels of other services, remembered where requests enter.

Answers bring the level of the gate that gave them, already lowered to that
of the services below it. What will be shed deep is refused here, before any
work. A little above the level is let through, so that the gates see demand
and raise their level when they can; without news a level opens again.
"""

import msgspec

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import (
    OPEN_RANK,
    level_of,
    rank_of,
    rank_of_level,
    root_position,
)
from fescueknot.admission.retry_after import EntryRetryAfter
from fescueknot.calls import Importance


class LevelBookSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Weights and paces of remembered levels, in ranks."""

    news_share: float = 0.3
    margin_rank: float = 0
    fresh_s: float = 1
    opening_rank_per_s: float = 0.5


class _Entry(msgspec.Struct, frozen=True, kw_only=True):
    """The remembered rank of one service."""

    rank: float
    noted_s: float


class LevelBook:
    """Remembered levels by service (or by service and route)."""

    def __init__(self, *, settings: LevelBookSettings | None = None) -> None:
        self._settings = settings or LevelBookSettings()
        self._entries: dict[str, _Entry] = {}
        self._flows: dict[str, EntryRetryAfter] = {}

    def note(self, service: str, level: AdmissionLevel, now_s: float) -> None:
        """Remember the level that came with an answer of ``service``."""
        news = rank_of_level(level)
        rank = self._rank(service, now_s)
        rank += (news - rank) * self._settings.news_share
        self._entries[service] = _Entry(rank=rank, noted_s=now_s)

    def retry_after_s(self, service: str, root_id: str, now_s: float) -> float:
        """Count a refusal and return the seconds until the return."""
        return self._flow(service).count_refusal(root_id, now_s)

    def refuses(
        self,
        service: str,
        importance: Importance,
        root_id: str,
        now_s: float,
    ) -> bool:
        """Tell whether a request is to be refused before any work."""
        rank = rank_of(importance, root_position(root_id))
        return rank > self._rank(service, now_s) + self._settings.margin_rank

    def passed(self, service: str, now_s: float) -> None:
        """Count a request that was let through."""
        self._flow(service).count_admitted(now_s)

    def lowered(
        self,
        own: AdmissionLevel,
        services: tuple[str, ...],
        now_s: float,
    ) -> AdmissionLevel:
        """Return ``own`` lowered to the levels of the services below."""
        lowest = rank_of_level(own)
        for service in services:
            lowest = min(lowest, self._rank(service, now_s))
        level = level_of(lowest)
        return msgspec.structs.replace(
            own, importance=level.importance, bucket=level.bucket
        )

    def _flow(self, service: str) -> EntryRetryAfter:
        return self._flows.setdefault(service, EntryRetryAfter())

    def _rank(self, service: str, now_s: float) -> float:
        entry = self._entries.get(service)
        if entry is None:
            return OPEN_RANK
        silent_s = now_s - entry.noted_s - self._settings.fresh_s
        opened = max(0, silent_s) * self._settings.opening_rank_per_s
        return min(OPEN_RANK, entry.rank + opened)
