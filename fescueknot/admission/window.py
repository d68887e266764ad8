"""Statistics of one measuring window of a limit."""

from fescueknot.admission.limit import Sample


class Window:
    """Samples of requests that started after the window opened."""

    def __init__(self, *, opened_s: float) -> None:
        self.opened_s = opened_s
        self.count = 0
        self.most_in_flight = 0
        self._total_s = float(0)
        self._below_s = float(0)

    def add(self, sample: Sample) -> None:
        """Count a sample unless it started before the window opened."""
        if sample.started_s >= self.opened_s:
            self.count += 1
            self._total_s += sample.service_time_s
            self._below_s += sample.downstream_s
            self.most_in_flight = max(self.most_in_flight, sample.in_flight)

    def mean_s(self) -> float:
        """Return the mean service time of a window that has samples."""
        return self._total_s / self.count

    def mean_own_s(self) -> float:
        """Return the mean service time without that of calls below."""
        return (self._total_s - self._below_s) / self.count

    def complete(self, now_s: float, *, samples: int, length_s: float) -> bool:
        """Tell whether the window has enough samples and lasted enough."""
        return self.count >= samples and now_s - self.opened_s >= length_s
