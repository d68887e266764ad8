"""Tests the evaluation of a demonstration: broken promises and recovery."""

import pytest

from tools.demonstration.report import judge, recovery_s
from tools.standin.audit import Run
from tools.standin.results import Ending, Finished


def _finished(
    request_id: str, ending: Ending = Ending.GOOD, *, sent_s: float = 0
) -> Finished:
    return Finished(
        label='critical-payments',
        request_id=request_id,
        sent_s=sent_s,
        latency_ms=1,
        attempts=1,
        ending=ending,
        keyed=True,
    )


def _run(key: str) -> Run:
    return Run(key=key, target='t', path='/')


class TestJudge:
    """Counts of broken promises, and the recovery time."""

    def test_each_broken_promise_is_counted(self) -> None:
        finished = (
            _finished('twice'),
            _finished('false', Ending.NOT_RUN),
            _finished('true', Ending.NOT_RUN),
            _finished('lost'),
            _finished('wrong', Ending.MISMATCHED),
        )
        runs = [_run(key) for key in ('twice', 'twice', 'false', 'wrong')]
        result = judge(finished, tuple(runs), surge_end_s=0, next_fault_s=1)
        assert result.duplicates == 1
        assert result.false_refusals == 1
        assert result.lost_work == 1
        assert result.mismatched == 1
        assert result.classes['critical'].good == 2

    @pytest.mark.parametrize(
        ('bad_until_s', 'recovered_s'), [(10, 0), (12, 2), (19, None)]
    )
    def test_recovery_lasts_until_requests_succeed(
        self, bad_until_s: int, recovered_s: float | None
    ) -> None:
        finished = [
            _finished(
                str(second),
                Ending.GOOD if second >= bad_until_s else Ending.UNKNOWN,
                sent_s=second,
            )
            for second in range(20)
        ]
        assert recovery_s(tuple(finished), 10, 20) == recovered_s
