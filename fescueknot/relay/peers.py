"""Requests between a node and its peers, the other nodes."""

import asyncio
import types
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.gossip.documents import Transfer
from fescueknot.httpio.buffer_budget import BufferBudget
from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import AnswerLostError, NotSentError
from fescueknot.httpio.handler import Handler
from fescueknot.httpio.late_limits import late_limit
from fescueknot.httpio.messages import Limits, Request, Response
from fescueknot.identity import Address
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.header_names import (
    ANSWER_HEADER,
    CALL_HEADER,
    ROUTES_HEADER,
    TARGETS_HEADER,
    HeaderNames,
)
from fescueknot.relay.messages import (
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
    reply_without_response,
)
from fescueknot.relay.observer import Observer
from fescueknot.relay.peer_codec import (
    decode_reply,
    encode_call,
    encode_reply,
    restore_attempt,
)
from fescueknot.routes.updates import RoutesUpdate
from fescueknot.running_loop import running_loop

_MS_PER_S = 1000
# Between nodes, heads may be longer than those of callers and targets: a node
# adds its own header, and the operator sets the limit of callers.
_HEAD_BYTES = 1_048_576
_PEER_CLIENT = ClientSettings(
    connect_timeout_s=0.4,
    max_idle_s=20,
    max_idle_connections=24,
    head_bytes=_HEAD_BYTES,
)
# Must exceed the idle time of the peer client (20 s): the client closes idle
# connections first.
_PEER_LIMITS = Limits(idle_timeout_s=30, header_bytes=_HEAD_BYTES)
_FETCH_TIMEOUT_S = 1.0
_MAX_VERSION_DIGITS = 19
_FETCH_ERRORS = (
    NotSentError,
    AnswerLostError,
    TimeoutError,
    *DECODE_ERRORS,
)
_Update = TypeVar('_Update')


class PeerNodes:
    """Client for other nodes: sends calls and fetches updates."""

    def __init__(
        self,
        *,
        header_names: HeaderNames,
        observer: Observer,
        buffers: BufferBudget | None = None,
    ) -> None:
        self._observer = observer
        self._buffers = buffers
        self._replaced = {CALL_HEADER, ANSWER_HEADER, header_names.remaining_ms}
        self._clients: dict[Address, Client] = {}

    async def send(self, call: Call, node: Address) -> Reply:
        """Send a call once; its ending is unknown if the answer is lost."""
        try:
            response = await self._client(node).exchange(
                encode_call(call, self._replaced)
            )
        except NotSentError as error:
            return reply_without_response(
                Ending.REFUSED, str(error), RefusedFor.UNREACHABLE
            )
        except AnswerLostError as error:
            return reply_without_response(Ending.UNKNOWN, str(error))
        except asyncio.CancelledError:
            if call.expires_s <= running_loop().time():
                # A device on the path, such as a firewall, may have dropped
                # the state of all connections to the node.
                self._client(node).close()
            raise
        return decode_reply(response)

    async def routes_after(
        self, node: Address, version: int
    ) -> RoutesUpdate | None:
        """Return the routes newer than a version, ``None`` on failure."""
        return await self._fetch(node, (ROUTES_HEADER, version), RoutesUpdate)

    async def targets_after(
        self, node: Address, revision: int
    ) -> Transfer | None:
        """Return the entries newer than a revision, ``None`` on failure."""
        return await self._fetch(node, (TARGETS_HEADER, revision), Transfer)

    async def probe(self, node: Address) -> bool:
        """Return whether a node accepts connections."""
        try:
            await self._client(node).probe()
        except NotSentError:
            return False
        return True

    def prune(self) -> None:
        """Close connections that exceed the idle limit."""
        now_s = running_loop().time()
        for client in self._clients.values():
            client.prune(now_s)

    async def _fetch(
        self,
        node: Address,
        request_header: tuple[str, int],
        update_type: type[_Update],
    ) -> _Update | None:
        name, after = request_header
        request = Request(
            method='GET',
            target='/',
            headers=(('host', str(node)), (name, str(after))),
        )
        try:
            async with late_limit(_FETCH_TIMEOUT_S):
                response = await self._client(node).exchange(request)
            return msgspec.json.decode(response.body, type=update_type)
        except _FETCH_ERRORS as error:
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
            client = Client(
                address=node, settings=_PEER_CLIENT, buffers=self._buffers
            )
            self._clients[node] = client
        return client


class PeerHandler(Handler):
    """Handles calls to the target on this host and requests for updates.

    ``on_routes_version`` receives the version of the routes at a calling node
    and the host of that node. ``updates_by_header`` maps the name of a request
    header to the function that returns the updates after the version or
    revision in that header. Other nodes close a connection as a whole.
    """

    may_half_close = False

    def __init__(
        self,
        *,
        gatekeeper: Gatekeeper,
        header_names: HeaderNames,
        on_routes_version: Callable[[int, str], None],
        updates_by_header: Mapping[str, Callable[[int], msgspec.Struct]],
    ) -> None:
        self._header_names = header_names
        self._gatekeeper = gatekeeper
        self._on_routes_version = on_routes_version
        self._updates_by_header = types.MappingProxyType(
            dict(updates_by_header)
        )

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer a call or a request for updates."""
        text = request.header(CALL_HEADER)
        if text is None:
            return self._updates_response(request)
        try:
            head = msgspec.json.decode(text, type=CallHead)
        except DECODE_ERRORS:
            return Response(status=400)
        attempt = request.header(self._header_names.attempt) or ''
        head = restore_attempt(head, attempt)
        self._on_routes_version(head.version, peer)
        now_s = running_loop().time()
        call = Call(
            head=head,
            request=request,
            expires_s=now_s + head.remaining_ms / _MS_PER_S,
        )
        reply = await self._gatekeeper.submit(call)
        return encode_reply(reply)

    def limits(self) -> Limits:
        """Return wide limits; callers' nodes have applied the narrow ones."""
        return _PEER_LIMITS

    @property
    def closing_notice(self) -> Response | None:
        """Tell nodes whose calls cross the end of this node to go elsewhere."""
        if not self._gatekeeper.stopping:
            return None
        return encode_reply(
            reply_without_response(
                Ending.REFUSED, 'the call was not read', RefusedFor.STOPPING
            )
        )

    def _updates_response(self, request: Request) -> Response:
        """Return the updates after the version or revision in the header."""
        for name, update_after in self._updates_by_header.items():
            version = request.header(name) or ''
            if version.isdecimal() and len(version) <= _MAX_VERSION_DIGITS:
                body = msgspec.json.encode(update_after(int(version)))
                return Response(status=200, body=body)
        return Response(status=400)
