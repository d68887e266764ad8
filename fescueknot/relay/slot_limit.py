"""The limit of a target that tells its slots."""

from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.relay.slot_reserve import SlotReserve

_MEMORY = 0.05
_FAST_MEMORY = 0.02


class SlotLimit(ConcurrencyLimit):
    """As many requests as the target has slots, less those better left free.

    Learns service times.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = max(1, slots)
        self._near_full = SlotReserve(slots=self._slots)
        self._typical_s = float(0)
        self._min_service_s = float(0)

    def current(self) -> int:
        """Return the slots that are used."""
        return self._slots - self._near_full.reserved

    def min_service_s(self) -> float:
        """Return a low service time, 0 while unknown."""
        return self._min_service_s

    def typical_s(self) -> float:
        """Return the mean recent service time, 0 while unknown."""
        return self._typical_s

    def update(self, sample: Sample, now_s: float) -> None:
        """Take the service time of an answer."""
        if sample.kind is not CompletionKind.OK:
            return
        took_s = sample.service_time_s
        if not sample.has_downstream_calls:
            self._near_full.note(sample.route, sample.in_flight, took_s, now_s)
        if self._typical_s == 0:
            self._typical_s = took_s
            self._min_service_s = took_s
            return
        self._typical_s += (took_s - self._typical_s) * _MEMORY
        if took_s < self._min_service_s:
            self._min_service_s = took_s
        else:
            self._min_service_s += (took_s - self._min_service_s) * _FAST_MEMORY
