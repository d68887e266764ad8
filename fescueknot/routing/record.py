"""Load, refusals and health of one target, as seen by the local node."""

import math

import msgspec

from fescueknot.calls import Importance
from fescueknot.routing.completion import (
    CompletionEstimate,
    CompletionSettings,
)
from fescueknot.routing.ejection import Ejection, EjectionSettings, Health
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    LoadReport,
    ResultKind,
    Tier,
)
from fescueknot.routing.rate_backoff import RateBackoff, RateBackoffSettings

_OPEN_RANK = len(Importance)
_FAULTS = frozenset(
    (ResultKind.FAILED, ResultKind.TIMEOUT, ResultKind.TURNED_AWAY)
)
_COUNTED = _FAULTS | {ResultKind.OK}


class RecordSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long reports and results count, and how they are weighted.

    Load reports older than ``max_report_age_s`` and refusals older than
    ``recent_refusal_s`` are ignored. ``default_limit`` stands in for an
    unknown number of slots. A queue below ``short_queue_per_slot`` times the
    limit is short.

    A refusal by a target whose report claims capacity contradicts the report.
    After ``max_contradictions``, each within ``contradiction_window_s`` of the
    refusal before it, reports are ignored for ``distrust_s``.

    A cold target starts with the fraction ``ramp_start`` of its calls and
    reaches all of them after ``ramp_s``. A target that fails all of its calls
    has ``max_fault_load`` added to its load; ``fault_weight`` is the weight of
    one result in this moving average, ``fault_memory_s`` its time constant
    where time counts. The expected wait shrinks by
    ``queue_served_per_s`` seconds per second of age of the report.
    """

    max_report_age_s: float = 0.5
    recent_refusal_s: float = 0.05
    default_limit: int = 20
    short_queue_per_slot: float = 0.5
    max_contradictions: int = 3
    contradiction_window_s: float = 1
    distrust_s: float = 5
    ramp_s: float = 10
    ramp_start: float = 0.1
    ejection: EjectionSettings = EjectionSettings()
    max_fault_load: float = 0
    fault_weight: float = 0.05
    fault_memory_s: float = 2
    queue_served_per_s: float = 0.5
    rate_backoff: RateBackoffSettings = RateBackoffSettings()
    completion: CompletionSettings = CompletionSettings()


class TargetRecord:
    """Calls in flight, last load report, refusals and health of a target."""

    def __init__(
        self, *, candidate: Candidate, tier: Tier, settings: RecordSettings
    ) -> None:
        self.candidate = candidate
        self.tier = tier
        self.ejection = Ejection(settings=settings.ejection)
        self.rate_backoff = RateBackoff(settings=settings.rate_backoff)
        self.completion = CompletionEstimate(settings=settings.completion)
        self.in_flight = 0
        self._settings = settings
        self._report: LoadReport | None = None
        self._report_s = float(0)
        self._in_flight_at_report = 0
        self._contradictions = 0
        self._distrusted_until_s = float('-inf')
        self._refused_s = float('-inf')
        self._ramp_start_s = candidate.started_s
        self._fault_load = float(0)
        self._counted_s = float(0)

    def started(self) -> None:
        """Record a call that is sent."""
        self.in_flight += 1

    def finished(self, result: CallResult, now_s: float) -> None:
        """Record the end of a call."""
        self.in_flight = max(0, self.in_flight - 1)
        self._update_fault_load(result.kind, now_s)
        self.rate_backoff.record(result, now_s)
        if self.ejection.record(result.kind, now_s):
            self._ramp_start_s = now_s
            if _reports_work(result):
                # Faults before an ejection would keep calls away for long.
                self._fault_load = 0
        if result.kind is ResultKind.REFUSED:
            self._count_contradiction(now_s)
            self._refused_s = now_s
        if result.report is not None:
            self._report = result.report
            self._in_flight_at_report = self.in_flight
            self._report_s = now_s
            if not result.report.work_s:
                self.completion.forget()
            elif now_s >= self._distrusted_until_s:
                self.completion.record(result.report, self.in_flight, now_s)

    def load(self, now_s: float) -> float:
        """Return the load: requests per slot, this call included.

        Faults count as load, so that a target that fails some of its calls
        gets fewer calls.
        """
        report = self._fresh_report(now_s)
        if report is None:
            known_slots = self.rate_backoff.busy_slots or self.candidate.slots
            slots = known_slots or self._settings.default_limit
            return (self.in_flight + 1) / slots + self._fault_load
        requests = report.waiting + self._estimated_in_flight(report)
        return (requests + 1) / max(1, report.limit) + self._fault_load

    def expected_wait_s(self, now_s: float) -> float:
        """Return how long a call would wait for a slot.

        The reported queue is assumed to shrink while the report ages.
        """
        report = self._report
        if report is None or now_s < self._distrusted_until_s:
            return 0
        age_s = now_s - self._report_s
        requests = report.waiting + self._estimated_in_flight(report)
        excess = max(0, requests + 1 - report.limit)
        wait_s = excess / max(1, report.limit) * report.service_s
        return max(0, wait_s - age_s * self._settings.queue_served_per_s)

    def fault_ratio(self, now_s: float | None = None) -> float:
        """Return the decayed ratio of failed calls to all calls.

        With ``now_s`` it decays with the time since the last result too, so
        that a target which gets no calls any more is tried again.
        """
        ratio = self._fault_load / max(1, self._settings.max_fault_load)
        if now_s is None or not ratio:
            return ratio
        age_s = now_s - self._counted_s
        return ratio * math.exp(-age_s / self._settings.fault_memory_s)

    def admits(self, rank: float, now_s: float) -> bool:
        """Return whether a call of ``rank`` is likely to be admitted."""
        if self.rate_backoff.is_paused(now_s):
            return False
        report = self._fresh_report(now_s)
        if report is None:
            return not self._recently_refused(now_s)
        if self._admits_class(report, rank):
            return True
        free_slots = report.limit - self._estimated_in_flight(report)
        if free_slots <= 0 or report.waiting:
            return False
        return not self._recently_refused(now_s)

    def is_due(self, now_s: float) -> bool:
        """Return whether the target is ejected and due for a trial call."""
        return self.ejection.health(now_s) is Health.TRIAL_DUE

    def sheds(self, rank: float, now_s: float) -> bool:
        """Return whether the target sheds ``rank`` by its last report."""
        report = self._fresh_report(now_s)
        return report is not None and rank > report.level_rank

    def ramp_fraction(self, now_s: float) -> float:
        """Return the fraction of calls for a target that warms up, up to 1."""
        age_s = now_s - self._ramp_start_s
        ramped = age_s / self._settings.ramp_s
        return min(1, max(self._settings.ramp_start, ramped))

    def _update_fault_load(self, kind: ResultKind, now_s: float) -> None:
        if kind not in _COUNTED:
            return
        self._counted_s = now_s
        observed = self._settings.max_fault_load * (kind in _FAULTS)
        step = (observed - self._fault_load) * self._settings.fault_weight
        self._fault_load += step

    def _fresh_report(self, now_s: float) -> LoadReport | None:
        if now_s < self._distrusted_until_s:
            return None
        if now_s - self._report_s > self._settings.max_report_age_s:
            return None
        return self._report

    def _admits_class(self, report: LoadReport, rank: float) -> bool:
        short_queue = report.limit * self._settings.short_queue_per_slot
        whole_class = rank < int(report.level_rank) < _OPEN_RANK
        return whole_class and report.waiting < short_queue

    def _count_contradiction(self, now_s: float) -> None:
        """Ignore reports of capacity that refusals contradict repeatedly."""
        report = self._fresh_report(now_s)
        if report is None or not _claims_capacity(report):
            return
        if now_s - self._refused_s > self._settings.contradiction_window_s:
            self._contradictions = 0
        self._contradictions += 1
        if self._contradictions >= self._settings.max_contradictions:
            self._distrusted_until_s = now_s + self._settings.distrust_s
            self.completion.forget()

    def _estimated_in_flight(self, report: LoadReport) -> int:
        sent_since = self.in_flight - self._in_flight_at_report
        return max(self.in_flight, report.in_flight + sent_since)

    def _recently_refused(self, now_s: float) -> bool:
        return now_s - self._refused_s < self._settings.recent_refusal_s


def _reports_work(result: CallResult) -> bool:
    return result.report is not None and result.report.work_s > 0


def _claims_capacity(report: LoadReport) -> bool:
    has_free_slot = report.in_flight < report.limit and report.waiting == 0
    return has_free_slot and report.level_rank >= _OPEN_RANK
