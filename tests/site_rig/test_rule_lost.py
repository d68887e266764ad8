"""The rule LOST of the rig: which records count and which do not."""

import itertools

import msgspec
import pytest

from tools.site_rig.cases import Case, Excuse, Limits, Occasion
from tools.site_rig.causes import Cause, cause_of
from tools.site_rig.cut_rates import CutRates
from tools.site_rig.joining import troubles_of
from tools.site_rig.records import (
    Outcome,
    RequestRecord,
    RunEnd,
    RunRecord,
    SignalKind,
    SignalRecord,
    TroubleRecord,
)
from tools.site_rig.report import is_broken
from tools.site_rig.rule_lost import judge

LIMITS = Limits(grace_s=6, apply_s=2.5)
# The signal of a case comes at this time.
SIGNAL_S = 100.0


def request(sent_s: float, lasted_s: float, **others) -> RequestRecord:
    """Return a request whose connection ended; times are after the signal."""
    fields = {
        'attempt': 'a',
        'host': 'h',
        'began_s': SIGNAL_S + sent_s,
        'sent_s': SIGNAL_S + sent_s,
        'ended_s': SIGNAL_S + sent_s + lasted_s,
        'outcome': Outcome.ENDED,
        'time_left_s': 5.0,
    }
    return RequestRecord(**(fields | others))


def run(from_s: float, until_s: float, end: RunEnd) -> RunRecord:
    return RunRecord(
        attempt='a',
        target='t',
        arrived_s=SIGNAL_S + from_s,
        began_s=0 if end is RunEnd.REJECTED else SIGNAL_S + from_s,
        ended_s=SIGNAL_S + until_s,
        end=end,
    )


def calm(seen: RequestRecord, *runs: RunRecord) -> Case:
    """Return a case without planned work nearby."""
    return Case(request=seen, runs=runs)


def case(
    seen: RequestRecord, *runs: RunRecord, kind: SignalKind = SignalKind.TERM
) -> Case:
    host = '' if kind is SignalKind.CONFIGURATION else 'h'
    signal = SignalRecord(host=host, kind=kind, at_s=SIGNAL_S)
    return Case(request=seen, runs=runs, signals=(signal,))


def own_answer(status: int, **others) -> RequestRecord:
    return request(1, 1, outcome=Outcome.ANSWERED, status=status, **others)


HUP = SignalKind.HUP
CONFIGURATION = SignalKind.CONFIGURATION
CUT = run(1.01, 2, RunEnd.CUT)
REJECTED = run(1.01, 1.02, RunEnd.REJECTED)
ANSWERED = run(1.01, 1.5, RunEnd.ANSWERED)
SILENT = run(1.01, 1.5, RunEnd.SILENT)
BROKE_OFF = run(1.1, 1.3, RunEnd.BROKE_OFF)
OTHER_CUT = run(1.4, 2, RunEnd.CUT)

