"""Judges the requests of a soak that ended without a complete answer.

Stricter than the users' rule in one point: a request counts as read by its
node once it has lain there for longer than ``_CROSSING_S``.
"""

import collections
import enum
import math
from collections.abc import Callable

import msgspec

from tools.soak.planned_work import STABLE_S, PlannedWork

# A request that isn't passed on may cross a close for this long.
_CROSSING_S = 0.2
# Requests that are sent later than this after a SIGTERM have to be finished.
_LATE_IN_STOP_S = 3.0
_LAST_PART_OF_GRACE = 1 / 6
# The limit of a request is reached this much earlier at its node.
_LIMIT_MARGIN_S = 0.05
_MAX_CALM_CUTS = 3
_USED_PART_OF_LIMIT = 0.7
_CONFIGURATION_FACTOR = 3.0


class Ending(enum.Enum):
    """How a request ended for its caller; ``OWN`` is a 5xx of the node."""

    ANSWERED = 'answered'
    OWN = 'own answer'
    UNANSWERED = 'no answer'
    BROKEN_OFF = 'answer broken off'


class RunEnding(enum.Enum):
    """How a run ended at its target."""

    AT_WORK = 'at work'
    ANSWERED = 'answered'
    BROKE_OFF = 'broke off'
    CUT = 'cut'


class Verdict(enum.Enum):
    """What a request without an answer counts as."""

    LOST = 'lost around planned work'
    BESIDE_CONFIGURATION = 'ended beside a configuration'
    CALM = 'ended in calm'
    NOT_CALM = 'its node was not in touch'
    BEHIND = 'sent behind another, not passed on'
    TARGET = 'the target broke off'
    LIMIT = 'its time was up'
    DISRUPTED = 'disrupted'
    CROSSED = 'crossed the close'
    GRACE_OVER = 'the target worked on until the grace was over'
    OWN_ANSWER = 'own answer while no target worked, or not at a stop'


class Run:
    """A run of a request at a target."""

    def __init__(self, *, began_s: float) -> None:
        self.began_s = began_s
        self.ended_s = math.inf
        self.ending = RunEnding.AT_WORK

    def end(self, ending: RunEnding, now_s: float) -> None:
        """Record the end."""
        self.ending = ending
        self.ended_s = now_s

    @property
    def is_cut(self) -> bool:
        """Return whether the target worked on it until it was broken off."""
        return self.ending in {RunEnding.AT_WORK, RunEnding.CUT}

    def is_cut_after(self, moment_s: float) -> bool:
        """Return whether it is cut and the target worked until a moment."""
        return self.is_cut and self.ended_s >= moment_s


