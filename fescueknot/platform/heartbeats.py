"""Decodes heartbeats and leave notices of targets."""

import types
from typing import Annotated, Literal

import msgspec

from fescueknot.decoding import DECODE_ERRORS, Count, Name
from fescueknot.httpio.messages import Request
from fescueknot.relay.adapter import LeaveNotice, UnreadableError
from fescueknot.targets.messages import Heartbeat, TargetState

_PATH = '/v1/instances/'
_MS_PER_S = 1000
_MAX_SLOTS = 1_000_000
_MAX_WARMUP_MS = 86_400_000
_STATES = types.MappingProxyType(
    {
        'ready': TargetState.SERVING,
        'draining': TargetState.DRAINING,
    }
)


class _Heartbeat(msgspec.Struct, rename='camel'):
    """The body of a heartbeat.

    ``born`` is the start time of the target in Unix milliseconds; ``seq``
    counts the heartbeats since that start.
    """

    service: Name
    address: str
    slots: Annotated[int, msgspec.Meta(le=_MAX_SLOTS)]
    state: Literal['ready', 'draining']
    seq: Count
    born: Count
    warmup_left_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_WARMUP_MS)] = 0


def decode(request: Request, address: str) -> Heartbeat | LeaveNotice:
    """Decode a heartbeat or leave notice; raise :class:`UnreadableError`.

    A heartbeat for another address than that of the target is refused too.
    """
    instance = _instance(request.target)
    if request.method == 'DELETE':
        return LeaveNotice(instance=instance)
    if request.method != 'PUT':
        raise UnreadableError(f'expected PUT or DELETE; found {request.method}')
    try:
        body = msgspec.json.decode(request.body, type=_Heartbeat)
    except DECODE_ERRORS as error:
        raise UnreadableError(str(error)) from error
    if body.address != address:
        raise UnreadableError(
            f'heartbeat for {body.address}; the target is {address}'
        )
    return Heartbeat(
        instance=instance,
        started_ms=body.born,
        sequence=body.seq,
        service=body.service,
        slots=max(1, body.slots),
        state=_STATES[body.state],
        warmup_left_s=body.warmup_left_ms / _MS_PER_S,
    )


def _instance(target: str) -> str:
    path = target.partition('?')[0]
    instance = path.removeprefix(_PATH)
    if instance == path or not instance or '/' in instance:
        raise UnreadableError(f'expected {_PATH}<instance>; found {path}')
    return instance
