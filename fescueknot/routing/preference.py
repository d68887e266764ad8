"""Preferences between near and far targets."""

import abc
from collections.abc import Iterator, Mapping

import msgspec

from fescueknot.routing.messages import Tier
from fescueknot.routing.record import TargetRecord


class Preference(abc.ABC):
    """Chooses among the best targets of each tier."""

    @abc.abstractmethod
    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return one of ``best``, or ``None`` if it is empty.

        ``best`` yields the best target of each tier, nearest tier first. It is
        lazy: a tier is evaluated only when its target is requested.
        """

    def avoids(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether any other target of the tier is better."""
        return record.rate_backoff.is_paused(now_s)


class NearestWithCapacity(Preference):
    """The nearest target with capacity, otherwise the nearest target."""

    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return the nearest target with capacity or due for a trial."""
        nearest: TargetRecord | None = None
        for record in best:
            if record.admits(rank, now_s) or record.is_due(now_s):
                return record
            nearest = nearest or record
        return nearest


class CostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of a target in seconds of waiting.

    ``tier_cost_s`` is the cost of the network path to each tier,
    ``shed_cost_s`` that of a target that sheds calls of the rank, and
    ``fault_cost_s`` that of a target that fails all of its calls.
    ``load_cost_s`` is multiplied by the load and decides between targets
    without a queue. ``avoided_cost_s`` is the cost of a target that is to be
    avoided: it has refused a call by its announced rate limit just now, or it
    announces one and ``avoids_limited`` is set.
    """

    tier_cost_s: Mapping[Tier, float]
    shed_cost_s: float = 0
    fault_cost_s: float = 0.5
    load_cost_s: float = 0.001
    avoided_cost_s: float = 0.3
    avoids_limited: bool = False


class LeastCost(Preference):
    """The target with the lowest cost: expected wait plus other costs.

    A far target is chosen only if calls wait longer at the near targets; if
    all targets are equally full, calls stay near.
    """

    def __init__(self, *, settings: CostSettings) -> None:
        self._settings = settings

    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return the cheapest target."""
        candidates = tuple(best)
        work_s = usual_work_s(candidates, now_s)
        return min(
            candidates,
            key=lambda record: self.cost_s(record, rank, now_s, work_s),
            default=None,
        )

    def cost_s(
        self,
        record: TargetRecord,
        rank: float,
        now_s: float,
        usual_s: float = 0,
    ) -> float:
        """Return the cost of a target; if due for a trial, its wait is 0.

        ``usual_s`` is how long a target works on a call that does not report
        it, 0 if none of the compared targets does.
        """
        cost_s = self._settings.tier_cost_s[record.tier]
        if record.is_due(now_s):
            return cost_s + usual_s
        cost_s += self._time_s(record, now_s, usual_s)
        fault_ratio = record.fault_ratio(now_s if usual_s else None)
        cost_s += fault_ratio * self._settings.fault_cost_s
        cost_s += self.avoids(record, now_s) * self._settings.avoided_cost_s
        return cost_s + self._settings.shed_cost_s * record.sheds(rank, now_s)

    def avoids(self, record: TargetRecord, now_s: float) -> bool:
        """Return whether any other target of the tier is better."""
        if self._settings.avoids_limited and record.rate_backoff.is_limited:
            return True
        return record.rate_backoff.is_paused(now_s)

    def _time_s(
        self, record: TargetRecord, now_s: float, usual_s: float
    ) -> float:
        """Return the expected wait and work; without work, load has a cost."""
        expected_s = record.completion.expected_s(record.in_flight, now_s)
        if expected_s:
            return expected_s
        wait_s = record.expected_wait_s(now_s) + usual_s
        if usual_s:
            return wait_s
        return wait_s + record.load(now_s) * self._settings.load_cost_s


def usual_work_s(records: tuple[TargetRecord, ...], now_s: float) -> float:
    """Return the work at the nearest target that reports it, 0 if none does."""
    reported = (record.completion.work_s(now_s) for record in records)
    return next(filter(None, reported), 0)