LOST = {
    'cut while its target works': case(request(1, 1), CUT),
    'cut at once after it was passed on': case(
        request(1, 0.02), run(1.01, 1.02, RunEnd.CUT)
    ),
    'cut after its target has answered': case(request(1, 1), ANSWERED),
    'sent before the signal': case(request(-0.5, 1), run(-0.4, 1, RunEnd.CUT)),
    'not passed on and ended late': case(request(4.8, 0.21)),
    'rejected by its target and ended late': case(request(1, 0.3), REJECTED),
    'ended a second after the grace period': case(request(5, 1.9)),
    'behind another and passed on': case(request(1, 1, is_behind=True), CUT),
    'at work until the end, sent late': case(
        request(3.1, 2.5), run(3.2, 5.6, RunEnd.CUT)
    ),
    'at work and cut before the last part of the grace period': case(
        request(1, 3.9), run(1.1, 4.9, RunEnd.CUT)
    ),
    '504 of the node while its target works': case(own_answer(504), CUT),
    '502 of the node while its target works': case(
        own_answer(502), run(1.01, 2.5, RunEnd.ANSWERED)
    ),
    'cut after SIGHUP': case(request(2.4, 1), CUT, kind=HUP),
    'sent before SIGHUP, cut after it': case(request(-1, 2), CUT, kind=HUP),
    'cut beside a configuration': case(request(2, 1), CUT, kind=CONFIGURATION),
    'behind another, rejected by its target': case(
        request(1, 1, is_behind=True), REJECTED
    ),
    'rejected by its target and ended at once': case(request(1, 0.1), REJECTED),
    'a target broke off, the next one is at work': case(
        request(1, 1), BROKE_OFF, OTHER_CUT
    ),
    'its target is silent': case(request(1, 1), SILENT),
    'its target is silent until the last part of the grace period': case(
        request(1, 4.5), SILENT
    ),
    'its work was cut before the last part of the grace period': case(
        request(1, 4.5), CUT
    ),
    'sent too late for the last part of the grace period': case(
        request(3.01, 2.3), run(3.1, 5.3, RunEnd.CUT)
    ),
    'just before the last part of the grace period': case(
        request(3, 1.99), run(3.1, 4.99, RunEnd.CUT)
    ),
    '504 of the node some time after it broke off work': case(
        request(1, 2, outcome=Outcome.ANSWERED, status=504), CUT
    ),
    'just before its deadline': case(request(1, 1, time_left_s=1.01), CUT),
    'after seven tenths of its time beside a stop': case(
        request(1, 0.9, time_left_s=1), CUT
    ),
    'after seven tenths of its time beside SIGHUP': case(
        request(1, 0.9, time_left_s=1), CUT, kind=HUP
    ),
    'beside trouble of a target or of clients': Case(
        request=request(1, 1),
        runs=(CUT,),
        signals=(
            SignalRecord(host='h', kind=SignalKind.TERM, at_s=SIGNAL_S),
            SignalRecord(host='h', kind=SignalKind.TROUBLE, at_s=SIGNAL_S),
        ),
    ),
    'at any time, its target is at work': calm(request(1, 0.1), CUT),
    'at any time, its target has answered': calm(request(1, 1), ANSWERED),
    'at any time, its target is silent': calm(request(1, 1), SILENT),
    'at any time, at its deadline': calm(request(1, 1, time_left_s=1), CUT),
    'at any time, behind another and passed on': calm(
        request(1, 1, is_behind=True), CUT
    ),
    'at any time, after a target broke off': calm(
        request(1, 1), BROKE_OFF, OTHER_CUT
    ),
    'at work until long after the grace period': case(
        request(2.9, 6), run(3.2, 9, RunEnd.CUT)
    ),
    'its node was started and then stopped': Case(
        request=request(1, 1),
        runs=(CUT,),
        signals=(
            SignalRecord(host='h', kind=SignalKind.START, at_s=SIGNAL_S - 1),
            SignalRecord(host='h', kind=SignalKind.TERM, at_s=SIGNAL_S),
        ),
    ),
    'six tenths of its time used beside a configuration, not passed on': case(
        request(1, 0.69, time_left_s=1), kind=CONFIGURATION
    ),
    'its node used too much memory': case(
        request(1, 1), CUT, kind=SignalKind.OVER_MEMORY
    ),
    'most of its time used beside a configuration': case(
        request(1, 0.7, time_left_s=1), CUT, kind=CONFIGURATION
    ),
    'its deadline was reached beside SIGHUP': case(
        request(1, 1, time_left_s=1), CUT, kind=HUP
    ),
}

# Excused beside a configuration or SIGHUP; a machine in touch may do it
# three times.
AT_ANY_TIME = (
    'most of its time used beside a configuration',
    'its deadline was reached beside SIGHUP',
)

