"""Messages that routing takes and returns."""

import enum

import msgspec

from fescueknot.identity import InstanceId, Place


class CandidateState(enum.StrEnum):
    """Whether an instance takes new work."""

    SERVING = 'serving'
    DRAINING = 'draining'


class Tier(enum.IntEnum):
    """How far a target stands; nearer ones go first."""

    LOCAL_HOST = 0
    FAILURE_DOMAIN = 1
    REGION = 2
    ELSEWHERE = 3


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that may be called; ``slots`` is 0 while unknown.

    ``connection_limit`` is shared by all nodes that call it. ``started_s`` is
    a reading of the caller's monotonic clock.
    """

    instance: InstanceId
    place: Place
    state: CandidateState = CandidateState.SERVING
    connection_limit: int = 300
    started_s: float = 0
    slots: int = 0


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a target as its node sent it along with an answer.

    ``service_s`` is the usual time of a call there, 0 while unknown.
    ``level_rank`` is the highest rank admitted, as at depth 0.
    """

    limit: int
    in_flight: int
    waiting: int
    level_rank: float
    service_s: float = 0


class ResultKind(enum.StrEnum):
    """How a call to a target ended, as the caller's node saw it."""

    OK = 'ok'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    TURNED_AWAY = 'turned away'
    CANCELLED = 'cancelled'


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call."""

    kind: ResultKind
    latency_s: float
    report: LoadReport | None = None


class Pick(msgspec.Struct, frozen=True, kw_only=True):
    """The target to call; a ``trial`` is for one that was ejected."""

    instance: InstanceId
    tier: Tier
    trial: bool = False


class NoTargetReason(enum.StrEnum):
    """Why there is no target."""

    NONE_KNOWN = 'no instance is known'
    ALL_EXCLUDED = 'all instances are excluded'


class NoTarget(msgspec.Struct, frozen=True, kw_only=True):
    """There is nothing to call; the call was not run."""

    reason: NoTargetReason
