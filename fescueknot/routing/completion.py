"""Expected completion of a call at a target that reports its work."""

import math

import msgspec

from fescueknot.routing.messages import LoadReport


class CompletionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long reports count, and how their load is weighted.

    Work counts for ``max_work_age_s``: how fast a host is changes more slowly
    than its load. The load approaches ``usual_load`` with the time constant
    ``load_memory_s``: without that, nodes avoid a target by a queue that has
    long been served. A load below the limit counts with ``idle_load_weight``
    and decides between targets of the same speed.
    """

    max_work_age_s: float = 10
    load_memory_s: float = 0.5
    usual_load: float = 0.7
    idle_load_weight: float = 0.1


class CompletionEstimate:
    """Wait and work of a call at one target, by its last report."""

    def __init__(self, *, settings: CompletionSettings) -> None:
        self._settings = settings
        self._report: LoadReport | None = None
        self._report_s = float('-inf')
        self._in_flight_at_report = 0

    def record(self, report: LoadReport, in_flight: int, now_s: float) -> None:
        """Record a report, with the calls that this node has in flight."""
        self._report = report
        self._report_s = now_s
        self._in_flight_at_report = in_flight

    def forget(self) -> None:
        """Ignore the last report."""
        self._report = None

    def work_s(self, now_s: float) -> float:
        """Return how long the target works on a call, 0 if not reported."""
        if self._report is None:
            return 0
        is_recent = now_s - self._report_s <= self._settings.max_work_age_s
        return self._report.work_s if is_recent else 0

    def expected_s(self, in_flight: int, now_s: float) -> float:
        """Return the expected wait and work of a call, 0 if not reported.

        ``in_flight`` is the number of calls that this node has in flight.
        """
        work_s = self.work_s(now_s)
        if not work_s:
            return 0
        load = self._load(self._report, in_flight, now_s)
        return work_s * (max(1, load) + load * self._settings.idle_load_weight)

    def _load(self, report: LoadReport, in_flight: int, now_s: float) -> float:
        """Return the requests per slot, this call included."""
        limit = max(1, report.limit)
        sent_since = in_flight - self._in_flight_at_report
        reported = report.waiting + max(
            in_flight, report.in_flight + sent_since
        )
        usual = in_flight + limit * self._settings.usual_load
        age_s = now_s - self._report_s
        weight = math.exp(-age_s / self._settings.load_memory_s)
        return (usual + (reported - usual) * weight + 1) / limit
