"""A concurrency limit learned from what the target does.

A refusal by the target is exact news: its slots are fewer than the requests
it held, and a target that refuses is judged by that alone. Otherwise a rising
service time, less what calls below took, is doubtful news: either requests
queue inside the target, or its work has become slower, in which case a lower
limit only loses goodput. So the limit is lowered for a trial, and then set to
what Little's law makes of both service times (gradient limits, with the base
measured again as BBR does).
"""

import msgspec

from fescueknot.admission.limit import ConcurrencyLimit, Sample
from fescueknot.admission.messages import CompletionKind
from fescueknot.admission.window import Window


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and paces of an adaptive limit."""

    initial: int = 8
    lowest: int = 1
    highest: int = 300
    window_s: float = 0.1
    least_samples: int = 4
    hold_after_refusal_s: float = 1
    slower_ratio: float = 1.4
    trial_ratio: float = 0.8
    least_trial_ratio: float = 0.6
    follows_ratio: float = 0.9
    unqueued_ratio: float = 1.08
    base_age_s: float = 30
    refusing_s: float = 30


class _Trial(msgspec.Struct, frozen=True, kw_only=True):
    """The limit and the service times before the limit was lowered."""

    limit: int
    own_s: float
    mean_s: float


class AdaptiveLimit(ConcurrencyLimit):
    """A limit that follows refusals and service times."""

    def __init__(self, *, settings: LimitSettings | None = None) -> None:
        self._settings = settings or LimitSettings()
        self._limit = self._settings.initial
        self._growth = 1
        self._refused_s = float('-inf')
        self._base_s = float(0)
        self._base_set_s = float(0)
        self._recent_s = float(0)
        self._min_service_s = float(0)
        self._trial: _Trial | None = None
        self._window = Window(opened_s=0)

    def current(self) -> int:
        """Return the limit, at least the lowest of the settings."""
        return self._limit

    def min_service_s(self) -> float:
        """Return the shortest mean service time seen, 0 while unknown."""
        return self._min_service_s

    def typical_s(self) -> float:
        """Return the mean service time of the last window."""
        return self._recent_s

    def update(self, sample: Sample, now_s: float) -> None:
        """Take a completion into account; cancelled ones say nothing."""
        if sample.kind is CompletionKind.REFUSED:
            self._learn_refusal(sample, now_s)
        elif sample.kind in {CompletionKind.OK, CompletionKind.TIMEOUT}:
            self._window.add(sample)
            self._close_window(now_s)

    def _learn_refusal(self, sample: Sample, now_s: float) -> None:
        bounded = max(self._settings.lowest, sample.in_flight - 1)
        self._limit = min(self._limit, bounded)
        self._trial = None
        self._growth = 1
        self._refused_s = now_s

    def _close_window(self, now_s: float) -> None:
        samples = max(self._settings.least_samples, self._limit)
        if not self._window.complete(
            now_s, samples=samples, length_s=self._settings.window_s
        ):
            return
        window = self._window
        self._window = Window(opened_s=now_s)
        self._recent_s = window.mean_s()
        self._min_service_s = min(
            self._min_service_s or self._recent_s, self._recent_s
        )
        if self._trial is None:
            self._steer(window, now_s)
        else:
            self._end_trial(self._trial, window.mean_own_s(), now_s)

    def _end_trial(self, trial: _Trial, own_s: float, now_s: float) -> None:
        self._trial = None
        self._base_set_s = now_s
        queued_s = float(0)
        if own_s <= trial.own_s * self._settings.follows_ratio:
            queued_s = trial.own_s - own_s
        still_queued_s = trial.own_s * self._limit / trial.limit
        if own_s > still_queued_s * self._settings.unqueued_ratio:
            self._base_s = own_s
        fitting = int(trial.limit * (1 - queued_s / trial.mean_s))
        self._limit = max(self._limit, fitting)

    def _steer(self, window: Window, now_s: float) -> None:
        own_s = window.mean_own_s()
        if self._base_s == 0 or own_s < self._base_s:
            self._base_s = own_s
            self._base_set_s = now_s
        if window.most_in_flight < self._limit:
            return
        slower = own_s > self._base_s * self._settings.slower_ratio
        aged = now_s - self._base_set_s > self._settings.base_age_s
        quiet_s = now_s - self._refused_s
        if (slower or aged) and quiet_s > self._settings.refusing_s:
            self._begin_trial(window)
        elif quiet_s >= self._settings.hold_after_refusal_s:
            self._grow()

    def _begin_trial(self, window: Window) -> None:
        mean_s = window.mean_s()
        own_s = window.mean_own_s()
        self._trial = _Trial(limit=self._limit, own_s=own_s, mean_s=mean_s)
        self._growth = 1
        unqueued = 1 - (own_s - self._base_s) / mean_s
        bounded = max(self._settings.least_trial_ratio, unqueued)
        ratio = min(self._settings.trial_ratio, bounded)
        self._limit = max(self._settings.lowest, int(self._limit * ratio))

    def _grow(self) -> None:
        grown = self._limit + self._growth
        self._limit = min(self._settings.highest, grown)
        self._growth = min(self._growth * 2, self._limit)
