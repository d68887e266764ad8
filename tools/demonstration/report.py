"""The closing table: what the callers and the audit saw."""

import collections
import pathlib
from collections.abc import Iterable

import msgspec

from tools.standin.audit import Run
from tools.standin.results import Ending, Finished

_RECOVERED_SHARE = 0.95
_CALM_WINDOW_S = 2


class ClassResult(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one importance class."""

    offered: int
    good: int

    @property
    def percent(self) -> float:
        """Return the share of whole answers in time."""
        return 100 * self.good / self.offered if self.offered else 0


class LegResult(msgspec.Struct, frozen=True, kw_only=True):
    """One deployment in one leg of the demo.

    ``recovery_s`` counts from the end of the surge; None when the share of
    good answers stayed low until the next fault.
    """

    classes: dict[str, ClassResult]
    recovery_s: float | None
    duplicates: int
    mismatched: int
    false_refusals: int
    lost_work: int


def judge(
    finished: tuple[Finished, ...],
    runs: tuple[Run, ...],
    *,
    surge_end_s: float,
    next_fault_s: float,
) -> LegResult:
    """Return the result of one deployment in one leg."""
    run_counts = collections.Counter(run.key for run in runs)
    keyed = [one for one in finished if one.keyed]
    return LegResult(
        classes=by_class(finished),
        recovery_s=recovery_s(finished, surge_end_s, next_fault_s),
        duplicates=_count(number > 1 for number in run_counts.values()),
        mismatched=_count(one.ending is Ending.MISMATCHED for one in finished),
        false_refusals=_count(
            one.ending is Ending.NOT_RUN and run_counts[one.request_id] > 0
            for one in keyed
        ),
        lost_work=_count(
            one.good and run_counts[one.request_id] == 0 for one in keyed
        ),
    )


def by_class(finished: Iterable[Finished]) -> dict[str, ClassResult]:
    """Return the requests counted by importance class."""
    offered: collections.Counter[str] = collections.Counter()
    good: collections.Counter[str] = collections.Counter()
    for one in finished:
        name = one.label.partition('-')[0]
        offered[name] += 1
        good[name] += one.good
    return {
        name: ClassResult(offered=offered[name], good=good[name])
        for name in sorted(offered)
    }


def recovery_s(
    finished: tuple[Finished, ...], surge_end_s: float, next_fault_s: float
) -> float | None:
    """Return how long after the surge the answers were good again.

    Good means at least 95 in 100 of the requests sent in each of the seconds
    that follow for two seconds.
    """
    last = int(next_fault_s) - _CALM_WINDOW_S
    for second in range(int(surge_end_s), last + 1):
        window = [
            one
            for one in finished
            if second <= one.sent_s < second + _CALM_WINDOW_S
        ]
        good = _count(one.good for one in window)
        if window and good >= _RECOVERED_SHARE * len(window):
            return second - surge_end_s
    return None


def read_finished(path: pathlib.Path) -> tuple[Finished, ...]:
    """Return the whole lines of a callers' file."""
    if not path.exists():
        return ()
    whole = path.read_bytes().rpartition(b'\n')[0]
    return tuple(
        msgspec.json.decode(line, type=Finished) for line in whole.splitlines()
    )


def _count(marks: Iterable[bool]) -> int:
    return sum(1 for mark in marks if mark)
