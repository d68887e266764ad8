"""A concurrency limit that adapts to refusals and service times.

A refusal by the target is exact evidence: it has fewer slots than requests in
flight. While a target refuses, only refusals lower its limit.

For other targets the signal is the local service time: the service time less
the time spent in downstream calls. A rise is ambiguous: either requests queue
inside the target, or its work has become slower, in which case a lower limit
only loses goodput. So the limit is lowered for a trial of one window. The
limit after the trial follows by Little's law from the service times before
and during the trial. This is a gradient limit whose base service time is
measured again from time to time, as BBR does.
"""

import msgspec

from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.admission.window import Window


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and timing of an adaptive limit.

    The limit does not grow for ``hold_after_refusal_s`` after a refusal, and
    no trial starts for ``no_trial_after_refusal_s``. A trial starts when the
    local service time exceeds ``slower_ratio`` times the base, or the base is
    older than ``max_base_age_s``. It multiplies the limit by a ratio between
    ``min_trial_ratio`` and ``max_trial_ratio``.

    A local service time of at most ``faster_ratio`` times that before the
    trial shows that requests were queued. If the local service time in the
    trial exceeds ``rebase_ratio`` times the value that is proportional to the
    lowered limit, the work itself is slower and the base is replaced.
    """

    initial: int = 8
    min_limit: int = 1
    max_limit: int = 300
    window_s: float = 0.1
    min_samples: int = 4
    hold_after_refusal_s: float = 1
    slower_ratio: float = 1.4
    max_trial_ratio: float = 0.8
    min_trial_ratio: float = 0.6
    faster_ratio: float = 0.9
    rebase_ratio: float = 1.08
    max_base_age_s: float = 30
    no_trial_after_refusal_s: float = 30


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """The limit and the mean service times before a trial."""

    limit: int
    local_s: float
    mean_s: float


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that adapts to refusals and service times."""

    def __init__(self, *, settings: LimitSettings | None = None) -> None:
        self._settings = settings or LimitSettings()
        self._limit = self._settings.initial
        self._growth_step = 1
        self._refused_s = float('-inf')
        self._base_s = float(0)
        self._base_measured_s = float(0)
        self._mean_s = float(0)
        self._min_service_s = float(0)
        self._trial: _Trial | None = None
        self._window = Window(opened_s=0)

    def current(self) -> int:
        """Return the limit, at least ``min_limit`` of the settings."""
        return self._limit

    def min_service_s(self) -> float:
        """Return the shortest mean of any window, 0 while unknown."""
        return self._min_service_s

    def typical_s(self) -> float:
        """Return the mean of the last window, 0 while unknown."""
        return self._mean_s

    def update(self, sample: Sample, now_s: float) -> None:
        """Update the limit; failed and cancelled requests are ignored."""
        if sample.kind is CompletionKind.REFUSED:
            self._apply_refusal(sample, now_s)
        elif sample.kind in {CompletionKind.OK, CompletionKind.TIMEOUT}:
            self._window.add(sample)
            self._close_window(now_s)

    def _apply_refusal(self, sample: Sample, now_s: float) -> None:
        bounded = max(self._settings.min_limit, sample.in_flight - 1)
        self._limit = min(self._limit, bounded)
        self._trial = None
        self._growth_step = 1
        self._refused_s = now_s

    def _close_window(self, now_s: float) -> None:
        samples = max(self._settings.min_samples, self._limit)
        if not self._window.is_complete(
            now_s, samples=samples, length_s=self._settings.window_s
        ):
            return
        window = self._window
        self._window = Window(opened_s=now_s)
        self._mean_s = window.mean_s()
        self._min_service_s = min(
            self._min_service_s or self._mean_s, self._mean_s
        )
        if self._trial is None:
            self._adjust(window, now_s)
        else:
            self._end_trial(self._trial, window.mean_local_s(), now_s)

    def _end_trial(self, trial: _Trial, local_s: float, now_s: float) -> None:
        self._trial = None
        self._base_measured_s = now_s
        queued_s = float(0)
        if local_s <= trial.local_s * self._settings.faster_ratio:
            queued_s = trial.local_s - local_s
        proportional_s = trial.local_s * self._limit / trial.limit
        if local_s > proportional_s * self._settings.rebase_ratio:
            self._base_s = local_s
        fitting_limit = int(trial.limit * (1 - queued_s / trial.mean_s))
        self._limit = max(self._limit, fitting_limit)

    def _adjust(self, window: Window, now_s: float) -> None:
        local_s = window.mean_local_s()
        if self._base_s == 0 or local_s < self._base_s:
            self._base_s = local_s
            self._base_measured_s = now_s
        if window.max_in_flight < self._limit:
            return
        is_slower = local_s > self._base_s * self._settings.slower_ratio
        is_base_old = (
            now_s - self._base_measured_s > self._settings.max_base_age_s
        )
        since_refusal_s = now_s - self._refused_s
        if (
            is_slower or is_base_old
        ) and since_refusal_s > self._settings.no_trial_after_refusal_s:
            self._begin_trial(window)
        elif since_refusal_s >= self._settings.hold_after_refusal_s:
            self._increase()

    def _begin_trial(self, window: Window) -> None:
        mean_s = window.mean_s()
        local_s = window.mean_local_s()
        self._trial = _Trial(limit=self._limit, local_s=local_s, mean_s=mean_s)
        self._growth_step = 1
        unqueued_fraction = 1 - (local_s - self._base_s) / mean_s
        bounded = max(self._settings.min_trial_ratio, unqueued_fraction)
        ratio = min(self._settings.max_trial_ratio, bounded)
        self._limit = max(self._settings.min_limit, int(self._limit * ratio))

    def _increase(self) -> None:
        grown = self._limit + self._growth_step
        self._limit = min(self._settings.max_limit, grown)
        self._growth_step = min(self._growth_step * 2, self._limit)
