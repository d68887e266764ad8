"""Which requests without an answer the soak counts as lost."""

import math

import msgspec
import pytest

from tools.soak.lost_requests import (
    Ended,
    Ending,
    LostRequests,
    RunEnding,
    Verdict,
)
from tools.soak.planned_work import PlannedWork

_GRACE_S = 6
_SENT_S = 100.0
_REQUEST = Ended(
    attempt='a1',
    node='n1',
    sent_s=_SENT_S,
    ended_s=_SENT_S + 0.5,
    ending=Ending.UNANSWERED,
    limit_s=1.2,
)


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """A request, counted from when it was sent, and what it counts as.

    ``work`` names methods of the planned work and their moments.
    """

    verdict: Verdict
    work: tuple[tuple[str, float], ...] = ()
    request: dict = {}
    run: tuple[RunEnding, float] | None = (RunEnding.CUT, 0.5)
    disrupted: tuple[float, float] | None = None
    store_only: bool = False


_STOP = (('stopped', -1.0),)

CASES = {
    'passed on, the node is stopped': Case(verdict=Verdict.LOST, work=_STOP),
    'the answer is broken off at a stop': Case(
        verdict=Verdict.LOST,
        work=_STOP,
        request={'ending': Ending.BROKEN_OFF},
        run=(RunEnding.ANSWERED, 0.4),
    ),
    'passed on, closed at once at a stop': Case(
        verdict=Verdict.LOST,
        work=_STOP,
        request={'ended_s': _SENT_S + 0.1},
        run=(RunEnding.CUT, 0.1),
    ),
    'lay there for long at a stop, not passed on': Case(
        verdict=Verdict.LOST,
        work=_STOP,
        request={'ended_s': _SENT_S + 0.21},
        run=None,
    ),
    'crossed the close': Case(
        verdict=Verdict.CROSSED,
        work=_STOP,
        request={'ended_s': _SENT_S + 0.19},
        run=None,
    ),
    'behind another on its connection, not passed on': Case(
        verdict=Verdict.BEHIND,
        work=_STOP,
        request={'is_behind': True},
        run=None,
    ),
    'behind another on its connection, passed on': Case(
        verdict=Verdict.LOST, work=_STOP, request={'is_behind': True}
    ),
    'its target broke off': Case(
        verdict=Verdict.TARGET, work=_STOP, run=(RunEnding.BROKE_OFF, 0.4)
    ),
    'its time was up': Case(
        verdict=Verdict.LIMIT,
        work=_STOP,
        request={'ended_s': _SENT_S + 1.2},
    ),
    'its target worked on in the last sixth of the grace': Case(
        verdict=Verdict.GRACE_OVER,
        work=(('stopped', -2.9),),
        request={'ended_s': _SENT_S + 2.2, 'limit_s': 9},
        run=(RunEnding.CUT, 2.2),
    ),
    'its target worked until shortly before the last sixth': Case(
        verdict=Verdict.LOST,
        work=(('stopped', -2.9),),
        request={'ended_s': _SENT_S + 2.0, 'limit_s': 9},
        run=(RunEnding.CUT, 2.0),
    ),
    'closed early, its target worked on into the last sixth': Case(
        verdict=Verdict.LOST, work=_STOP, run=(RunEnding.CUT, 4.5)
    ),
    'sent late in the stop, its target worked on in the last sixth': Case(
        verdict=Verdict.LOST,
        work=(('stopped', -3.1),),
        request={'ended_s': _SENT_S + 2.2, 'limit_s': 9},
        run=(RunEnding.CUT, 2.2),
    ),
    'own answer at a stop while its target worked': Case(
        verdict=Verdict.LOST,
        work=_STOP,
        request={'ending': Ending.OWN},
        run=(RunEnding.AT_WORK, math.inf),
    ),
    'own answer at a stop, its target had answered': Case(
        verdict=Verdict.OWN_ANSWER,
        work=_STOP,
        request={'ending': Ending.OWN},
        run=(RunEnding.ANSWERED, 0.4),
    ),
    'own answer while its target worked, no stop': Case(
        verdict=Verdict.OWN_ANSWER,
        request={'ending': Ending.OWN},
    ),
    'a second after the grace': Case(
        verdict=Verdict.LOST, work=(('stopped', -6.4),)
    ),
    'later than a second after the grace': Case(
        verdict=Verdict.CALM, work=(('stopped', -6.6),)
    ),
    'another node is stopped': Case(
        verdict=Verdict.CALM, work=_STOP, request={'node': 'n2'}
    ),
    'cut after a reload': Case(
        verdict=Verdict.LOST, work=(('reloaded', -2.4),)
    ),
    'cut after a reload that came after it': Case(
        verdict=Verdict.LOST, work=(('reloaded', 0.4),)
    ),
    'sent long after a reload': Case(
        verdict=Verdict.CALM, work=(('reloaded', -2.6),)
    ),
    'cut before a reload': Case(
        verdict=Verdict.CALM, work=(('reloaded', 0.6),)
    ),
    'beside a configuration': Case(
        verdict=Verdict.BESIDE_CONFIGURATION, work=(('configured', -1.0),)
    ),
    'beside a configuration, most of its time used': Case(
        verdict=Verdict.LIMIT,
        work=(('configured', -1.0),),
        request={'ended_s': _SENT_S + 0.85},
    ),
    'in calm, passed on': Case(verdict=Verdict.CALM),
    'in calm, not passed on': Case(verdict=Verdict.CROSSED, run=None),
    'soon after the start of its node': Case(
        verdict=Verdict.NOT_CALM, work=(('started', -2.0),)
    ),
    'a disruption has ended shortly before': Case(
        verdict=Verdict.DISRUPTED, work=_STOP, disrupted=(-9.0, -2.9)
    ),
    'a disruption has ended long before': Case(
        verdict=Verdict.LOST, work=_STOP, disrupted=(-9.0, -3.1)
    ),
    'a disruption begins after its end': Case(
        verdict=Verdict.LOST, work=_STOP, disrupted=(0.6, math.inf)
    ),
    'the store alone is disrupted at a stop': Case(
        verdict=Verdict.LOST,
        work=_STOP,
        disrupted=(-1.0, math.inf),
        store_only=True,
    ),
    'the store alone is disrupted in calm': Case(
        verdict=Verdict.NOT_CALM, disrupted=(-1.0, math.inf), store_only=True
    ),
}


