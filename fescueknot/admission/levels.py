"""The level of a gate: which ranks it sheds at once.

Once in each window the demand of the last moments is held against what the
target can do (limit over service time, by Little's law), less what the
waiting line has to catch up. Too much demand gives the level at which it fits;
too little gives one that is higher by the part that is missing. Small steps
towards it keep the loop stable, for answers carry the level back with a
delay; a large excess is cut in large steps.
"""

import msgspec

from fescueknot.admission.demand import Demand
from fescueknot.admission.rank import OPEN_RANK
from fescueknot.calls import Importance

_LEAST_RISE = 0.02
# The end of the most important class: it is bounded by its line alone, since
# counts of a few requests are no measure of whether a class fits.
_FLOOR_RANK = float(Importance.CRITICAL + 1)


class LevelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Paces and bounds of a level.

    Steps are parts of the way to the level that is aimed at, taken once a
    window. With ``needs_queue`` the level falls only while more than the
    wanted line waits: a target with slots is not full before. With
    ``starts_at_demand`` it falls from the highest rank that is asked for, so that
    the first step already sheds.
    """

    window_s: float = 0.1
    small_step: float = 0.15
    large_step: float = 0.5
    large_excess: float = 1.3
    growth_exponent: float = 0.6
    most_growth: float = 2
    correction_step: float = 0.002
    least_correction: float = 0.8
    most_correction: float = 1.2
    wanted_line_per_slot: float = 0.5
    allowed_queue_s: float = 0.09
    drain_s: float = 2
    least_capacity_share: float = 0.25
    needs_queue: bool = False
    starts_at_demand: bool = False


class Occupancy(msgspec.Struct, frozen=True, kw_only=True):
    """How full the gate is, and what the target can do a second."""

    waiting: int
    in_flight: int
    limit: int
    capacity_per_s: float


class LevelController:
    """Sets the level once in each window."""

    def __init__(self, *, settings: LevelSettings | None = None) -> None:
        self._settings = settings or LevelSettings()
        self._demand = Demand()
        self._level = OPEN_RANK
        self._ceiling = OPEN_RANK
        self._correction = float(1)
        self._window_began_s: float | None = None
        self._looks = 0
        self._waited = 0

    @property
    def level(self) -> float:
        """Return the highest rank that is admitted."""
        return self._level

    @property
    def fresh_level(self) -> float:
        """Return the highest rank admitted of requests without work."""
        return max(_FLOOR_RANK, min(self._level, self._ceiling))

    def heed(self, ceiling: float) -> None:
        """Take the level of the services below."""
        self._ceiling = ceiling

    def note_offer(self, rank: float) -> None:
        """Count one offered request."""
        self._demand.note(rank)

    def is_due(self, waiting: int, now_s: float) -> bool:
        """Look at the line; return whether the level is to be set again."""
        if self._window_began_s is None:
            self._window_began_s = now_s
        self._looks += 1
        self._waited += waiting
        return now_s - self._window_began_s >= self._settings.window_s

    def close_window(self, occupancy: Occupancy, now_s: float) -> None:
        """Set the level from what was seen in the window."""
        elapsed_s = now_s - self._window_began_s
        if occupancy.capacity_per_s > 0:
            self._set_level(occupancy, elapsed_s)
        self._demand.age(elapsed_s)
        self._window_began_s = now_s
        self._looks = 0
        self._waited = 0

    def _set_level(self, occupancy: Occupancy, elapsed_s: float) -> None:
        wanted_line = max(
            occupancy.limit * self._settings.wanted_line_per_slot,
            occupancy.capacity_per_s * self._settings.allowed_queue_s,
        )
        excess_line = self._waited / self._looks - wanted_line
        self._correct(excess_line)
        corrected_per_s = occupancy.capacity_per_s * self._correction
        capacity_per_s = max(
            corrected_per_s * self._settings.least_capacity_share,
            corrected_per_s - excess_line / self._settings.drain_s,
        )
        demand_per_s = self._demand.rate_per_s(elapsed_s)
        crowded = excess_line > 0 or not self._settings.needs_queue
        if demand_per_s > capacity_per_s and crowded:
            aim = self._demand.level_for(capacity_per_s, elapsed_s)
        else:
            aim = self._higher(demand_per_s / capacity_per_s)
        step = self._settings.small_step
        if demand_per_s > capacity_per_s * self._settings.large_excess:
            step = self._settings.large_step
        begin = self._level
        if self._settings.starts_at_demand and aim < begin:
            begin = max(aim, min(begin, self._demand.highest_rank()))
        stepped = begin + (aim - begin) * step
        self._level = max(_FLOOR_RANK, min(stepped, OPEN_RANK))

    def _correct(self, excess_line: float) -> None:
        if self._level >= OPEN_RANK:
            self._correction = 1
        elif excess_line > 0:
            lowered = self._correction - self._settings.correction_step
            self._correction = max(self._settings.least_correction, lowered)
        else:
            raised = self._correction + self._settings.correction_step
            self._correction = min(self._settings.most_correction, raised)

    def _higher(self, used_share: float) -> float:
        growth = self._settings.most_growth
        if used_share > 0:
            spare = (1 / used_share) ** self._settings.growth_exponent
            growth = min(growth, max(1, spare))
        return self._level * growth + _LEAST_RISE
