"""Calls between nodes: the sending side and the receiving side."""

import asyncio
import types
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec

from fescueknot.gossip.documents import Transfer
from fescueknot.httpio.client import Client, ClientSettings
from fescueknot.httpio.encoding import end_to_end
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.identity import Address
from fescueknot.relay.dispatch import without
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.header_names import (
    ANSWER_HEADER,
    CALL_HEADER,
    ROUTES_HEADER,
    TARGETS_HEADER,
    HeaderNames,
)
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
    bare_reply,
)
from fescueknot.relay.observer import Observer
from fescueknot.routes.updates import RoutesUpdate

_MS_PER_S = 1000
_PEER_CLIENT = ClientSettings(connect_timeout_s=0.4, idle_s=20, most_idle=24)
# Callers' nodes keep idle connections for less.
_PEER_LIMITS = Limits(idle_timeout_s=30)
_REFUSAL_STATUS = 503
_UNKNOWN_STATUS = 502
_NEWS_TIMEOUT_S = 1.0
_NO_NEWS = (
    NotSentError,
    AnswerLostError,
    TimeoutError,
    msgspec.MsgspecError,
    UnicodeError,
)
_News = TypeVar('_News')


class PeerNodes:
    """Sends calls to the nodes beside other targets."""

    def __init__(
        self, *, header_names: HeaderNames, observer: Observer
    ) -> None:
        self._observer = observer
        self._replaced = {CALL_HEADER, ANSWER_HEADER, header_names.remaining_ms}
        self._clients: dict[Address, Client] = {}

    async def send(self, call: Call, node: Address) -> Reply:
        """Send a call once; a lost answer leaves its end unknown."""
        try:
            response = await self._client(node).exchange(
                _encoded(call, self._replaced)
            )
        except NotSentError as error:
            return bare_reply(
                Ending.REFUSED, str(error), RefusedFor.UNREACHABLE
            )
        except AnswerLostError as error:
            return bare_reply(Ending.UNKNOWN, str(error))
        except asyncio.CancelledError:
            if call.expires_s <= asyncio.get_running_loop().time():
                # Something between may have lost track of all connections.
                self._client(node).close()
            raise
        return _decoded(response)

    async def routes_after(
        self, node: Address, version: int
    ) -> RoutesUpdate | None:
        """Return the routes that came later, ``None`` without an answer."""
        return await self._ask(node, (ROUTES_HEADER, version), RoutesUpdate)

    async def targets_after(
        self, node: Address, revision: int
    ) -> Transfer | None:
        """Return the entries that came later, ``None`` without an answer."""
        return await self._ask(node, (TARGETS_HEADER, revision), Transfer)

    async def probe(self, node: Address) -> bool:
        """Tell whether a node takes connections."""
        try:
            await self._client(node).probe()
        except NotSentError:
            return False
        return True

    def prune(self) -> None:
        """Close connections that were idle too long."""
        now_s = asyncio.get_running_loop().time()
        for client in self._clients.values():
            client.prune(now_s)

    async def _ask(
        self, node: Address, wanted: tuple[str, int], kind: type[_News]
    ) -> _News | None:
        name, after = wanted
        request = Request(
            method='GET',
            target='/',
            headers=(('host', str(node)), (name, str(after))),
        )
        try:
            response = await asyncio.wait_for(
                self._client(node).exchange(request), _NEWS_TIMEOUT_S
            )
            return msgspec.json.decode(response.body, type=kind)
        except _NO_NEWS as error:
            self._observer.note(
                'news.not_fetched',
                source=str(node),
                wanted=name,
                error=repr(error),
            )
            return None

    def _client(self, node: Address) -> Client:
        client = self._clients.get(node)
        if client is None:
            client = Client(address=node, settings=_PEER_CLIENT)
            self._clients[node] = client
        return client


class PeerHandler(Handler):
    """Takes calls of other nodes to the gate of this host's target.

    ``updates_after`` tells, by the header that asks for it, what came after a
    version.
    """

    def __init__(
        self,
        *,
        gatekeeper: Gatekeeper,
        header_names: HeaderNames,
        on_routes_version: Callable[[int, str], None],
        updates_after: Mapping[str, Callable[[int], msgspec.Struct]],
    ) -> None:
        self._header_names = header_names
        self._gatekeeper = gatekeeper
        self._on_routes_version = on_routes_version
        self._updates_after = types.MappingProxyType(dict(updates_after))

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer with the target's response or with what became of it."""
        text = request.header(CALL_HEADER)
        if text is None:
            return self._hand_over(request)
        try:
            head = msgspec.json.decode(text, type=CallHead)
        except msgspec.DecodeError:
            return Response(status=400)
        attempt = request.header(self._header_names.attempt) or ''
        head = _with_attempt(head, attempt)
        self._on_routes_version(head.version, peer)
        now_s = asyncio.get_running_loop().time()
        call = Call(
            head=head,
            request=request,
            expires_s=now_s + head.remaining_ms / _MS_PER_S,
        )
        reply = await self._gatekeeper.run(call)
        return _as_response(reply)

    def limits(self) -> Limits:
        """Return wide limits: callers' nodes have checked already."""
        return _PEER_LIMITS

    def _hand_over(self, request: Request) -> Response:
        """Return what came after the version that is asked for."""
        for name, after in self._updates_after.items():
            version = request.header(name) or ''
            if version.isdecimal():
                body = msgspec.json.encode(after(int(version)))
                return Response(status=200, body=body)
        return Response(status=400)


def _with_attempt(head: CallHead, attempt: str) -> CallHead:
    """Return the head as it was before it was encoded."""
    lineage = head.lineage
    if not lineage.root:
        lineage = msgspec.structs.replace(lineage, root=attempt)
    return msgspec.structs.replace(head, attempt=attempt, lineage=lineage)


def _encoded(call: Call, replaced: set[str]) -> Request:
    """Return the request of a call; the attempt isn't said twice."""
    left_s = call.expires_s - asyncio.get_running_loop().time()
    lineage = call.head.lineage
    if lineage.root == call.head.attempt:
        lineage = msgspec.structs.replace(lineage, root='')
    head = msgspec.structs.replace(
        call.head,
        attempt='',
        lineage=lineage,
        remaining_ms=max(0, int(left_s * _MS_PER_S)),
    )
    kept = without(end_to_end(call.request.headers), replaced)
    value = msgspec.json.encode(head).decode()
    return Request(
        method=call.request.method,
        target=call.request.target,
        headers=((CALL_HEADER, value), *kept),
        body=call.request.body,
    )


def _decoded(response: Response) -> Reply:
    text = response.header(ANSWER_HEADER)
    try:
        head = msgspec.json.decode(text or '', type=AnswerHead)
    except msgspec.DecodeError:
        return bare_reply(Ending.UNKNOWN, f'status {response.status} of a node')
    if head.ending is not Ending.ANSWERED:
        return Reply(head=head)
    passed = Response(
        status=response.status,
        reason=response.reason,
        headers=without(end_to_end(response.headers), {ANSWER_HEADER}),
        body=response.body,
    )
    return Reply(head=head, response=passed)


def _as_response(reply: Reply) -> Response:
    pair = (ANSWER_HEADER, msgspec.json.encode(reply.head).decode())
    if reply.response is None:
        unknown = reply.head.ending is Ending.UNKNOWN
        status = _UNKNOWN_STATUS if unknown else _REFUSAL_STATUS
        return Response(status=status, headers=(pair,))
    return msgspec.structs.replace(
        reply.response, headers=(pair, *reply.response.headers)
    )
