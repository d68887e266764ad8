"""Arguments and results of the admission gate."""

import enum

import msgspec

from fescueknot.calls import Importance, Outcome


class RefusalReason(enum.StrEnum):
    """Why a request was not admitted."""

    LEVEL = 'below the admission level'
    QUEUE_FULL = 'waiting line full'
    MAX_WAIT = 'waited too long'
    DEADLINE = 'deadline cannot be met'
    RATE_LIMIT = 'rate limit of the target'


class CompletionKind(enum.StrEnum):
    """How an admitted request ended."""

    OK = 'ok'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is offered to the gate.

    ``ticket`` is unique among requests waiting or running at this gate.
    ``deadline_s`` is a reading of the monotonic clock. ``depth`` is the number
    of hops before this one, a measure of the work already invested. With
    ``accepts_long_wait`` the request may spend a larger fraction of its
    remaining time in the queue; no request waits longer than ``max_wait_s``.
    ``is_foreign``: the caller is in another failure domain than the target.
    """

    ticket: str
    root_id: str
    caller: str
    importance: Importance
    deadline_s: float
    depth: int = 0
    accepts_long_wait: bool = False
    max_wait_s: float = float('inf')
    is_foreign: bool = False


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """The end of an admitted request.

    ``downstream_s`` is the part of the service time that the target spent
    waiting for downstream calls. ``route`` groups requests with similar
    service times. ``has_downstream_calls`` says whether the target makes
    downstream calls for the request.
    """

    kind: CompletionKind
    service_time_s: float
    downstream_s: float = 0
    route: str = ''
    has_downstream_calls: bool = False


class Admit(msgspec.Struct, frozen=True, kw_only=True):
    """The request is to be sent to the target now."""

    ticket: str


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """The request is queued; the final decision follows later."""

    ticket: str


class Refuse(msgspec.Struct, frozen=True, kw_only=True):
    """The request is refused without having been run."""

    ticket: str
    reason: RefusalReason
    retry_after_s: float
    outcome: Outcome = Outcome.NOT_RUN


class AdmissionLevel(msgspec.Struct, frozen=True, kw_only=True):
    """Admission level and load of a gate, sent along with answers.

    A request is admitted while its (importance, bucket) is at most that of the
    level. ``bucket`` divides an importance class by the hash of the root id
    (see :mod:`fescueknot.admission.rank`), so that it means the same at every
    depth. ``limit``, ``in_flight`` and ``waiting`` are the load of the target
    for routing.
    """

    importance: Importance
    bucket: int
    limit: int = 0
    in_flight: int = 0
    waiting: int = 0


Decision = Admit | Wait | Refuse
FinalDecision = Admit | Refuse
