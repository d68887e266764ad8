"""Calls between nodes: what is said comes across whole, and in few bytes."""

import asyncio

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Request, Response
from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.peers import PeerHandler, PeerNodes
from fescueknot.relay.runs import Lineage
from tests.relay.fakes import RecordingObserver, run

_HEADER_NAMES = HeaderNames()


class _Keeper:
    """Stands for the gate: keeps calls, gives one reply."""

    def __init__(self, reply):
        self.reply = reply
        self.calls = []

    async def run(self, call):
        self.calls.append(call)
        return self.reply


def _call(attempt='c1', root='c1'):
    head = CallHead(
        attempt=attempt,
        instance='i-1',
        started_ms=7,
        idempotent=True,
        route='r',
        lineage=Lineage(root=root, importance=Importance.HIGH, depth=1),
        remaining_ms=0,
        patience_ms=9,
        caller_service='desk',
        version=3,
    )
    request = Request(
        method='POST',
        target='/a?b',
        headers=(('host', 'h'), (_HEADER_NAMES.attempt, attempt), ('x', 'y')),
        body=b'abc',
    )
    expires_s = asyncio.get_running_loop().time() + 5
    return Call(head=head, request=request, expires_s=expires_s)


async def _exchange(reply, **changes):
    keeper = _Keeper(reply)
    handler = PeerHandler(
        gatekeeper=keeper,
        header_names=_HEADER_NAMES,
        on_routes_version=lambda version, host: None,
        updates_after={},
    )
    server = Server(handler=handler, report=lambda error: None)
    await server.listen('127.0.0.1', 0)
    port = server.port
    node = Address(host='127.0.0.1', port=port)
    sent = _call(**changes)
    found = await PeerNodes(
        header_names=_HEADER_NAMES, observer=RecordingObserver()
    ).send(sent, node)
    return sent, keeper.calls[0], found


class TestAcross:
    """Across."""

    def test_a_call_comes_across_whole(self):
        async def scenario():
            reply = Reply(
                head=AnswerHead(limit=6, waiting=2, level_rank=1.5),
                response=Response(status=200, body=b'ok'),
            )
            return await _exchange(reply, attempt='c1.7', root='c1')

        sent, got, found = run(scenario)
        assert got.head.lineage == sent.head.lineage
        assert got.head.attempt == 'c1.7'
        assert 4000 < got.head.remaining_ms <= 5000
        assert (got.request.target, got.request.body) == ('/a?b', b'abc')
        assert got.request.header('x') == 'y'
        assert found.head == AnswerHead(limit=6, waiting=2, level_rank=1.5)
        assert found.response.body == b'ok'
        assert found.response.headers == ()

    def test_a_root_that_is_the_attempt_itself_comes_across(self):
        async def scenario():
            reply = Reply(head=AnswerHead(ending=Ending.UNKNOWN))
            return await _exchange(reply)

        _, got, found = run(scenario)
        assert got.head.lineage.root == 'c1'
        assert found.head.ending is Ending.UNKNOWN

    def test_a_refusal_comes_across_with_its_reason(self):
        async def scenario():
            head = AnswerHead(
                ending=Ending.REFUSED, refused_for=RefusedFor.STOPPING
            )
            return await _exchange(Reply(head=head))

        _, _, found = run(scenario)
        assert found.head.refused_for is RefusedFor.STOPPING
        assert found.response is None


class TestNotSent:
    """Not sent."""

    def test_a_node_that_takes_no_connection_is_unreachable(self):
        async def scenario():
            listener = await asyncio.start_server(
                lambda reader, writer: None, '127.0.0.1', 0
            )
            port = listener.sockets[0].getsockname()[1]
            listener.close()
            await listener.wait_closed()
            peers = PeerNodes(
                header_names=_HEADER_NAMES, observer=RecordingObserver()
            )
            node = Address(host='127.0.0.1', port=port)
            return await peers.send(_call(), node)

        found = run(scenario)
        assert found.head.refused_for is RefusedFor.UNREACHABLE

    def test_a_request_without_a_head_is_no_call(self):
        async def scenario():
            handler = PeerHandler(
                gatekeeper=None,
                header_names=_HEADER_NAMES,
                on_routes_version=lambda number, host: None,
                updates_after={},
            )
            request = Request(method='GET', target='/')
            return (await handler.answer(request, '')).status

        assert run(scenario) == 400
