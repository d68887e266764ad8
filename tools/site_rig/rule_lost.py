"""The rule LOST: which requests that ended badly count.

A case is a request whose connection ended without a complete answer, or that
got an answer of the node's own while its target was at work. It counts on an
occasion (planned work nearby) and without an excuse. What is excused beside a
SIGHUP or a configuration may still count at any time, as these leave a machine
in touch.
"""

from tools.site_rig.cases import Case, Excuse, Finding, Limits, Occasion
from tools.site_rig.occasions import is_near_term, occasion_of
from tools.site_rig.records import Outcome, SignalKind

_LAST_PART_OF_GRACE = 1 / 6
_SENT_EARLY_S = 3.0
_USED_MOST = 0.7
# After these a machine is out of touch for a while; not after its own ends.
_NOT_LEFT_ALONE = frozenset(
    (SignalKind.START, SignalKind.TERM, SignalKind.KILL)
)


def judge(case: Case, limits: Limits) -> Finding:
    """Return what the rule says; the strictest occasion comes first."""
    finding = _judge_on(occasion_of(case, limits), case, limits)
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


def _is_not_lost(case: Case, limits: Limits) -> bool:
    request = case.request
    if request.outcome is Outcome.ENDED:
        return False
    if request.outcome is not Outcome.ANSWERED or request.is_signed:
        return True
    is_near = is_near_term(case, limits)
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


def _was_disrupted(case: Case, limits: Limits) -> bool:
    request = case.request
    return case.is_disrupted(request.began_s - limits.stable_s, request.ended_s)


def _was_out_of_touch(case: Case, limits: Limits) -> bool:
    moments = [case.request.ended_s]
    moments.extend(run.arrived_s for run in case.passed_on)
    return not all(_is_in_touch(case, at_s, limits) for at_s in moments)


def _is_in_touch(case: Case, at_s: float, limits: Limits) -> bool:
    """Tell whether the machine was; the store alone excuses nothing."""
    from_s = at_s - limits.stable_s
    is_signalled = any(
        signal.kind in _NOT_LEFT_ALONE and from_s <= signal.at_s <= at_s
        for signal in case.signals
    )
    return not is_signalled and not case.is_out_of_touch(from_s, at_s)


def _used_most(case: Case, limits: Limits) -> bool:
    request = case.request
    used_s = request.ended_s - request.began_s
    return used_s >= _USED_MOST * request.time_left_s


def _is_not_passed_on(case: Case, limits: Limits) -> bool:
    return not case.is_passed_on


_ALL = tuple(Occasion)
_PLANNED = tuple(set(Occasion) - {Occasion.ANY_TIME})
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
    (Excuse.DISRUPTED, _was_disrupted, _PLANNED),
    (Excuse.OUT_OF_TOUCH, _was_out_of_touch, (Occasion.ANY_TIME,)),
)
