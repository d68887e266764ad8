"""What a node knows about one target that it calls."""

import msgspec

from fescueknot.calls import Importance
from fescueknot.routing.ejection import Ejection, EjectionSettings, Health
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    LoadReport,
    ResultKind,
    Tier,
)

_OPEN_RANK = len(Importance)
_FAULTS = frozenset(
    (ResultKind.FAILED, ResultKind.TIMEOUT, ResultKind.TURNED_AWAY)
)
_JUDGED = _FAULTS | {ResultKind.OK}


class RecordSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Paces of what is remembered.

    A report counts for ``max_report_age_s``, a refusal for
    ``refusal_fresh_s``. A cold target starts at ``ramp_start`` of its share.
    A target that fails all its calls counts as ``max_fault_load`` fuller.
    """

    max_report_age_s: float = 0.5
    refusal_fresh_s: float = 0.05
    usual_limit: int = 20
    short_line_per_slot: float = 0.5
    most_doubts: int = 3
    doubt_memory_s: float = 1
    distrust_s: float = 5
    ramp_s: float = 10
    ramp_start: float = 0.1
    ejection: EjectionSettings = EjectionSettings()
    max_fault_load: float = 0
    fault_memory: float = 0.05
    line_served_share: float = 0.5


class TargetRecord:
    """Calls in flight, last report, refusals and health of one target."""

    def __init__(
        self, *, candidate: Candidate, tier: Tier, settings: RecordSettings
    ) -> None:
        self.candidate = candidate
        self.tier = tier
        self.ejection = Ejection(settings=settings.ejection)
        self.in_flight = 0
        self._settings = settings
        self._report: LoadReport | None = None
        self._report_s = float(0)
        self._in_flight_then = 0
        self._doubts = 0
        self._distrusted_until_s = float('-inf')
        self._refused_s = float('-inf')
        self._warm_from_s = candidate.started_s
        self._fault_load = float(0)

    def started(self) -> None:
        """Count a call that was sent."""
        self.in_flight += 1

    def finished(self, result: CallResult, now_s: float) -> None:
        """Take the end of a call."""
        self.in_flight = max(0, self.in_flight - 1)
        self._learn_faults(result.kind)
        if self.ejection.record(result.kind, now_s):
            self._warm_from_s = now_s
        if result.kind is ResultKind.REFUSED:
            self._doubt_report(now_s)
            self._refused_s = now_s
        if result.report is not None:
            self._report = result.report
            self._in_flight_then = self.in_flight
            self._report_s = now_s

    def score(self, now_s: float) -> float:
        """Return the load to compare: calls in flight by slot.

        Faults count as load, so that a target that fails part of its calls
        gets fewer of them.
        """
        report = self._fresh_report(now_s)
        if report is None:
            slots = self.candidate.slots or self._settings.usual_limit
            return (self.in_flight + 1) / slots + self._fault_load
        held = report.waiting + self._estimated_in_flight(report)
        return (held + 1) / max(1, report.limit) + self._fault_load

    def expected_wait_s(self, now_s: float) -> float:
        """Return how long a call would wait for a slot.

        A line that was told of is taken to be served meanwhile.
        """
        report = self._report
        if report is None or now_s < self._distrusted_until_s:
            return 0
        age_s = now_s - self._report_s
        held = report.waiting + self._estimated_in_flight(report)
        excess = max(0, held + 1 - report.limit)
        wait_s = excess / max(1, report.limit) * report.service_s
        return max(0, wait_s - age_s * self._settings.line_served_share)

    def fault_share(self) -> float:
        """Return the share of calls that the target failed of late."""
        return self._fault_load / max(1, self._settings.max_fault_load)

    def takes(self, rank: float, now_s: float) -> bool:
        """Tell whether a call of ``rank`` is likely to be admitted."""
        report = self._fresh_report(now_s)
        if report is None:
            return not self._just_refused(now_s)
        if self._takes_class(report, rank):
            return True
        free = report.limit - self._estimated_in_flight(report)
        if free <= 0 or report.waiting:
            return False
        return not self._just_refused(now_s)

    def is_due(self, now_s: float) -> bool:
        """Tell whether an ejected target is to get a trial call."""
        return self.ejection.health(now_s) is Health.TRIAL_DUE

    def sheds(self, rank: float, now_s: float) -> bool:
        """Tell whether the last report says that ``rank`` is refused."""
        report = self._fresh_report(now_s)
        return report is not None and rank > report.level_rank

    def warmth(self, now_s: float) -> float:
        """Return the share of calls that the target is up to, up to 1."""
        age_s = now_s - self._warm_from_s
        grown = age_s / self._settings.ramp_s
        return min(1, max(self._settings.ramp_start, grown))

    def _learn_faults(self, kind: ResultKind) -> None:
        if kind not in _JUDGED:
            return
        seen = self._settings.max_fault_load * (kind in _FAULTS)
        step = (seen - self._fault_load) * self._settings.fault_memory
        self._fault_load += step

    def _fresh_report(self, now_s: float) -> LoadReport | None:
        if now_s < self._distrusted_until_s:
            return None
        if now_s - self._report_s > self._settings.max_report_age_s:
            return None
        return self._report

    def _takes_class(self, report: LoadReport, rank: float) -> bool:
        short_line = report.limit * self._settings.short_line_per_slot
        whole_class = rank < int(report.level_rank) < _OPEN_RANK
        return whole_class and report.waiting < short_line

    def _doubt_report(self, now_s: float) -> None:
        """Distrust reports of room that refusals contradict again and again."""
        report = self._fresh_report(now_s)
        if report is None or not _claims_room(report):
            return
        if now_s - self._refused_s > self._settings.doubt_memory_s:
            self._doubts = 0
        self._doubts += 1
        if self._doubts >= self._settings.most_doubts:
            self._distrusted_until_s = now_s + self._settings.distrust_s

    def _estimated_in_flight(self, report: LoadReport) -> int:
        sent_since = self.in_flight - self._in_flight_then
        return max(self.in_flight, report.in_flight + sent_since)

    def _just_refused(self, now_s: float) -> bool:
        return now_s - self._refused_s < self._settings.refusal_fresh_s


def _claims_room(report: LoadReport) -> bool:
    free = report.in_flight < report.limit and report.waiting == 0
    return free and report.level_rank >= _OPEN_RANK
