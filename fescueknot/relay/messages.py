"""Messages between the node of a caller and the node beside a target.

Heads have short names on the wire: bytes between regions are paid for.
"""

import enum

import msgspec

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Request, Response
from fescueknot.relay.runs import Lineage

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
        'patience_ms': 'p',
        'caller_service': 'c',
        'version': 'v',
    },
):
    """What the caller's node says of a call.

    The request has the ``attempt`` in a header of its own.

    ``remaining_ms`` is the time left when it was sent, ``patience_ms`` how
    long it may wait for the target, ``lineage`` the root request that it
    belongs to, ``version`` the routes in force at the sender.
    """

    attempt: str = ''
    instance: str
    started_ms: int
    idempotent: bool
    route: str
    lineage: Lineage
    remaining_ms: int
    patience_ms: int
    caller_service: str
    version: int = 0


class Ending(enum.StrEnum):
    """How a call ended at a target.

    ``REFUSED`` is the node's word that nothing was sent to the target,
    ``TURNED_AWAY`` the target's word that it did no work.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    TURNED_AWAY = 'turned away'
    UNKNOWN = 'unknown'


class RefusedFor(enum.StrEnum):
    """Why nothing was sent to a target."""

    NONE = ''
    NO_TARGET = 'no target is known here'
    OTHER_TARGET = 'another target is here'
    LEAVING = 'the target leaves'
    STOPPING = 'the node stops'
    DOWN = 'the target takes no connection'
    OVERLOAD = 'the target is full'
    EXPIRED = 'the time is over'
    UNREACHABLE = 'the node takes no connection'


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
    },
):
    """What the node beside a target says of a call, and of its load.

    ``level_rank`` is the highest rank that calls of this route are admitted
    with (see admission), here and at the targets below. ``failed_below``
    tells that the target made a call of its own that failed.
    """

    ending: Ending = Ending.ANSWERED
    refused_for: RefusedFor = RefusedFor.NONE
    detail: str = ''
    retry_after_s: float = 0
    limit: int = 0
    in_flight: int = 0
    waiting: int = 0
    service_ms: int = 0
    level_rank: float = float(len(Importance))
    version: int = 0
    failed_below: bool = False


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a call, and the target's response if there is one."""

    head: AnswerHead
    response: Response | None = None

    @property
    def is_success(self) -> bool:
        """Tell whether a target answered without a failure of its own."""
        answered = self.head.ending is Ending.ANSWERED
        return answered and self.response.status < FIRST_FAILURE_STATUS


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A call on its way to a target; ``expires_s`` is a loop time."""

    head: CallHead
    request: Request
    expires_s: float


def bare_reply(
    ending: Ending, detail: str, refused_for: RefusedFor = RefusedFor.NONE
) -> Reply:
    """Return the reply to a call that got no response of a target."""
    return Reply(
        head=AnswerHead(ending=ending, detail=detail, refused_for=refused_for)
    )
