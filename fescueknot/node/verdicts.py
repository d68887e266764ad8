"""What a node reports about a call to the calling node.

The verdict is JSON in one header of the answer. The target's own answer is
passed on unchanged; the header is removed before a caller gets the answer.
"""

import enum

import msgspec

from fescueknot.admission.messages import AdmissionLevel
from fescueknot.admission.rank import OPEN_RANK
from fescueknot.calls import Outcome
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.identity import InstanceId
from fescueknot.node import headers
from fescueknot.node.messages import Header, HttpAnswer


class VerdictKind(enum.StrEnum):
    """How a call ended at a node.

    ``SHED`` is a refusal that any instance of the service would return, since
    the call is below the admission level. ``OTHER_OWNER`` is the refusal of a
    node that does not own the key; the verdict names the owner.
    ``KEY_REFUSED`` is the refusal of a key by its owner, or for want of an
    owner.
    """

    ANSWERED = 'answered'
    REFUSED = 'refused'
    SHED = 'shed'
    UNREACHABLE = 'unreachable'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    CALLER_GONE = 'caller gone'
    OTHER_OWNER = 'other owner'
    KEY_REFUSED = 'key refused'


class Verdict(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The verdict of one node.

    ``allotment_left`` is the number of unspent extra attempts, ``level`` the
    admission level of the node, lowered to those of its downstream services,
    and ``own_rank`` the rank that the node's own gate admits. ``owner`` is
    set by a node that got a call as the owner of its key and knows a newer
    owner.
    """

    kind: VerdictKind
    outcome: Outcome
    instance: InstanceId
    allotment_left: int = 0
    level: AdmissionLevel | None = None
    own_rank: float = OPEN_RANK
    owner: InstanceId | None = None


_DECODER = msgspec.json.Decoder(Verdict)


def add_verdict(answer: HttpAnswer, verdict: Verdict) -> HttpAnswer:
    """Return ``answer`` with the header of ``verdict``."""
    text = msgspec.json.encode(verdict).decode()
    verdict_header = Header(name=headers.VERDICT, text=text)
    kept = headers.end_to_end(answer.headers)
    return msgspec.structs.replace(answer, headers=(*kept, verdict_header))


def read_verdict(answer: HttpAnswer) -> Verdict | None:
    """Return the verdict on ``answer``, or None when it has no valid one."""
    try:
        return _DECODER.decode(answer.header(headers.VERDICT))
    except DECODE_ERRORS:
        return None
