"""Weighing near targets against far ones."""

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
        """Return one of ``best``, or ``None`` when there is none.

        The nearest tier comes first; a tier is looked at when its target is
        asked for.
        """


class NearestWithRoom(Preference):
    """The nearest target that has room, otherwise the nearest one."""

    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return the nearest target that takes the call or is on trial."""
        nearest: TargetRecord | None = None
        for record in best:
            if record.takes(rank, now_s) or record.is_due(now_s):
                return record
            nearest = nearest or record
        return nearest


class CostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What counts how much, in seconds of waiting.

    ``tier_cost_s`` is what the way to a tier is worth, ``shed_cost_s`` that a target
    sheds calls of the rank, ``fault_s`` that it fails all of its calls.
    ``load_s`` decides between targets where nobody waits.
    """

    tier_cost_s: Mapping[Tier, float]
    shed_cost_s: float = 0
    fault_s: float = 0.5
    load_s: float = 0.001


class LeastCost(Preference):
    """The target with the shortest wait, all else counted as waiting.

    A far target is taken only if calls wait longer at the near ones; when
    all are equally full, calls stay near.
    """

    def __init__(self, *, settings: CostSettings) -> None:
        self._settings = settings

    def choose(
        self, best: Iterator[TargetRecord], rank: float, now_s: float
    ) -> TargetRecord | None:
        """Return the cheapest target; one due for a trial waits for none."""
        return min(
            best,
            key=lambda record: self._cost_s(record, rank, now_s),
            default=None,
        )

    def _cost_s(self, record: TargetRecord, rank: float, now_s: float) -> float:
        cost_s = self._settings.tier_cost_s[record.tier]
        if record.is_due(now_s):
            return cost_s
        cost_s += record.expected_wait_s(now_s)
        cost_s += record.fault_share() * self._settings.fault_s
        cost_s += record.score(now_s) * self._settings.load_s
        return cost_s + self._settings.shed_cost_s * record.sheds(rank, now_s)
