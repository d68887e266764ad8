"""Concurrency limit of a target that announces its number of slots."""

from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.relay.slot_reserve import SlotReserve

# Weight of a new sample in the moving average of service times.
_TYPICAL_WEIGHT = 0.05
# Weight of a slower sample in the low service time.
_SLOWER_SAMPLE_WEIGHT = 0.02


class SlotLimit(ConcurrencyLimit):
    """Limits requests to the target's slots less the reserved ones.

    Also tracks typical and low service times.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = max(1, slots)
        self._reserve = SlotReserve(slots=self._slots)
        self._typical_s = float(0)
        self._min_service_s = float(0)

    def current(self) -> int:
        """Return the number of slots to use."""
        return self._slots - self._reserve.reserved_slots

    def min_service_s(self) -> float:
        """Return a low recent service time, 0 while unknown."""
        return self._min_service_s

    def typical_s(self) -> float:
        """Return the mean recent service time, 0 while unknown."""
        return self._typical_s

    def update(self, sample: Sample, now_s: float) -> None:
        """Record the service time of an answered request."""
        if sample.kind is not CompletionKind.OK:
            return
        service_s = sample.service_time_s
        if not sample.has_downstream_calls:
            self._reserve.record(
                sample.route, sample.in_flight, service_s, now_s
            )
        if self._typical_s == 0:
            self._typical_s = service_s
            self._min_service_s = service_s
            return
        self._typical_s += (service_s - self._typical_s) * _TYPICAL_WEIGHT
        if service_s < self._min_service_s:
            self._min_service_s = service_s
        else:
            self._min_service_s += (
                service_s - self._min_service_s
            ) * _SLOWER_SAMPLE_WEIGHT
