"""Arguments and results of routing."""

import enum

import msgspec

from fescueknot.identity import InstanceId, Place


class CandidateState(enum.StrEnum):
    """Whether an instance accepts new calls."""

    SERVING = 'serving'
    DRAINING = 'draining'


class Tier(enum.IntEnum):
    """Distance of a target from the local node, nearest first."""

    LOCAL_HOST = 0
    FAILURE_DOMAIN = 1
    REGION = 2
    ELSEWHERE = 3


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """An instance that may be called.

    ``connection_limit`` bounds the connections of all nodes that call the
    instance. ``started_s`` is a reading of the caller's monotonic clock.
    ``slots`` is 0 while unknown. ``is_rate_limited``: the instance has
    announced a rate limit to the local node.
    """

    instance: InstanceId
    place: Place
    state: CandidateState = CandidateState.SERVING
    connection_limit: int = 300
    started_s: float = 0
    slots: int = 0
    is_rate_limited: bool = False


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load of a target, sent by its node along with an answer.

    ``level_rank`` is the highest rank that the target admits at depth 0.
    ``service_s`` is the mean service time, 0 while unknown. ``work_s`` is how
    long the target works on a call now, 0 unless it reports that. A target that
    announces a rate limit reports the slots that the rate keeps busy, all of
    them as in use while it may be sent no request.
    """

    limit: int
    in_flight: int
    waiting: int
    level_rank: float
    service_s: float = 0
    work_s: float = 0
    is_rate_limited: bool = False


class ResultKind(enum.StrEnum):
    """How a call to a target ended, as seen by the calling node.

    ``REFUSED``: refused by the target's node. ``TURNED_AWAY``: refused by the
    target itself without doing any work.
    """

    OK = 'ok'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    UNREACHABLE = 'unreachable'
    TURNED_AWAY = 'turned away'
    CANCELLED = 'cancelled'


class CallResult(msgspec.Struct, frozen=True, kw_only=True):
    """The end of a call, with the load report of its answer, if any."""

    kind: ResultKind
    latency_s: float
    report: LoadReport | None = None


class Pick(msgspec.Struct, frozen=True, kw_only=True):
    """The target to call; ``trial`` if it is ejected and on trial."""

    instance: InstanceId
    tier: Tier
    trial: bool = False


class NoTargetReason(enum.StrEnum):
    """Why no target can be picked."""

    NONE_KNOWN = 'no instance is known'
    ALL_EXCLUDED = 'all instances are excluded'


class NoTarget(msgspec.Struct, frozen=True, kw_only=True):
    """No target can be picked; the call was not run."""

    reason: NoTargetReason