@pytest.fixture
def work():
    return PlannedWork(grace_s=_GRACE_S)


@pytest.fixture
def lost(work):
    return LostRequests(work=work)


def _play(case, work, lost):
    for name, offset_s in case.work:
        node = () if name == 'configured' else ('n1',)
        getattr(work, name)(*node, _SENT_S + offset_s)
    if case.disrupted is not None:
        since_s, until_s = case.disrupted
        disruption = work.disrupt(_SENT_S + since_s, store_only=case.store_only)
        disruption.until_s = _SENT_S + until_s
    if case.run is not None:
        ending, ended_s = case.run
        run = lost.began('a1', _SENT_S)
        run.end(ending, _SENT_S + ended_s)
    lost.ended(msgspec.structs.replace(_REQUEST, **case.request))


class TestVerdict:
    """What one request without an answer counts as."""

    @pytest.mark.parametrize('name', CASES)
    def test_a_request_counts_by_what_went_on_around_it(self, work, lost, name):
        # The soak dropped all of them without a trace.
        case = CASES[name]
        _play(case, work, lost)
        assert list(lost.verdicts()) == [case.verdict]
        is_lost = case.verdict in {Verdict.LOST, Verdict.BESIDE_CONFIGURATION}
        assert bool(lost.breaches()) == is_lost

    def test_a_standstill_of_the_soak_does_not_count_as_waiting(
        self, work, lost
    ):
        # On a busy host the soak sees a close later than it came.
        case = Case(verdict=Verdict.CROSSED, work=_STOP, run=None)
        work.stood_still(_SENT_S, _SENT_S + 0.4)
        _play(case, work, lost)
        assert not lost.breaches()

    def test_an_answer_is_no_loss(self, work, lost):
        request = {'ending': Ending.ANSWERED}
        case = Case(verdict=Verdict.LOST, work=_STOP, request=request)
        _play(case, work, lost)
        assert not lost.verdicts()


class TestTallies:
    """Endings that count from a certain number or share on."""

    @pytest.mark.parametrize(('cut', 'breaches'), [(3, 0), (4, 4)])
    def test_more_than_three_in_calm_are_a_breach(self, lost, cut, breaches):
        # One by one they look like chance.
        for index in range(cut):
            attempt = f'a{index}'
            run = lost.began(attempt, _SENT_S)
            run.end(RunEnding.CUT, _SENT_S + 0.5)
            lost.ended(msgspec.structs.replace(_REQUEST, attempt=attempt))
        assert len(lost.breaches()) == breaches

    @pytest.mark.parametrize(('beside', 'breaches'), [(3, 0), (4, 4)])
    def test_configurations_may_not_triple_the_share(
        self, work, lost, beside, breaches
    ):
        # Of 100 requests in calm one is cut, of 100 beside a configuration
        # three may be.
        work.configured(_SENT_S)
        for since_s, cut in ((_SENT_S, beside), (_SENT_S + 60, 1)):
            for index in range(100):
                attempt = f'{since_s} {index}'
                run = lost.began(attempt, since_s)
                run.end(RunEnding.CUT, since_s + 0.5)
                lost.ended(
                    msgspec.structs.replace(
                        _REQUEST,
                        attempt=attempt,
                        sent_s=since_s,
                        ended_s=since_s + 0.5,
                        ending=(
                            Ending.UNANSWERED
                            if index < cut
                            else Ending.ANSWERED
                        ),
                    )
                )
        assert len(lost.breaches()) == breaches