class Ended(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its caller saw it end.

    ``limit_s`` is the shorter of its deadline and its route's time limit,
    ``is_behind`` whether it was sent behind another on its connection.
    """

    attempt: str
    node: str
    sent_s: float
    ended_s: float
    ending: Ending
    limit_s: float
    is_behind: bool = False

    @property
    def used_s(self) -> float:
        """Return how long it lasted."""
        return self.ended_s - self.sent_s


Excuse = Callable[[Ended, list[Run]], bool]


class LostRequests:
    """Collects runs and endings; judges when all is known."""

    def __init__(self, *, work: PlannedWork) -> None:
        self._work = work
        self._runs: dict[str, list[Run]] = collections.defaultdict(list)
        self._unanswered: list[Ended] = []
        self._answered_s: list[float] = []
        self._excuses: dict[Verdict, Excuse] = {
            Verdict.BEHIND: _is_behind,
            Verdict.TARGET: _target_broke_off,
            Verdict.LIMIT: _time_is_up,
            Verdict.DISRUPTED: self._is_disrupted,
            Verdict.CROSSED: self._crossed,
        }

    def began(self, attempt: str, now_s: float) -> Run:
        """Record that a target begins to work on a request."""
        run = Run(began_s=now_s)
        self._runs[attempt].append(run)
        return run

    def ended(self, request: Ended) -> None:
        """Record the end of a request."""
        if request.ending is Ending.ANSWERED:
            self._runs.pop(request.attempt, None)
            self._answered_s.append(request.ended_s)
        else:
            self._unanswered.append(request)

    def verdicts(self) -> dict[Verdict, list[Ended]]:
        """Return all requests without an answer, by verdict."""
        by_verdict = collections.defaultdict(list)
        for request in self._unanswered:
            by_verdict[self._verdict(request)].append(request)
        return by_verdict

    def counts(self) -> dict[str, int]:
        """Return how many requests without an answer got which verdict."""
        by_verdict = self.verdicts()
        return {found.value: len(by_verdict[found]) for found in by_verdict}

    def breaches(self) -> list[str]:
        """Return a line for each request that may not end in this way."""
        by_verdict = self.verdicts()
        counted = by_verdict[Verdict.LOST]
        if len(by_verdict[Verdict.CALM]) > _MAX_CALM_CUTS:
            counted += by_verdict[Verdict.CALM]
        if self._is_more_often(by_verdict):
            counted += by_verdict[Verdict.BESIDE_CONFIGURATION]
        return [self._line(request) for request in counted]

    def _verdict(self, request: Ended) -> Verdict:
        runs = self._runs[request.attempt]
        for excuse, applies in self._excuses.items():
            if applies(request, runs):
                return excuse
        if request.ending is Ending.OWN:
            return self._verdict_on_own_answer(request, runs)
        return self._verdict_on_close(request, runs)

    def _is_disrupted(self, request: Ended, runs: list[Run]) -> bool:
        since_s = request.sent_s - STABLE_S
        return self._work.is_disrupted(since_s, request.ended_s)

    def _crossed(self, request: Ended, runs: list[Run]) -> bool:
        if runs or request.ending is Ending.OWN:
            return False
        times_s = (request.sent_s, request.ended_s)
        waited_s = request.used_s - self._work.standstill_s(*times_s)
        return waited_s <= _CROSSING_S

    def _verdict_on_own_answer(
        self, request: Ended, runs: list[Run]
    ) -> Verdict:
        stop_s = self._work.stop_before(request.node, request.ended_s)
        if stop_s is None or not any(run.is_cut for run in runs):
            return Verdict.OWN_ANSWER
        return self._verdict_at_stop(request, runs, stop_s)

    def _verdict_on_close(self, request: Ended, runs: list[Run]) -> Verdict:
        stop_s = self._work.stop_before(request.node, request.ended_s)
        if stop_s is not None:
            return self._verdict_at_stop(request, runs, stop_s)
        times_s = (request.sent_s, request.ended_s)
        if self._work.is_reload(request.node, *times_s):
            return Verdict.LOST
        if self._work.is_configuration(request.ended_s):
            return self._verdict_at_configuration(request)
        if not runs:
            return Verdict.CROSSED
        calm_since_s = request.sent_s - STABLE_S
        is_calm = self._work.is_calm(
            request.node, calm_since_s, request.ended_s
        )
        return Verdict.CALM if is_calm else Verdict.NOT_CALM

    def _verdict_at_stop(
        self, request: Ended, runs: list[Run], stop_s: float
    ) -> Verdict:
        grace_s = self._work.grace_s
        last_part_s = stop_s + grace_s * (1 - _LAST_PART_OF_GRACE)
        is_late = request.ended_s >= last_part_s
        works_on = any(run.is_cut_after(last_part_s) for run in runs)
        if is_late and works_on and request.sent_s <= stop_s + _LATE_IN_STOP_S:
            return Verdict.GRACE_OVER
        return Verdict.LOST

    def _verdict_at_configuration(self, request: Ended) -> Verdict:
        if request.used_s >= request.limit_s * _USED_PART_OF_LIMIT:
            return Verdict.LIMIT
        return Verdict.BESIDE_CONFIGURATION

    def _is_more_often(self, by_verdict: dict[Verdict, list[Ended]]) -> bool:
        """Return whether requests are cut more often beside configurations."""
        cut = len(by_verdict[Verdict.BESIDE_CONFIGURATION])
        cut_else = len(by_verdict[Verdict.CALM])
        beside = sum(map(self._work.is_configuration, self._answered_s))
        otherwise = len(self._answered_s) - beside
        share = cut / max(beside + cut, 1)
        share_else = cut_else / max(otherwise + cut_else, 1)
        return share > _CONFIGURATION_FACTOR * share_else

    def _line(self, request: Ended) -> str:
        runs = self._runs[request.attempt]
        stop_s = self._work.stop_before(request.node, request.ended_s)
        stop = '' if stop_s is None else f', SIGTERM at {stop_s:.3f}'
        return (
            f'{request.ended_s:.3f} {request.attempt} at {request.node}: '
            f'{request.ending.value} after {request.used_s:.3f} s, '
            f'runs {[run.ending.value for run in runs]}{stop}'
        )


def _is_behind(request: Ended, runs: list[Run]) -> bool:
    return request.is_behind and not runs


def _target_broke_off(request: Ended, runs: list[Run]) -> bool:
    return bool(runs) and runs[-1].ending is RunEnding.BROKE_OFF


def _time_is_up(request: Ended, runs: list[Run]) -> bool:
    return request.used_s >= request.limit_s - _LIMIT_MARGIN_S
