"""What ended a lost request, as far as the signals tell."""

import enum
from collections.abc import Iterable

from tools.site_rig.cases import Case
from tools.site_rig.records import SignalKind, SignalRecord

# A kill is noted when the process is gone; callers hear of it at once.
_NEAR_S = 0.4


class Cause(enum.StrEnum):
    """What ended a request."""

    OWN_NODE = 'its node was killed over memory'
    TARGETS_NODE = 'the node of its target was killed over memory'
    OTHER = 'other'


def cause_of(case: Case, signals: Iterable[SignalRecord]) -> Cause:
    """Return what ended a request, given the signals of all nodes."""
    killed = {
        signal.host
        for signal in signals
        if signal.kind is SignalKind.OVER_MEMORY
        and abs(signal.at_s - case.request.ended_s) < _NEAR_S
    }
    if case.request.host in killed:
        return Cause.OWN_NODE
    is_beside = any(run.target in killed for run in case.runs)
    return Cause.TARGETS_NODE if is_beside else Cause.OTHER
