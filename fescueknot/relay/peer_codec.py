"""Calls and replies as nodes send them to each other."""

import json

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.httpio.encoding import end_to_end
from fescueknot.httpio.messages import Request, Response
from fescueknot.relay.header_names import ANSWER_HEADER, CALL_HEADER
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
    reply_without_response,
)
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000
_REFUSED_STATUS = 503
_UNKNOWN_STATUS = 502


def restore_attempt(head: CallHead, attempt: str) -> CallHead:
    """Return the head with the attempt id that encoding left out."""
    lineage = head.lineage
    if not lineage.root:
        lineage = msgspec.structs.replace(lineage, root=attempt)
    return msgspec.structs.replace(head, attempt=attempt, lineage=lineage)


def encode_call(call: Call, replaced: set[str]) -> Request:
    """Encode a call; its head omits the attempt id, which is in a header."""
    remaining_s = call.expires_s - running_loop().time()
    lineage = call.head.lineage
    if lineage.root == call.head.attempt:
        lineage = msgspec.structs.replace(lineage, root='')
    head = msgspec.structs.replace(
        call.head,
        attempt='',
        lineage=lineage,
        remaining_ms=max(0, int(remaining_s * _MS_PER_S)),
    )
    passed_on = end_to_end(call.request.headers, replaced)
    value = _header_text(head)
    return Request(
        method=call.request.method,
        target=call.request.target,
        headers=((CALL_HEADER, value), *passed_on),
        body=call.request.body,
    )


def decode_reply(response: Response) -> Reply:
    """Return what a node's answer says; it may have no memory for the call."""
    text = response.header(ANSWER_HEADER)
    if text is None and response.status == _REFUSED_STATUS:
        # The node had no memory for the call and has not read it.
        return reply_without_response(
            Ending.REFUSED, 'the node has no room', RefusedFor.OVERLOAD
        )
    try:
        head = msgspec.json.decode(text or '', type=AnswerHead)
    except DECODE_ERRORS:
        return reply_without_response(
            Ending.UNKNOWN, f'status {response.status} of a node'
        )
    if head.ending is not Ending.ANSWERED:
        return Reply(head=head)
    passed_on = Response(
        status=response.status,
        reason=response.reason,
        headers=end_to_end(response.headers, {ANSWER_HEADER}),
        body=response.body,
    )
    return Reply(head=head, response=passed_on)


def encode_reply(reply: Reply) -> Response:
    """Return the answer of a node that carries a reply."""
    answer_header = (ANSWER_HEADER, _header_text(reply.head))
    if reply.response is None:
        unknown = reply.head.ending is Ending.UNKNOWN
        status = _UNKNOWN_STATUS if unknown else _REFUSED_STATUS
        return Response(status=status, headers=(answer_header,))
    return msgspec.structs.replace(
        reply.response, headers=(answer_header, *reply.response.headers)
    )


def _header_text(head: CallHead | AnswerHead) -> str:
    """Return the JSON text of a head, all of it ASCII."""
    text = msgspec.json.encode(head).decode()
    if text.isascii():
        return text
    return json.dumps(json.loads(text), separators=(',', ':'))
