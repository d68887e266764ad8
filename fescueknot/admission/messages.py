"""Messages that admission takes and returns."""

import enum

import msgspec

from fescueknot.calls import Importance, Outcome


class RefusalReason(enum.StrEnum):
    """Why a request was not admitted."""

    LEVEL = 'below the admission level'
    QUEUE = 'waiting line full'
    PATIENCE = 'waited too long'
    DEADLINE = 'deadline cannot be met'


class CompletionKind(enum.StrEnum):
    """How the target ended an admitted request."""

    OK = 'ok'
    REFUSED = 'refused'
    FAILED = 'failed'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that asks to be sent to the target.

    ``ticket`` is unique among requests waiting or running at this gate.
    ``deadline_s`` is a reading of the monotonic clock. ``depth`` counts the
    hops so far, which stands for the work already invested. A ``accepts_long_wait``
    caller may wait longer in line; none waits longer than ``max_wait_s``.
    """

    ticket: str
    root_id: str
    caller: str
    importance: Importance
    deadline_s: float
    depth: int = 0
    accepts_long_wait: bool = False
    max_wait_s: float = float('inf')


class Completion(msgspec.Struct, frozen=True, kw_only=True):
    """What the target did with an admitted request.

    ``downstream_s`` is the part of the service time in which the target waited
    for calls that it made itself. ``route`` tells requests that take about
    the same time, and ``has_downstream_calls`` whether it made any calls.
    """

    kind: CompletionKind
    service_time_s: float
    downstream_s: float = 0
    route: str = ''
    has_downstream_calls: bool = False


class Admit(msgspec.Struct, frozen=True, kw_only=True):
    """The request goes to the target now."""

    ticket: str


class Wait(msgspec.Struct, frozen=True, kw_only=True):
    """The request waits in line; its decision comes later."""

    ticket: str


class Refuse(msgspec.Struct, frozen=True, kw_only=True):
    """The request was not run and gets its final answer now."""

    ticket: str
    reason: RefusalReason
    retry_after_s: float
    outcome: Outcome = Outcome.NOT_RUN


class AdmissionLevel(msgspec.Struct, frozen=True, kw_only=True):
    """The level below which requests are shed, sent along with answers.

    A request is admitted while its (importance, bucket) is at most the one
    given here. ``bucket`` counts in root buckets (see ``rank``), so that it
    means the same at every depth. ``limit``, ``in_flight`` and ``waiting``
    tell routers how full the target is.
    """

    importance: Importance
    bucket: int
    limit: int = 0
    in_flight: int = 0
    waiting: int = 0


Decision = Admit | Wait | Refuse
FinalDecision = Admit | Refuse