EXCUSED = {
    'ended at once, not passed on': (
        case(request(4.75, 0.1875)),
        Excuse.CROSSED,
    ),
    'behind another, not passed on': (
        case(request(1, 1, is_behind=True)),
        Excuse.BEHIND,
    ),
    'its deadline was reached': (
        case(request(1, 1, time_left_s=1), CUT),
        Excuse.TIME,
    ),
    'its last byte may have left before': (
        case(request(1, 0.99, began_s=SIGNAL_S + 0.9, time_left_s=1), CUT),
        Excuse.TIME,
    ),
    '504 of the node at the deadline': (
        case(own_answer(504, time_left_s=1), CUT),
        Excuse.TIME,
    ),
    'its target broke off': (
        case(request(1, 1), run(1.1, 2, RunEnd.BROKE_OFF)),
        Excuse.TARGET,
    ),
    'at work in the last part of the grace period': (
        case(request(2.9, 2.3), run(3, 5.2, RunEnd.CUT)),
        Excuse.LATE_WORK,
    ),
    'answered by its target': (
        case(own_answer(500, is_signed=True), ANSWERED),
        Excuse.NOT_LOST,
    ),
    '504 of the node after its target has answered': (
        case(own_answer(504), ANSWERED),
        Excuse.NOT_LOST,
    ),
    '503 of the node, not passed on': (
        case(own_answer(503)),
        Excuse.NOT_LOST,
    ),
    'left by its caller': (
        case(request(1, 1, outcome=Outcome.GAVE_UP), CUT),
        Excuse.NOT_LOST,
    ),
    'without a connection': (
        case(request(1, 1, outcome=Outcome.REFUSED)),
        Excuse.NOT_LOST,
    ),
    '504 of the node beside a configuration': (
        case(own_answer(504), CUT, kind=CONFIGURATION),
        Excuse.NOT_LOST,
    ),
    'most of its time used beside a configuration, not passed on': (
        case(request(1, 0.7, time_left_s=1), kind=CONFIGURATION),
        Excuse.USED_MOST,
    ),
    'the target that was asked last broke off': (
        case(
            request(1, 1),
            run(1.01, 1.05, RunEnd.CUT),
            BROKE_OFF,
        ),
        Excuse.TARGET,
    ),
    '504 of the node, its target is silent': (
        case(own_answer(504), SILENT),
        Excuse.NOT_LOST,
    ),
    '502 of the node, its target broke off': (
        case(own_answer(502), BROKE_OFF),
        Excuse.NOT_LOST,
    ),
    'long after a stop, passed on soon after it': (
        case(request(1, 7), run(1.1, 8, RunEnd.CUT)),
        Excuse.OUT_OF_TOUCH,
    ),
    'at any time, its target broke off': (
        calm(request(1, 1), BROKE_OFF),
        Excuse.TARGET,
    ),
    'at any time, not passed on': (calm(request(1, 3)), Excuse.CROSSED),
    'at any time, an answer of the node while its target works': (
        calm(own_answer(504), CUT),
        Excuse.NOT_LOST,
    ),
    'not passed on, long after the grace period': (
        case(request(8, 1)),
        Excuse.CROSSED,
    ),
}


class TestJudge:
    """What the rule says of one request."""

    # Guards against a check that does not see a lost request.
    @pytest.mark.parametrize('name', LOST)
    def test_lost(self, name):
        assert judge(LOST[name], LIMITS).excuse is Excuse.NONE

    # Guards against a check that blames what the rule excuses.
    @pytest.mark.parametrize('name', EXCUSED)
    def test_excused(self, name):
        excused, excuse = EXCUSED[name]
        assert judge(excused, LIMITS).excuse is excuse

    # Guards against work that is called planned though it is long over.
    @pytest.mark.parametrize(
        ('seen', 'kind', 'occasion'),
        [
            (request(1, 6.01), SignalKind.TERM, Occasion.ANY_TIME),
            (request(1, 6), SignalKind.TERM, Occasion.TERM),
            (request(-2, 1), SignalKind.TERM, Occasion.ANY_TIME),
            (request(2.6, 1), HUP, Occasion.ANY_TIME),
            (request(2.5, 9), HUP, Occasion.HUP),
            (request(-2, 1), HUP, Occasion.ANY_TIME),
            (request(3, 0.5), CONFIGURATION, Occasion.CONFIGURATION),
            (request(3, 0.6), CONFIGURATION, Occasion.ANY_TIME),
        ],
    )
    def test_occasion(self, seen, kind, occasion):
        assert judge(case(seen, kind=kind), LIMITS).occasion is occasion

    # Guards against an excuse of planned work that also holds at any time.
    @pytest.mark.parametrize('name', AT_ANY_TIME)
    def test_counts_at_any_time(self, name):
        assert judge(LOST[name], LIMITS).occasion is Occasion.ANY_TIME

    # Guards against a loss at any time that is not seen: it was passed on.
    def test_passed_on_at_any_time(self):
        found = judge(Case(request=request(1, 0.1), runs=(CUT,)), LIMITS)

        assert found.occasion is Occasion.ANY_TIME
        assert found.counts


def trouble(from_s: float, until_s: float, **others) -> TroubleRecord:
    fields = {'host': 'h', 'kind': 'node_freeze'}
    return TroubleRecord(
        from_s=SIGNAL_S + from_s,
        until_s=SIGNAL_S + until_s,
        **(fields | others),
    )


def with_troubles(seen: Case, *troubles: TroubleRecord) -> Case:
    concerned = troubles_of(seen, troubles)
    return msgspec.structs.replace(seen, troubles=concerned)


