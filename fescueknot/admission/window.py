"""Statistics of one measurement window of an adaptive limit."""

from fescueknot.admission.limit import Sample


class Window:
    """Sums over the requests that started after the window opened."""

    def __init__(self, *, opened_s: float) -> None:
        self.opened_s = opened_s
        self.count = 0
        self.max_in_flight = 0
        self._total_s = float(0)
        self._downstream_s = float(0)

    def add(self, sample: Sample) -> None:
        """Add a sample unless the request started before the window opened."""
        if sample.started_s >= self.opened_s:
            self.count += 1
            self._total_s += sample.service_time_s
            self._downstream_s += sample.downstream_s
            self.max_in_flight = max(self.max_in_flight, sample.in_flight)

    def mean_s(self) -> float:
        """Return the mean service time; there must be samples."""
        return self._total_s / self.count

    def mean_local_s(self) -> float:
        """Return the mean service time without downstream calls."""
        return (self._total_s - self._downstream_s) / self.count

    def is_complete(
        self, now_s: float, *, samples: int, length_s: float
    ) -> bool:
        """Return whether the window has enough samples and is long enough."""
        return self.count >= samples and now_s - self.opened_s >= length_s
