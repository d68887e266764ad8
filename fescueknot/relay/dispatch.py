"""Sends calls to the target on this host and classifies its answers."""

import abc
import math

import msgspec

from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.encoding import end_to_end
from fescueknot.httpio.errors import (
    AnswerLostError,
    NotListeningError,
    NotSentError,
)
from fescueknot.httpio.late_limits import late_limit
from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address
from fescueknot.relay.announcement import read_announcement
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
    reply_without_response,
)
from fescueknot.relay.target_figures import read_figures
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000
_MISDIRECTED_STATUS = 421
# Callers read these statuses as "has not run"; only an answer with the
# not_executed header states that.
_NOT_RUN_STATUSES = frozenset((408, 429, 503))
_SUCCESS_STATUSES = range(200, 300)
# The target may have dropped a connection that was idle for longer than this.
# Calls that must not run twice use recently active connections only.
_MAX_IDLE_S = 4.0
_MAX_IDLE_AT_MOST_ONCE_S = 1.0
_TARGET_CLIENT = ClientSettings(
    connect_timeout_s=0.5, max_idle_s=_MAX_IDLE_S, max_idle_connections=64
)


class Dispatcher(abc.ABC):
    """Sender of calls to one target."""

    @abc.abstractmethod
    async def send(self, call: Call) -> Reply:
        """Send a call once; if cancelled, close the connection."""

    @abc.abstractmethod
    async def is_listening(self) -> bool:
        """Return whether a process listens at the target's address."""


class HttpDispatcher(Dispatcher):
    """Sends calls over HTTP, with the expected instance in a header."""

    def __init__(
        self,
        *,
        address: Address,
        header_names: HeaderNames,
        buffers: BufferBudget | None = None,
    ) -> None:
        self._header_names = header_names
        self._client = Client(
            address=address, settings=_TARGET_CLIENT, buffers=buffers
        )

    @property
    def connections_opened(self) -> int:
        """Return the number of connections opened since the start."""
        return self._client.connections_opened

    def prune(self, now_s: float) -> None:
        """Close connections that exceed the idle limit."""
        self._client.prune(now_s)

    async def is_listening(self) -> bool:
        """Return false only if the host of the target refuses a connection."""
        try:
            await self._client.probe()
        except NotListeningError:
            return False
        except NotSentError:
            # No answer in time: the target may be busy.
            return True
        return True

    async def send(self, call: Call) -> Reply:
        """Send a call once."""
        request = self._request(call)
        max_idle_s = _MAX_IDLE_S
        if not call.head.idempotent:
            max_idle_s = _MAX_IDLE_AT_MOST_ONCE_S
        remaining_s = call.expires_s - running_loop().time()
        margin_s = call.head.answer_margin_ms / _MS_PER_S
        try:
            async with late_limit(remaining_s + margin_s):
                response = await self._client.exchange(
                    request,
                    lambda response: self._is_answer_to(response, call),
                    max_idle_s=max_idle_s,
                )
        except NotSentError as error:
            return reply_without_response(
                Ending.REFUSED, str(error), RefusedFor.DOWN
            )
        except AnswerLostError as error:
            lost = reply_without_response(Ending.UNKNOWN, str(error))
            return msgspec.structs.replace(lost, is_connection_lost=True)
        except TimeoutError:
            return reply_without_response(Ending.UNKNOWN, 'no answer in time')
        reply = self._classify(response)
        if reply.head.refused_for is RefusedFor.OTHER_TARGET:
            return reply
        return msgspec.structs.replace(
            reply,
            announcement=read_announcement(response, self._header_names),
            figures=read_figures(response, self._header_names),
        )

    def _request(self, call: Call) -> Request:
        remaining_s = call.expires_s - running_loop().time()
        node_headers = (
            (
                self._header_names.remaining_ms,
                str(math.ceil(remaining_s * _MS_PER_S)),
            ),
            (self._header_names.expected_instance, call.head.instance),
            (self._header_names.caller_service, call.head.caller_service),
        )
        names = {name for name, _ in node_headers} | {CALL_HEADER}
        passed_on = end_to_end(call.request.headers, names)
        return Request(
            method=call.request.method,
            target=call.request.target,
            headers=passed_on + node_headers,
            body=call.request.body,
        )

    def _is_answer_to(self, response: Response, call: Call) -> bool:
        return response.header(self._header_names.attempt) == call.head.attempt

    def _classify(self, response: Response) -> Reply:
        """Return the reply that corresponds to a complete response."""
        if response.header(self._header_names.not_executed) is not None:
            instance = response.header(self._header_names.instance) or ''
            misdirected = response.status == _MISDIRECTED_STATUS
            refused_for = (
                RefusedFor.OTHER_TARGET if misdirected else RefusedFor.NONE
            )
            detail = f'status {response.status} of {instance}'
            return reply_without_response(
                Ending.TURNED_AWAY, detail, refused_for
            )
        if response.status == _MISDIRECTED_STATUS:
            return reply_without_response(
                Ending.TURNED_AWAY, 'status 421', RefusedFor.OTHER_TARGET
            )
        is_signed = response.header(self._header_names.signature) is not None
        is_encoded = response.header('content-encoding') is not None
        if response.status in _NOT_RUN_STATUSES:
            return reply_without_response(
                Ending.UNKNOWN, f'a bare {response.status}'
            )
        if is_encoded or (
            response.status in _SUCCESS_STATUSES and not is_signed
        ):
            return reply_without_response(
                Ending.UNKNOWN, 'the answer is not whole'
            )
        passed_on = Response(
            status=response.status,
            reason=response.reason,
            headers=end_to_end(
                response.headers, {self._header_names.load, ANSWER_HEADER}
            ),
            body=response.body,
        )
        return Reply(
            head=AnswerHead(ending=Ending.ANSWERED), response=passed_on
        )
