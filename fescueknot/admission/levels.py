"""The admission level of a gate: the highest rank that it admits.

At the end of each window the decayed demand is compared with the capacity of
the target: the concurrency limit over the mean service time (Little's law),
less the rate that is needed to work off the excess of the queue. If the demand
exceeds the capacity, the goal is the level at which it fits; otherwise the
goal lies above the current level, the more so the lower the utilisation. The
level moves towards the goal in small steps, because callers learn of it only
with their next answers and a faster loop would oscillate. A large excess of
demand is cut in large steps.
"""

import msgspec

from fescueknot.admission.demand import Demand
from fescueknot.admission.rank import OPEN_RANK
from fescueknot.calls import Importance

_MIN_RISE = 0.02
# The upper end of the most important class. The level never sheds this class,
# it is bounded by the queue alone: its counts may be too low to show whether
# the class fits the capacity.
_FLOOR_RANK = float(Importance.CRITICAL + 1)


class LevelSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Control parameters of a level.

    ``small_step`` and ``large_step`` are fractions of the distance to the
    goal, one step per window. The large step applies while the demand exceeds
    ``large_excess`` times the capacity. The queue is allowed to be the longer
    of ``allowed_queue_per_slot`` times the limit and the requests served in
    ``allowed_queue_s``; its excess is worked off within ``queue_drain_s``.

    The capacity is multiplied by a correction factor between
    ``min_correction`` and ``max_correction``. It falls by ``correction_step``
    per window while the queue is longer than allowed and rises otherwise.

    With ``needs_queue`` the level falls only while the queue is longer than
    allowed; until then a target that states its slots is not full. With
    ``starts_at_demand`` the level falls from the highest rank in demand, so
    that the first step already sheds.
    """

    window_s: float = 0.1
    small_step: float = 0.15
    large_step: float = 0.5
    large_excess: float = 1.3
    growth_exponent: float = 0.6
    max_growth: float = 2
    correction_step: float = 0.002
    min_correction: float = 0.8
    max_correction: float = 1.2
    allowed_queue_per_slot: float = 0.5
    allowed_queue_s: float = 0.09
    queue_drain_s: float = 2
    min_capacity_fraction: float = 0.25
    needs_queue: bool = False
    starts_at_demand: bool = False


class Occupancy(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a gate, and the capacity of its target in requests/s."""

    waiting: int
    in_flight: int
    limit: int
    capacity_per_s: float


class LevelController:
    """Adjusts the admission level once per window."""

    def __init__(self, *, settings: LevelSettings | None = None) -> None:
        self._settings = settings or LevelSettings()
        self._demand = Demand()
        self._level = OPEN_RANK
        self._ceiling = OPEN_RANK
        self._correction = float(1)
        self._window_start_s: float | None = None
        self._queue_samples = 0
        self._waiting_total = 0

    @property
    def level(self) -> float:
        """Return the highest rank that is admitted."""
        return self._level

    @property
    def root_level(self) -> float:
        """Return the highest rank admitted at depth 0.

        Bounded by the levels of the downstream services; never below the end
        of the most important class.
        """
        return max(_FLOOR_RANK, min(self._level, self._ceiling))

    def set_ceiling(self, ceiling: float) -> None:
        """Set the lowest level of the downstream services as a rank."""
        self._ceiling = ceiling

    def count_offer(self, rank: float) -> None:
        """Count one offered request."""
        self._demand.count(rank)

    def observe_queue(self, waiting: int, now_s: float) -> bool:
        """Sample the queue length; return whether the window is over."""
        if self._window_start_s is None:
            self._window_start_s = now_s
        self._queue_samples += 1
        self._waiting_total += waiting
        return now_s - self._window_start_s >= self._settings.window_s

    def close_window(self, occupancy: Occupancy, now_s: float) -> None:
        """Adjust the level at the end of a window and open the next one."""
        elapsed_s = now_s - self._window_start_s
        if occupancy.capacity_per_s > 0:
            self._set_level(occupancy, elapsed_s)
        self._demand.decay(elapsed_s)
        self._window_start_s = now_s
        self._queue_samples = 0
        self._waiting_total = 0

    def _set_level(self, occupancy: Occupancy, elapsed_s: float) -> None:
        allowed_queue = max(
            occupancy.limit * self._settings.allowed_queue_per_slot,
            occupancy.capacity_per_s * self._settings.allowed_queue_s,
        )
        excess_queue = self._waiting_total / self._queue_samples - allowed_queue
        self._update_correction(excess_queue)
        corrected_per_s = occupancy.capacity_per_s * self._correction
        capacity_per_s = max(
            corrected_per_s * self._settings.min_capacity_fraction,
            corrected_per_s - excess_queue / self._settings.queue_drain_s,
        )
        demand_per_s = self._demand.rate_per_s(elapsed_s)
        may_fall = excess_queue > 0 or not self._settings.needs_queue
        if demand_per_s > capacity_per_s and may_fall:
            goal = self._demand.level_for(capacity_per_s, elapsed_s)
        else:
            goal = self._raised_level(demand_per_s / capacity_per_s)
        step = self._settings.small_step
        if demand_per_s > capacity_per_s * self._settings.large_excess:
            step = self._settings.large_step
        start = self._level
        if self._settings.starts_at_demand and goal < start:
            start = max(goal, min(start, self._demand.highest_rank()))
        stepped = start + (goal - start) * step
        self._level = max(_FLOOR_RANK, min(stepped, OPEN_RANK))

    def _update_correction(self, excess_queue: float) -> None:
        if self._level >= OPEN_RANK:
            self._correction = 1
        elif excess_queue > 0:
            lowered = self._correction - self._settings.correction_step
            self._correction = max(self._settings.min_correction, lowered)
        else:
            raised = self._correction + self._settings.correction_step
            self._correction = min(self._settings.max_correction, raised)

    def _raised_level(self, utilisation: float) -> float:
        growth = self._settings.max_growth
        if utilisation > 0:
            headroom = (1 / utilisation) ** self._settings.growth_exponent
            growth = min(growth, max(1, headroom))
        return self._level * growth + _MIN_RISE
