"""Messages between a caller's node and a target's node.

Fields of the heads have short names on the wire, because traffic between
regions costs money.
"""

import enum

import msgspec

from fescueknot.calls import Importance
from fescueknot.decoding import Count, Quantity
from fescueknot.httpio.messages import Request, Response
from fescueknot.relay.announcement import Announcement
from fescueknot.relay.runs import Lineage
from fescueknot.relay.target_figures import TargetFigures

FIRST_FAILURE_STATUS = 500


class CallHead(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={
        'attempt': 'a',
        'instance': 'i',
        'started_ms': 's',
        'idempotent': 'd',
        'route': 'r',
        'lineage': 'l',
        'remaining_ms': 't',
        'max_wait_ms': 'p',
        'answer_margin_ms': 'm',
        'caller_service': 'c',
        'version': 'v',
        'rate_limit_per_s': 'q',
        'is_foreign': 'o',
    },
):
    """Metadata of a call, sent by the caller's node.

    ``attempt`` is empty on the wire: the request carries it in a header.
    ``remaining_ms`` is the time to the deadline when the call is sent,
    ``max_wait_ms`` its maximum wait for a slot of the target,
    ``answer_margin_ms`` how long its answer is waited for after the deadline,
    ``lineage`` the root request that it belongs to, ``version`` the version of
    the routes in force at the sender, ``rate_limit_per_s`` the limit that the
    target has announced to the sender. ``is_foreign``: the sender is in another
    failure domain than the target, whose service reports its speed.
    """

    attempt: str = ''
    instance: str
    started_ms: Count
    idempotent: bool
    route: str
    lineage: Lineage
    remaining_ms: Count
    max_wait_ms: Count
    answer_margin_ms: Count = 0
    caller_service: str
    version: Count = 0
    rate_limit_per_s: float | None = None
    is_foreign: bool = False


class Ending(enum.StrEnum):
    """How a call ended at a target.

    ``REFUSED``: the node has sent nothing to the target. ``TURNED_AWAY``: the
    target reports that it did no work. ``UNKNOWN``: the call may have run.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    TURNED_AWAY = 'turned away'
    UNKNOWN = 'unknown'


class RefusedFor(enum.StrEnum):
    """Why a call was not sent to the target, or not accepted by it."""

    NONE = ''
    NO_TARGET = 'no target is known here'
    OTHER_TARGET = 'another target is here'
    LEAVING = 'the target leaves'
    STOPPING = 'the node stops'
    DOWN = 'the target takes no connection'
    OVERLOAD = 'the target is full'
    EXPIRED = 'the time is over'
    UNREACHABLE = 'the node takes no connection'
    SUSPECTED = 'another suspect of crashing targets runs'
    QUARANTINED = 'it has crashed several targets'


class AnswerHead(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={
        'ending': 'e',
        'refused_for': 'f',
        'detail': 'd',
        'retry_after_s': 'r',
        'limit': 'l',
        'in_flight': 'i',
        'waiting': 'w',
        'service_ms': 's',
        'level_rank': 'k',
        'version': 'v',
        'failed_below': 'b',
        'rate_limit_per_s': 'q',
        'is_leaving': 'g',
        'work_ms': 'h',
    },
):
    """Result of a call and load of its target, sent by the target's node.

    ``level_rank`` is the highest rank with which calls of this route are
    admitted (see ``fescueknot.admission.rank``), at this target and at the
    targets that it calls. ``failed_below``: a call that the target made for
    this call has failed. ``rate_limit_per_s`` is the limit that the target
    has announced, ``None`` without one. ``is_leaving``: the target that was
    called leaves. ``work_ms`` is how long the target works on a call now, 0
    unless it sends four load figures.
    """

    ending: Ending = Ending.ANSWERED
    refused_for: RefusedFor = RefusedFor.NONE
    detail: str = ''
    retry_after_s: float = 0
    limit: Count = 0
    in_flight: Count = 0
    waiting: Count = 0
    service_ms: Count = 0
    level_rank: float = float(len(Importance))
    version: Count = 0
    failed_below: bool = False
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    work_ms: Quantity = 0


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a call, with the target's response if there is one.

    Known at the target's own node only: ``announcement`` and ``figures`` are
    those of its answer, ``is_connection_lost`` that the connection ended
    without an answer.
    """

    head: AnswerHead
    response: Response | None = None
    announcement: Announcement | None = None
    figures: TargetFigures | None = None
    is_connection_lost: bool = False

    @property
    def is_success(self) -> bool:
        """Return whether the target answered with a status below 500."""
        answered = self.head.ending is Ending.ANSWERED
        return answered and self.response.status < FIRST_FAILURE_STATUS


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a target; ``expires_s`` is in the time of the event loop."""

    head: CallHead
    request: Request
    expires_s: float


def reply_without_response(
    ending: Ending, detail: str, refused_for: RefusedFor = RefusedFor.NONE
) -> Reply:
    """Return the reply to a call without a response of the target."""
    return Reply(
        head=AnswerHead(ending=ending, detail=detail, refused_for=refused_for)
    )
