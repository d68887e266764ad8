"""Ejection of a target that fails, and its return by a trial call."""

import enum

import msgspec

from fescueknot.routing.messages import ResultKind

_FAILURES = frozenset(
    (ResultKind.FAILED, ResultKind.TIMEOUT, ResultKind.UNREACHABLE)
)
_ANSWERS = frozenset(
    (ResultKind.OK, ResultKind.REFUSED, ResultKind.TURNED_AWAY)
)


class EjectionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """When a target is ejected and for how long.

    ``consecutive_unreachable`` is the bound of calls that could not be sent.
    """

    failures_in_a_row: int = 5
    consecutive_unreachable: int = 5
    base_ejection_s: float = 0.5
    max_ejection_s: float = 8


class Health(enum.Enum):
    """Whether a target gets calls."""

    GOOD = 'good'
    EJECTED = 'ejected'
    TRIAL_DUE = 'trial due'
    ON_TRIAL = 'on trial'


class Ejection:
    """Failures in a row of one target, as this node sees them."""

    def __init__(self, *, settings: EjectionSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._span_s = settings.base_ejection_s
        self._until_s: float | None = None
        self._on_trial = False

    def health(self, now_s: float) -> Health:
        """Return whether the target gets calls now."""
        if self._until_s is None:
            return Health.GOOD
        if self._on_trial:
            return Health.ON_TRIAL
        return Health.EJECTED if now_s < self._until_s else Health.TRIAL_DUE

    def is_usable(self, now_s: float) -> bool:
        """Tell whether the target gets calls or is due for a trial."""
        if self._until_s is None:
            return True
        return now_s >= self._until_s and not self._on_trial

    def begin_trial(self) -> None:
        """Count a call to an ejected target as its trial."""
        self._on_trial = True

    def record(self, kind: ResultKind, now_s: float) -> bool:
        """Take a result; return whether the target came back by it."""
        if kind in _FAILURES:
            self._record_failure(kind, now_s)
            return False
        if kind not in _ANSWERS:
            self._on_trial = False
            return False
        came_back = self._until_s is not None
        self._failures = 0
        self._until_s = None
        self._on_trial = False
        self._span_s = self._settings.base_ejection_s
        return came_back

    def _record_failure(self, kind: ResultKind, now_s: float) -> None:
        self._failures += 1
        bound = self._settings.failures_in_a_row
        if kind is ResultKind.UNREACHABLE:
            bound = self._settings.consecutive_unreachable
        repeated = self._on_trial
        if repeated:
            doubled_s = self._span_s * 2
            self._span_s = min(self._settings.max_ejection_s, doubled_s)
        fresh = self._until_s is None
        enough = self._failures >= bound
        if repeated or (fresh and enough):
            self._until_s = now_s + self._span_s
        self._on_trial = False
