"""Suspicion: an instance that doesn't answer is removed in two stages.

A watched instance that does not answer a probe becomes suspected locally, and
witnesses are requested to probe it too. It is announced as suspect, then as
lost, only when at least two witnesses could not reach it either, one of them
in the failure domain of the instance: if no witness there answers, the whole
domain may be cut off.
"""

import dataclasses

from fescueknot.membership.announcements import Announcement

SUSPECT_DELAY_S = 2.0
REFUTATION_WINDOW_S = 5.0
REQUEST_PERIOD_S = 1.0
MAX_REQUEST_PERIOD_S = 16.0
_REQUESTS_BEFORE_BACKOFF = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class FailureReport:
    """A witness's report that it could not reach the instance."""

    witness: str
    is_near: bool
    at_s: float


class Suspicion:
    """State of the suspicion of one instance that doesn't answer."""

    def __init__(self, *, target: Announcement, now_s: float) -> None:
        self.target = target
        self._request_count = 0
        self._next_request_at_s = now_s
        self._stage_started_at_s = now_s
        self._reports: dict[str, FailureReport] = {}

    def start_stage(self, target: Announcement, *, now_s: float) -> None:
        """Start the next stage, in which reports are collected anew."""
        self.target = target
        self._stage_started_at_s = now_s
        self._reports.clear()

    def take_due_request(self, *, now_s: float) -> bool:
        """Return whether witness requests are due now; count them if so.

        The period doubles after the first requests, up to a maximum.
        """
        if now_s < self._next_request_at_s:
            return False
        doublings = max(0, self._request_count - _REQUESTS_BEFORE_BACKOFF)
        period_s = min(MAX_REQUEST_PERIOD_S, REQUEST_PERIOD_S * 2**doublings)
        self._request_count += 1
        self._next_request_at_s = now_s + period_s
        return True

    def add_report(self, report: FailureReport) -> None:
        """Record a failure report, replacing one of the same witness."""
        self._reports[report.witness] = report

    def can_advance(self, *, now_s: float, reports_needed: int) -> bool:
        """Return whether the stage is over.

        That is when its time has passed and there are ``reports_needed``
        failure reports, at least one by a near witness.
        """
        wait_s = (
            SUSPECT_DELAY_S if self.target.is_working else REFUTATION_WINDOW_S
        )
        is_due = now_s - self._stage_started_at_s >= wait_s
        is_near = any(report.is_near for report in self._reports.values())
        return is_due and is_near and len(self._reports) >= reports_needed
