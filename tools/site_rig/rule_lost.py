"""The rule LOST: which requests that ended badly count.

A case is a request whose connection ended without a complete answer, or that
got an answer of the node's own while its target was at work. It counts on an
occasion (planned work nearby) and without an excuse. What is excused beside a
SIGHUP or a configuration may still count at any time, as these leave a machine
in touch.
"""

from tools.site_rig.cases import Case, Excuse, Finding, Limits, Occasion
from tools.site_rig.records import Outcome, SignalKind

_AFTER_GRACE_S = 1.0
_AFTER_CONFIGURATION_S = 1.0
_LAST_PART_OF_GRACE = 1 / 6
_SENT_EARLY_S = 3.0
_USED_MOST = 0.7


def judge(case: Case, limits: Limits) -> Finding:
    """Return what the rule says; the strictest occasion comes first."""
    finding = _judge_on(_occasion(case, limits), case, limits)
    if finding.counts or finding.occasion not in _IN_TOUCH:
        return finding
    return judge_at_any_time(finding, limits)


def judge_at_any_time(finding: Finding, limits: Limits) -> Finding:
    """Return a finding that counts at any time, or the one that is given."""
    found = _judge_on(Occasion.ANY_TIME, finding.case, limits)
    return found if found.counts else finding


def _judge_on(occasion: Occasion, case: Case, limits: Limits) -> Finding:
    excuses = (
        excuse
        for excuse, check, occasions in _EXCUSES
        if occasion in occasions and check(case, limits)
    )
    return Finding(
        case=case, occasion=occasion, excuse=next(excuses, Excuse.NONE)
    )


def _occasion(case: Case, limits: Limits) -> Occasion:
    near = (name for name, check in _OCCASIONS if check(case, limits))
    return next(near, Occasion.ANY_TIME)


def _is_near_term(case: Case, limits: Limits) -> bool:
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


def _is_not_lost(case: Case, limits: Limits) -> bool:
    request = case.request
    if request.outcome is Outcome.ENDED:
        return False
    if request.outcome is not Outcome.ANSWERED or request.is_signed:
        return True
    is_near = _is_near_term(case, limits)
    return not (is_near and case.is_at_work(request.ended_s))


def _target_broke_off(case: Case, limits: Limits) -> bool:
    return case.has_target_broken_off


def _used_its_time(case: Case, limits: Limits) -> bool:
    request = case.request
    return request.ended_s - request.began_s >= request.time_left_s


def _is_behind(case: Case, limits: Limits) -> bool:
    return case.request.is_behind and not case.is_passed_on


def _crossed_a_close(case: Case, limits: Limits) -> bool:
    is_soon = case.request.lasted_s <= limits.loss_slack_s
    return is_soon and not case.is_passed_on


def _was_late_work(case: Case, limits: Limits) -> bool:
    last_part_s = limits.grace_s * (1 - _LAST_PART_OF_GRACE)
    return any(
        case.request.sent_s <= at_s + _SENT_EARLY_S
        and case.request.ended_s >= at_s + last_part_s
        and case.works_until(at_s + last_part_s)
        for at_s in case.times(SignalKind.TERM)
    )


def _used_most(case: Case, limits: Limits) -> bool:
    request = case.request
    used_s = request.ended_s - request.began_s
    return used_s >= _USED_MOST * request.time_left_s


def _is_not_passed_on(case: Case, limits: Limits) -> bool:
    return not case.is_passed_on


_OCCASIONS = (
    (Occasion.TERM, _is_near_term),
    (Occasion.HUP, _is_near_hup),
    (Occasion.CONFIGURATION, is_near_configuration),
)
_ALL = tuple(Occasion)
_PLANNED = (Occasion.TERM, Occasion.HUP, Occasion.CONFIGURATION)
_IN_TOUCH = (Occasion.HUP, Occasion.CONFIGURATION)
_EXCUSES = (
    (Excuse.NOT_LOST, _is_not_lost, _ALL),
    (Excuse.TARGET, _target_broke_off, _ALL),
    (Excuse.TIME, _used_its_time, _PLANNED),
    (Excuse.BEHIND, _is_behind, _ALL),
    (Excuse.CROSSED, _crossed_a_close, _ALL),
    (Excuse.LATE_WORK, _was_late_work, (Occasion.TERM,)),
    (Excuse.USED_MOST, _used_most, (Occasion.CONFIGURATION,)),
    (Excuse.CROSSED, _is_not_passed_on, (Occasion.ANY_TIME,)),
)
