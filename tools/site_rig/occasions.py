"""What was near when a request ended: planned work, or nothing."""

from tools.site_rig.cases import Case, Limits, Occasion
from tools.site_rig.records import SignalKind

_AFTER_GRACE_S = 1.0
_AFTER_CONFIGURATION_S = 1.0


def is_near_term(case: Case, limits: Limits) -> bool:
    """Tell whether a request ended beside a stop of its node."""
    last_s = limits.grace_s + _AFTER_GRACE_S
    return any(
        0 <= case.request.ended_s - at_s <= last_s
        for at_s in case.times(SignalKind.TERM)
    )


def _is_near_hup(case: Case, limits: Limits) -> bool:
    request = case.request
    return any(
        at_s <= request.ended_s and request.sent_s <= at_s + limits.apply_s
        for at_s in case.times(SignalKind.HUP)
    )


def is_near_configuration(case: Case, limits: Limits) -> bool:
    """Tell whether a request ended beside a configuration."""
    last_s = limits.apply_s + _AFTER_CONFIGURATION_S
    return any(
        0 <= case.request.ended_s - at_s <= last_s
        for at_s in case.times(SignalKind.CONFIGURATION)
    )


_OCCASIONS = (
    (Occasion.TERM, is_near_term),
    (Occasion.HUP, _is_near_hup),
    (Occasion.CONFIGURATION, is_near_configuration),
)


def occasion_of(case: Case, limits: Limits) -> Occasion:
    """Return the occasion of a request; the strictest comes first."""
    near = (name for name, check in _OCCASIONS if check(case, limits))
    return next(near, Occasion.ANY_TIME)
