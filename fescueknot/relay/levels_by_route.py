"""Admission levels of routes, as last reported by the targets.

Calls of targets go to targets nearby, so their chance of admission is the mean
over the targets of a service, weighted by their slots: a target that announces
a low rate limit takes few calls and says little of the service. A root request
may go to the target that admits the highest ranks.
"""

import msgspec

from fescueknot.admission.rank import OPEN_RANK, rank_of, root_position
from fescueknot.admission.retry_after import EntryRetryAfter
from fescueknot.calls import Importance


class RouteLevelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Validity of a reported level, and how fast it rises after that."""

    fresh_s: float = 1
    opening_rank_per_s: float = 2


class _ReportedRank(msgspec.Struct, frozen=True, kw_only=True):
    rank: float
    received_s: float
    slots: int


_NO_REPORT = _ReportedRank(rank=OPEN_RANK, received_s=0, slots=1)


class LevelsByRoute:
    """Admission levels by route and target.

    The size is bounded by the number of targets called.
    """

    def __init__(self, *, settings: RouteLevelSettings | None = None) -> None:
        self._settings = settings or RouteLevelSettings()
        self._reported: dict[str, dict[str, _ReportedRank]] = {}
        self._retry_after_by_route: dict[str, EntryRetryAfter] = {}

    def record(
        self,
        route: str,
        instance: str,
        rank: float,
        now_s: float,
        slots: int = 1,
    ) -> None:
        """Record the admission level and the slots reported with an answer."""
        by_target = self._reported.setdefault(route, {})
        by_target[instance] = _ReportedRank(
            rank=rank, received_s=now_s, slots=max(1, slots)
        )

    def mean_rank(self, route: str, now_s: float) -> float:
        """Return the highest admitted rank, as a mean over the slots."""
        reports = self._fresh_reports(self._reported.get(route, {}), now_s)
        slots = sum(report.slots for report in reports)
        return sum(report.rank * report.slots for report in reports) / slots

    def lowest_rank(self, routes: tuple[str, ...], now_s: float) -> float:
        """Return the lowest mean rank of ``routes``."""
        ranks = (self.mean_rank(route, now_s) for route in routes)
        return min(ranks, default=OPEN_RANK)

    def refuses(
        self, route: str, importance: Importance, root: str, now_s: float
    ) -> bool:
        """Return whether all targets of the route would refuse a request."""
        request_rank = rank_of(importance, root_position(root))
        reports = self._fresh_reports(self._reported.get(route, {}), now_s)
        return request_rank > max(report.rank for report in reports)

    def is_open(self, route: str, now_s: float) -> bool:
        """Return whether the targets of the route admit all ranks."""
        return self.mean_rank(route, now_s) >= OPEN_RANK

    def record_admitted(self, route: str, now_s: float) -> None:
        """Count a request that was admitted here."""
        self._retry_after(route).count_admitted(now_s)

    def record_refusal(self, route: str, root: str, now_s: float) -> float:
        """Count a refusal and return its Retry-After in seconds."""
        return self._retry_after(route).count_refusal(root, now_s)

    def _fresh_reports(
        self, by_target: dict[str, _ReportedRank], now_s: float
    ) -> list[_ReportedRank]:
        """Return the recent reports.

        Without any, return the last one, its rank raised with its age.
        """
        fresh = [
            report
            for report in by_target.values()
            if now_s - report.received_s <= self._settings.fresh_s
        ]
        if fresh:
            return fresh
        if not by_target:
            return [_NO_REPORT]
        last = max(by_target.values(), key=lambda report: report.received_s)
        stale_s = now_s - last.received_s - self._settings.fresh_s
        raised_rank = last.rank + stale_s * self._settings.opening_rank_per_s
        return [msgspec.structs.replace(last, rank=raised_rank)]

    def _retry_after(self, route: str) -> EntryRetryAfter:
        retry_after = self._retry_after_by_route.get(route)
        if retry_after is None:
            retry_after = EntryRetryAfter()
            self._retry_after_by_route[route] = retry_after
        return retry_after
