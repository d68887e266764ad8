"""Ejection of failing targets, ended by a successful trial call."""

import enum

import msgspec

from fescueknot.routing.messages import ResultKind

_FAILURES = frozenset(
    (ResultKind.FAILED, ResultKind.TIMEOUT, ResultKind.UNREACHABLE)
)
_RESPONSES = frozenset(
    (ResultKind.OK, ResultKind.REFUSED, ResultKind.TURNED_AWAY)
)


class EjectionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When a target is ejected and for how long.

    A target is ejected after ``consecutive_failures`` failed calls, or
    ``consecutive_unreachable`` if the last call could not be sent. The first
    ejection lasts ``base_ejection_s``; the time doubles with each failed
    trial, up to ``max_ejection_s``.
    """

    consecutive_failures: int = 5
    consecutive_unreachable: int = 5
    base_ejection_s: float = 0.5
    max_ejection_s: float = 8


class Health(enum.Enum):
    """Whether a target gets calls; on trial it gets a single call."""

    HEALTHY = 'good'
    EJECTED = 'ejected'
    TRIAL_DUE = 'trial due'
    ON_TRIAL = 'on trial'


class Ejection:
    """Consecutive failures of one target, as seen by the local node."""

    def __init__(self, *, settings: EjectionSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._duration_s = settings.base_ejection_s
        self._ejected_until_s: float | None = None
        self._on_trial = False

    def health(self, now_s: float) -> Health:
        """Return whether the target gets calls now."""
        if self._ejected_until_s is None:
            return Health.HEALTHY
        if self._on_trial:
            return Health.ON_TRIAL
        return (
            Health.EJECTED
            if now_s < self._ejected_until_s
            else Health.TRIAL_DUE
        )

    def is_usable(self, now_s: float) -> bool:
        """Return whether the target gets calls or is due for a trial."""
        if self._ejected_until_s is None:
            return True
        return now_s >= self._ejected_until_s and not self._on_trial

    def begin_trial(self) -> None:
        """Record that a trial call is sent to an ejected target."""
        self._on_trial = True

    def record(self, kind: ResultKind, now_s: float) -> bool:
        """Record a result; return whether it ended an ejection."""
        if kind in _FAILURES:
            self._record_failure(kind, now_s)
            return False
        if kind not in _RESPONSES:
            self._on_trial = False
            return False
        came_back = self._ejected_until_s is not None
        self._failures = 0
        self._ejected_until_s = None
        self._on_trial = False
        self._duration_s = self._settings.base_ejection_s
        return came_back

    def _record_failure(self, kind: ResultKind, now_s: float) -> None:
        self._failures += 1
        bound = self._settings.consecutive_failures
        if kind is ResultKind.UNREACHABLE:
            bound = self._settings.consecutive_unreachable
        failed_trial = self._on_trial
        if failed_trial:
            doubled_s = self._duration_s * 2
            self._duration_s = min(self._settings.max_ejection_s, doubled_s)
        not_ejected = self._ejected_until_s is None
        too_many = self._failures >= bound
        if failed_trial or (not_ejected and too_many):
            self._ejected_until_s = now_s + self._duration_s
        self._on_trial = False
