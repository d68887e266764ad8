"""Calls between nodes: encoding of calls and replies."""

import asyncio

import pytest

from fescueknot.calls import Importance
from fescueknot.httpio import connection as connection_module
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


class _FakeGatekeeper:
    """Records calls and returns one reply."""

    def __init__(self, reply):
        self.reply = reply
        self.calls = []

    async def submit(self, call):
        self.calls.append(call)
        return self.reply


def _call(attempt='c1', root='c1', route='r', added_headers=()):
    head = CallHead(
        attempt=attempt,
        instance='i-1',
        started_ms=7,
        idempotent=True,
        route=route,
        lineage=Lineage(root=root, importance=Importance.HIGH, depth=1),
        remaining_ms=0,
        max_wait_ms=9,
        caller_service='desk',
        version=3,
    )
    request = Request(
        method='POST',
        target='/a?b',
        headers=(
            ('host', 'h'),
            (_HEADER_NAMES.attempt, attempt),
            ('x', 'y'),
            *added_headers,
        ),
        body=b'abc',
    )
    expires_s = asyncio.get_running_loop().time() + 5
    return Call(head=head, request=request, expires_s=expires_s)


def _peer_server(gatekeeper):
    handler = PeerHandler(
        gatekeeper=gatekeeper,
        header_names=_HEADER_NAMES,
        on_routes_version=lambda version, host: None,
        updates_by_header={},
    )
    return Server(handler=handler, report_error=lambda error: None)


async def _exchange(reply, **changes):
    gatekeeper = _FakeGatekeeper(reply)
    server = _peer_server(gatekeeper)
    await server.listen('127.0.0.1', 0)
    port = server.port
    node = Address(host='127.0.0.1', port=port)
    sent = _call(**changes)
    received_reply = await PeerNodes(
        header_names=_HEADER_NAMES, observer=RecordingObserver()
    ).send(sent, node)
    return sent, gatekeeper.calls[0], received_reply


class TestTransport:
    """Calls and replies over a connection."""

    def test_a_call_and_its_reply_are_transmitted_completely(self):
        async def scenario():
            reply = Reply(
                head=AnswerHead(limit=6, waiting=2, level_rank=1.5),
                response=Response(status=200, body=b'ok'),
            )
            return await _exchange(reply, attempt='c1.7', root='c1')

        sent, received_call, received_reply = run(scenario)
        assert received_call.head.lineage == sent.head.lineage
        assert received_call.head.attempt == 'c1.7'
        assert 4000 < received_call.head.remaining_ms <= 5000
        assert (received_call.request.target, received_call.request.body) == (
            '/a?b',
            b'abc',
        )
        assert received_call.request.header('x') == 'y'
        assert received_reply.head == AnswerHead(
            limit=6, waiting=2, level_rank=1.5
        )
        assert received_reply.response.body == b'ok'
        assert received_reply.response.headers == ()

    def test_a_root_id_equal_to_the_attempt_id_is_restored(self):
        async def scenario():
            reply = Reply(head=AnswerHead(ending=Ending.UNKNOWN))
            return await _exchange(reply)

        _, received_call, received_reply = run(scenario)
        assert received_call.head.lineage.root == 'c1'
        assert received_reply.head.ending is Ending.UNKNOWN

    def test_a_refusal_is_transmitted_with_its_reason(self):
        async def scenario():
            head = AnswerHead(
                ending=Ending.REFUSED, refused_for=RefusedFor.STOPPING
            )
            return await _exchange(Reply(head=head))

        _, _, received_reply = run(scenario)
        assert received_reply.head.refused_for is RefusedFor.STOPPING
        assert received_reply.response is None


class TestLongHeads:
    """Heads that are as long as those of callers and targets may be.

    Guards against 431 and a lost answer between two nodes, which add a header
    of their own to what the first one has accepted.
    """

    # The head of a caller that keeps to an operator's limit of 128 KiB.
    @pytest.mark.parametrize('header_bytes', [65_400, 65_500, 130_000])
    def test_a_call_arrives(self, header_bytes):
        long_header = ('long', 'x' * header_bytes)

        async def scenario():
            reply = Reply(
                head=AnswerHead(), response=Response(status=200, body=b'ok')
            )
            return await _exchange(reply, added_headers=(long_header,))

        _, received_call, received_reply = run(scenario)
        assert received_reply.head.ending is Ending.ANSWERED
        assert received_call.request.header('long') == long_header[1]

    def test_an_answer_arrives(self):
        # With the limit of the targets' answers, less name and separator.
        long_header = ('long', 'x' * (65_536 - 8))

        async def scenario():
            response = Response(status=200, headers=(long_header,))
            return await _exchange(Reply(head=AnswerHead(), response=response))

        _, _, received_reply = run(scenario)
        assert received_reply.head.ending is Ending.ANSWERED
        assert received_reply.response.headers == (long_header,)


class TestNames:
    """Names that the operator or a target has chosen."""

    # Guards against a handler that fails on every call of a route, and against
    # connections that nobody closes then.
    @pytest.mark.parametrize('name', ['entr\xe9e', '\u0432\u0445\u043e\u0434'])
    def test_they_may_hold_any_letters(self, name):
        async def scenario():
            reply = Reply(
                head=AnswerHead(ending=Ending.TURNED_AWAY, detail=name)
            )
            return await _exchange(reply, route=name)

        _, received_call, received_reply = run(scenario)
        assert received_call.head.route == name
        assert received_reply.head.detail == name


class TestNotSent:
    """Calls that cannot be sent or decoded."""

    def test_a_node_that_accepts_no_connection_is_unreachable(self):
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

        received_reply = run(scenario)
        assert received_reply.head.refused_for is RefusedFor.UNREACHABLE

    def test_a_request_without_a_call_head_is_rejected(self):
        async def scenario():
            handler = PeerHandler(
                gatekeeper=None,
                header_names=_HEADER_NAMES,
                on_routes_version=lambda version, host: None,
                updates_by_header={},
            )
            request = Request(method='GET', target='/')
            return (await handler.answer(request, '')).status

        assert run(scenario) == 400


class TestCrossingCalls:
    """Calls that are on the way when a stopping node closes a connection."""

    def test_the_caller_learns_that_its_call_was_not_read(self, monkeypatch):
        # Guards against an unknown ending, after which a call that must not
        # run twice is not tried elsewhere.
        async def scenario():
            gatekeeper = _FakeGatekeeper(
                Reply(head=AnswerHead(), response=Response(status=200))
            )
            gatekeeper.stopping = True
            server = _peer_server(gatekeeper)
            await server.listen('127.0.0.1', 0)
            nodes = PeerNodes(
                header_names=_HEADER_NAMES, observer=RecordingObserver()
            )
            node = Address(host='127.0.0.1', port=server.port)
            await nodes.send(_call(), node)
            crossing = asyncio.ensure_future(nodes.send(_call(), node))
            await asyncio.sleep(0)
            monkeypatch.setattr(connection_module, 'has_input', _sees_nothing)
            server.stop_listening()
            reply = await crossing
            return reply.head, len(gatekeeper.calls)

        head, sent = run(scenario)
        assert (head.ending, head.refused_for) == (
            Ending.REFUSED,
            RefusedFor.STOPPING,
        )
        assert sent == 1


def _sees_nothing(transport):
    """Tell that no bytes have arrived, as they are still on the way."""
    return False