# Sent at 1 s and cut at 2 s; the window begins 3 s before.
PLANNED = {
    'SIGTERM': case(request(1, 1), CUT),
    'SIGHUP': case(request(1, 1), CUT, kind=HUP),
    'configuration': case(request(1, 1), CUT, kind=CONFIGURATION),
}
AWAY = Case(request=request(50, 1), runs=(run(50.01, 51, RunEnd.CUT),))
# Passed on late, and still at work when it was cut.
LONG_AWAY = Case(
    request=request(50, 9, time_left_s=20), runs=(run(50.01, 59, RunEnd.CUT),)
)


class TestDisruptions:
    """Unplanned disruptions excuse what the rule says, and no more."""

    # Guards against blaming a node for what was done to its machine.
    @pytest.mark.parametrize('name', PLANNED)
    @pytest.mark.parametrize(
        'seen',
        [
            trouble(1.5, 1.6),
            trouble(-5, -1.99),
            trouble(2, 9),
            trouble(1.5, 1.6, host='t'),
            trouble(1.5, 1.6, host='t', is_of_target=True),
        ],
    )
    def test_beside_planned_work(self, name, seen):
        disrupted = with_troubles(PLANNED[name], seen)

        assert judge(disrupted, LIMITS).excuse is Excuse.DISRUPTED

    # Guards against a window that is shorter than the rule's, and against an
    # excuse for a machine that was in touch when it passed the request on.
    @pytest.mark.parametrize(
        ('name', 'occasion', 'excuse'),
        [
            ('SIGTERM', Occasion.TERM, Excuse.DISRUPTED),
            ('SIGHUP', Occasion.ANY_TIME, Excuse.NONE),
            ('configuration', Occasion.ANY_TIME, Excuse.NONE),
        ],
    )
    def test_just_before(self, name, occasion, excuse):
        disrupted = with_troubles(PLANNED[name], trouble(-5, -2))
        found = judge(disrupted, LIMITS)

        assert (found.occasion, found.excuse) == (occasion, excuse)

    # Guards against blaming a node beside planned work for a cut that leaves
    # its machine in touch, and against excusing what counts at any time.
    @pytest.mark.parametrize(
        ('name', 'occasion', 'excuse'),
        [
            ('SIGTERM', Occasion.TERM, Excuse.DISRUPTED),
            ('SIGHUP', Occasion.ANY_TIME, Excuse.NONE),
            ('configuration', Occasion.ANY_TIME, Excuse.NONE),
        ],
    )
    def test_left_in_touch(self, name, occasion, excuse):
        seen = trouble(1.5, 1.6, is_in_touch=True)
        found = judge(with_troubles(PLANNED[name], seen), LIMITS)

        assert (found.occasion, found.excuse) == (occasion, excuse)

    # Guards against one that is in touch hiding one that is not.
    def test_both_kinds(self):
        seen = trouble(50.4, 50.6, is_in_touch=True)

        found = judge(with_troubles(AWAY, seen, trouble(50.4, 50.6)), LIMITS)

        assert not found.counts

    # Guards against an excuse that is broader than the words of the rule.
    @pytest.mark.parametrize('name', PLANNED)
    @pytest.mark.parametrize(
        'seen',
        [
            trouble(-5, -2.01),
            trouble(2.01, 9),
            trouble(1.5, 1.6, host='other'),
            trouble(1.5, 1.6, is_of_target=True),
        ],
    )
    def test_not_beside_planned_work(self, name, seen):
        assert judge(with_troubles(PLANNED[name], seen), LIMITS).counts

    # Guards against excusing a request by a target that rejected it.
    def test_target_that_rejected(self):
        seen = case(request(1, 0.3), REJECTED)

        found = judge(with_troubles(seen, trouble(1.1, 1.2, host='t')), LIMITS)

        assert found.counts

    # Guards against judging machines that are not in touch.
    @pytest.mark.parametrize(
        ('seen', 'disruption', 'counts'),
        [
            (AWAY, trouble(50.5, 50.6), False),
            (AWAY, trouble(40, 47.02), False),
            (AWAY, trouble(40, 47.005), True),
            (AWAY, trouble(51.01, 60), True),
            (AWAY, trouble(50.5, 50.6, host='other'), True),
            (AWAY, trouble(50.5, 50.6, is_of_target=True), True),
            (AWAY, trouble(50.5, 50.6, host='t', is_of_target=True), False),
            (AWAY, trouble(50.5, 50.6, is_in_touch=True), True),
            (LONG_AWAY, trouble(47, 47.1), False),
            (LONG_AWAY, trouble(58, 58.1), False),
            # In touch when it passes on and when it closes.
            (LONG_AWAY, trouble(52, 53), True),
        ],
    )
    def test_at_any_time(self, seen, disruption, counts):
        found = judge(with_troubles(seen, disruption), LIMITS)

        assert found.occasion is Occasion.ANY_TIME
        assert found.counts is counts
        assert counts or found.excuse is Excuse.OUT_OF_TOUCH

    # Guards against judging a node just started, but not by itself.
    @pytest.mark.parametrize(
        ('kind', 'at_s', 'counts'),
        [
            (SignalKind.START, 48.01, False),
            (SignalKind.START, 47, True),
            (SignalKind.TERM, 43.5, True),
            (SignalKind.KILL, 48.01, False),
            (SignalKind.KILL, 51, False),
            (SignalKind.KILL, 47, True),
            (SignalKind.OVER_MEMORY, 51, True),
            (SignalKind.TROUBLE, 50.5, True),
            (SignalKind.REVIVAL, 48.01, True),
        ],
    )
    def test_starts(self, kind, at_s, counts):
        start = SignalRecord(host='h', kind=kind, at_s=SIGNAL_S + at_s)
        seen = msgspec.structs.replace(AWAY, signals=(start,))

        assert judge(seen, LIMITS).counts is counts


