"""Sending a call to the target on this host and judging its answer."""

import abc
import asyncio
import math

from fescueknot.httpio.client import Client, ClientSettings
from fescueknot.httpio.encoding import end_to_end
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.messages import Headers, Request, Response
from fescueknot.identity import Address
from fescueknot.relay.header_names import (
    ANSWER_HEADER,
    CALL_HEADER,
    HeaderNames,
)
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    Ending,
    RefusedFor,
    Reply,
    bare_reply,
)

_MS_PER_S = 1000
_MISDIRECTED = 421
# Callers read these as "has not run", which only a marked answer says.
_PROMISES = frozenset((408, 429, 503))
_SUCCESS = range(200, 300)
# A connection idle for longer may have been forgotten by the target; what
# must not run twice is not risked on it.
_LONGEST_IDLE_S = 4.0
_LONGEST_IDLE_AT_MOST_ONCE_S = 1.0
_TARGET_CLIENT = ClientSettings(
    connect_timeout_s=0.5, idle_s=_LONGEST_IDLE_S, most_idle=64
)


class Dispatcher(abc.ABC):
    """Sends calls to one target."""

    @abc.abstractmethod
    async def send(self, call: Call) -> Reply:
        """Send a call once; when cancelled, let the target know."""


class HttpDispatcher(Dispatcher):
    """Sends calls over HTTP, each with the instance it is meant for."""

    def __init__(self, *, address: Address, header_names: HeaderNames) -> None:
        self._header_names = header_names
        self._client = Client(address=address, settings=_TARGET_CLIENT)

    @property
    def opened(self) -> int:
        """Return how many connections were opened."""
        return self._client.opened

    def prune(self, now_s: float) -> None:
        """Close connections that were idle too long."""
        self._client.prune(now_s)

    async def send(self, call: Call) -> Reply:
        """Send a call once."""
        request = self._request(call)
        longest_idle_s = _LONGEST_IDLE_S
        if not call.head.idempotent:
            longest_idle_s = _LONGEST_IDLE_AT_MOST_ONCE_S
        left_s = call.expires_s - asyncio.get_running_loop().time()
        try:
            response = await asyncio.wait_for(
                self._client.exchange(
                    request,
                    lambda response: self._belongs(response, call),
                    longest_idle_s=longest_idle_s,
                ),
                left_s,
            )
        except NotSentError as error:
            return bare_reply(Ending.REFUSED, str(error), RefusedFor.DOWN)
        except AnswerLostError as error:
            return bare_reply(Ending.UNKNOWN, str(error))
        except TimeoutError:
            return bare_reply(Ending.UNKNOWN, 'no answer in time')
        return self._judge(response)

    def _request(self, call: Call) -> Request:
        left_s = call.expires_s - asyncio.get_running_loop().time()
        own = (
            (
                self._header_names.remaining_ms,
                str(math.ceil(left_s * _MS_PER_S)),
            ),
            (self._header_names.expected_instance, call.head.instance),
            (self._header_names.caller_service, call.head.caller_service),
        )
        names = {name for name, _ in own} | {CALL_HEADER}
        passed = without(end_to_end(call.request.headers), names)
        return Request(
            method=call.request.method,
            target=call.request.target,
            headers=passed + own,
            body=call.request.body,
        )

    def _belongs(self, response: Response, call: Call) -> bool:
        return response.header(self._header_names.attempt) == call.head.attempt

    def _judge(self, response: Response) -> Reply:
        """Tell what a target's whole response stands for."""
        if response.header(self._header_names.not_executed) is not None:
            instance = response.header(self._header_names.instance) or ''
            misdirected = response.status == _MISDIRECTED
            reason = RefusedFor.OTHER_TARGET if misdirected else RefusedFor.NONE
            detail = f'status {response.status} of {instance}'
            return bare_reply(Ending.TURNED_AWAY, detail, reason)
        if response.status == _MISDIRECTED:
            return bare_reply(
                Ending.TURNED_AWAY, 'status 421', RefusedFor.OTHER_TARGET
            )
        signed = response.header(self._header_names.signature) is not None
        encoded = response.header('content-encoding') is not None
        if response.status in _PROMISES:
            return bare_reply(Ending.UNKNOWN, f'a bare {response.status}')
        if encoded or (response.status in _SUCCESS and not signed):
            return bare_reply(Ending.UNKNOWN, 'the answer is not whole')
        passed = Response(
            status=response.status,
            reason=response.reason,
            headers=without(
                end_to_end(response.headers),
                {self._header_names.load, ANSWER_HEADER},
            ),
            body=response.body,
        )
        return Reply(head=AnswerHead(ending=Ending.ANSWERED), response=passed)


def without(headers: Headers, names: set[str]) -> Headers:
    """Return the headers but those of ``names``."""
    return tuple(pair for pair in headers if pair[0] not in names)
