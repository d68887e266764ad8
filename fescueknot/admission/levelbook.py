"""Admission levels of called services, stored where requests enter.

Each answer carries the level of the gate that admitted the call, already
lowered to the levels of its downstream services. Requests that a downstream
service would shed are refused here, before any work is done. Ranks up to a
margin above the level are let through, so that the gates see the demand and
raise their level when they can. A level that is not updated rises again, until
all ranks are admitted.
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
    """How stored levels are updated; levels and margins are ranks.

    ``update_weight`` is the weight of a new level in the moving average. A
    level without updates is kept for ``hold_s`` and then rises by
    ``reopening_rank_per_s``.
    """

    update_weight: float = 0.3
    margin_rank: float = 0
    hold_s: float = 1
    reopening_rank_per_s: float = 0.5


class _StoredLevel(msgspec.Struct, frozen=True, kw_only=True):
    """The level of one service and the time of its last update."""

    rank: float
    updated_s: float


class LevelBook:
    """Admission levels by service (or by service and route)."""

    def __init__(self, *, settings: LevelBookSettings | None = None) -> None:
        self._settings = settings or LevelBookSettings()
        self._levels: dict[str, _StoredLevel] = {}
        self._entry_retry_after: dict[str, EntryRetryAfter] = {}

    def note(self, service: str, level: AdmissionLevel, now_s: float) -> None:
        """Record the level that came with an answer of ``service``."""
        reported = rank_of_level(level)
        rank = self._rank(service, now_s)
        rank += (reported - rank) * self._settings.update_weight
        self._levels[service] = _StoredLevel(rank=rank, updated_s=now_s)

    def retry_after_s(self, service: str, root_id: str, now_s: float) -> float:
        """Count a refused request and return its Retry-After in seconds."""
        return self._entry(service).count_refusal(root_id, now_s)

    def refuses(
        self,
        service: str,
        importance: Importance,
        root_id: str,
        now_s: float,
    ) -> bool:
        """Return whether ``service`` would shed the request."""
        rank = rank_of(importance, root_position(root_id))
        return rank > self._rank(service, now_s) + self._settings.margin_rank

    def passed(self, service: str, now_s: float) -> None:
        """Count a request that was not refused here."""
        self._entry(service).count_admitted(now_s)

    def lowered(
        self,
        own: AdmissionLevel,
        services: tuple[str, ...],
        now_s: float,
    ) -> AdmissionLevel:
        """Return ``own``, lowered to the lowest level of ``services``."""
        lowest = rank_of_level(own)
        for service in services:
            lowest = min(lowest, self._rank(service, now_s))
        level = level_of(lowest)
        return msgspec.structs.replace(
            own, importance=level.importance, bucket=level.bucket
        )

    def _entry(self, service: str) -> EntryRetryAfter:
        return self._entry_retry_after.setdefault(service, EntryRetryAfter())

    def _rank(self, service: str, now_s: float) -> float:
        stored = self._levels.get(service)
        if stored is None:
            return OPEN_RANK
        stale_s = now_s - stored.updated_s - self._settings.hold_s
        reopened = max(0, stale_s) * self._settings.reopening_rank_per_s
        return min(OPEN_RANK, stored.rank + reopened)