def killed(host: str, at_s: float) -> SignalRecord:
    return SignalRecord(
        host=host, kind=SignalKind.OVER_MEMORY, at_s=SIGNAL_S + at_s
    )


class TestBroken:
    """How many lost requests break the rule."""

    # Guards against allowing a loss beside planned work, or a fourth one.
    @pytest.mark.parametrize(
        ('at_any_time', 'planned', 'broken'),
        [(0, 0, False), (3, 0, False), (4, 0, True), (0, 1, True)],
    )
    def test_number(self, at_any_time, planned, broken):
        away = judge(calm(request(1, 1), CUT), LIMITS)
        beside = judge(case(request(1, 1), CUT), LIMITS)

        lost = (
            *itertools.repeat(away, at_any_time),
            *itertools.repeat(beside, planned),
        )
        assert is_broken(lost) is broken


class TestCauses:
    """What ended a lost request; the case ends at 2 s."""

    # Guards against a report that blames memory for other losses.
    @pytest.mark.parametrize(
        ('signals', 'cause'),
        [
            ((killed('h', 2.1),), Cause.OWN_NODE),
            ((killed('t', 1.9),), Cause.TARGETS_NODE),
            ((killed('t', 2), killed('h', 2)), Cause.OWN_NODE),
            ((killed('other', 2),), Cause.OTHER),
            ((killed('h', 2.5), killed('t', 1.5)), Cause.OTHER),
            ((), Cause.OTHER),
        ],
    )
    def test_cause(self, signals, cause):
        assert cause_of(case(request(1, 1), CUT), signals) is cause


class TestCutRates:
    """Cuts beside configurations against those at other times."""

    # Guards against blaming a configuration for what happens at all times,
    # and against an excuse for what counts at any time.
    @pytest.mark.parametrize(
        ('cut_at_other_times', 'passed_on', 'excuse', 'occasion'),
        [
            (0, (), Excuse.NONE, Occasion.CONFIGURATION),
            (3, (), Excuse.NONE, Occasion.CONFIGURATION),
            (4, (), Excuse.NOT_RAISED, Occasion.CONFIGURATION),
            (3, (CUT,), Excuse.NONE, Occasion.CONFIGURATION),
            (4, (CUT,), Excuse.NONE, Occasion.ANY_TIME),
        ],
    )
    def test_three_times_as_often(
        self, cut_at_other_times, passed_on, excuse, occasion
    ):
        beside = case(request(2, 1), *passed_on, kind=CONFIGURATION)
        finding = judge(beside, LIMITS)
        rates = CutRates(limits=LIMITS)
        rates.count(beside)
        for number in range(10):
            is_cut = number < cut_at_other_times
            outcome = Outcome.ENDED if is_cut else Outcome.ANSWERED
            away = request(50, 1, outcome=outcome)
            rates.count(case(away, kind=CONFIGURATION))

        found = rates.excused([finding])[0]
        assert (found.excuse, found.occasion) == (excuse, occasion)
