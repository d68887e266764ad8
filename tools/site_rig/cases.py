"""Cases of the rule LOST: what is judged and what is said of it."""

import enum

import msgspec

from tools.site_rig.records import (
    RequestRecord,
    RunEnd,
    RunRecord,
    SignalKind,
    SignalRecord,
    TroubleRecord,
)


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds of the rule."""

    grace_s: float
    apply_s: float
    loss_slack_s: float = 0.2
    stable_s: float = 3.0


class Occasion(enum.StrEnum):
    """What was near when a request ended."""

    TERM = 'SIGTERM'
    HUP = 'SIGHUP'
    CONFIGURATION = 'configuration'
    ANY_TIME = 'any time'


class Excuse(enum.StrEnum):
    """Why a case does not count."""

    NONE = ''
    NOT_LOST = 'it was answered or left by its caller'
    TARGET = 'the target broke off'
    TIME = 'deadline or time limit reached'
    LATE_WORK = 'at work in the last part of the grace period'
    BEHIND = 'sent behind another and not passed on'
    CROSSED = 'it crossed a close'
    NOT_RAISED = 'as many are cut at other times'
    DISRUPTED = 'unplanned disruption beside planned work'
    OUT_OF_TOUCH = 'the machine was not in touch'
    USED_MOST = 'most of its time used beside a configuration'


class Case(msgspec.Struct, frozen=True, kw_only=True):
    """A request, its arrivals at targets and the signals of its node."""

    request: RequestRecord
    runs: tuple[RunRecord, ...] = ()
    signals: tuple[SignalRecord, ...] = ()
    # Of its node's machine, and of targets it was passed on to.
    troubles: tuple[TroubleRecord, ...] = ()

    @property
    def passed_on(self) -> tuple[RunRecord, ...]:
        """Return its arrivals at targets that did not reject it."""
        return tuple(run for run in self.runs if run.end is not RunEnd.REJECTED)

    @property
    def is_passed_on(self) -> bool:
        """Tell whether it reached a target, also one that rejected it."""
        return bool(self.runs)

    @property
    def has_target_broken_off(self) -> bool:
        """Tell whether the target that was asked last broke off."""
        ends = [
            run.end for run in sorted(self.runs, key=lambda run: run.arrived_s)
        ]
        return bool(ends) and ends[-1] is RunEnd.BROKE_OFF

    def is_disrupted(self, from_s: float, until_s: float) -> bool:
        """Tell whether an unplanned disruption touches a span."""
        return bool(self._troubles_in(from_s, until_s))

    def is_out_of_touch(self, from_s: float, until_s: float) -> bool:
        """Tell whether one does that takes a machine out of touch."""
        troubles = self._troubles_in(from_s, until_s)
        return not all(trouble.is_in_touch for trouble in troubles)

    def times(self, kind: SignalKind) -> list[float]:
        """Return when the node got signals of a kind."""
        return [signal.at_s for signal in self.signals if signal.kind is kind]

    def is_at_work(self, at_s: float) -> bool:
        """Tell whether a target worked on it until it was broken off."""
        return any(
            run.began_s and (run.end is RunEnd.CUT or run.ended_s > at_s)
            for run in self.runs
        )

    def works_until(self, at_s: float) -> bool:
        """Tell whether a target still worked on it at that time."""
        return any(run.began_s and run.ended_s >= at_s for run in self.runs)

    def _troubles_in(
        self, from_s: float, until_s: float
    ) -> list[TroubleRecord]:
        return [
            trouble
            for trouble in self.troubles
            if trouble.from_s <= until_s and trouble.until_s >= from_s
        ]


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """What the rule says of a request."""

    case: Case
    occasion: Occasion
    excuse: Excuse

    @property
    def counts(self) -> bool:
        """Tell whether the request is lost."""
        return self.excuse is Excuse.NONE
