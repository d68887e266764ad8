"""Requests that arrive while a node stops."""

import asyncio

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.httpio.messages import Response
from fescueknot.identity import Address
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.messages import AnswerHead, Ending, Reply
from fescueknot.relay.runs import Lineage, Run
from tests.relay.caller_handlers import (
    ANSWERED,
    HEADER_NAMES,
    NO_REPLY,
    FakePeers,
    make_handler,
    make_request,
)
from tests.relay.fakes import make_call
from tests.relay.simulated_loop import run_simulated

_GRACE_S = 6
# No work of callers is taken after the first time, no calls after the second.
_CALLERS_LEFT_S = 2.1
_INTAKE_ENDS_S = 4.2
# Work that is sent after this time is not to be broken off.
_LATE_REQUEST_S = 3
# The way of a call to its target, and that of the answer.
_ONE_WAY_S = 0.08
_TOO_LATE = Response(
    status=504, headers=((HEADER_NAMES.attempt, 'c'), ('from', 'target'))
)


class _Server:
    """Counts the requests in progress of a handler."""

    def __init__(self):
        self.requests_in_progress = 0
        self.responses_unread = 0
        self.requests_unfinished = 0
        self.has_unread_requests = False
        self.stopped_at_s = None
        self.last_stopped_at_s = None

    def drain(self):
        """Do nothing: there are no connections."""

    def stop_listening(self):
        """Return whether requests are to be read."""
        self.last_stopped_at_s = asyncio.get_running_loop().time()
        if self.stopped_at_s is None:
            self.stopped_at_s = self.last_stopped_at_s
        return self.has_unread_requests


class _Gatekeeper:
    stopping = False


class _StoppingNode:
    def __init__(self, *replies, **route):
        self.peers = FakePeers(replies)
        self.handler = make_handler(self.peers, **route)
        self.server = _Server()
        self.stop = asyncio.ensure_future(
            GracefulStop(
                caller_server=self.server,
                peer_server=_Server(),
                caller_handler=self.handler,
                gatekeeper=_Gatekeeper(),
            ).run(_GRACE_S)
        )

    async def call_of_target(self):
        """Return the answer to a call of a run, ``None`` if it is cut off."""
        loop = asyncio.get_running_loop()
        self.handler._runs.begin(
            Run(
                attempt='run',
                route='parent',
                lineage=Lineage(root='run', importance=Importance.NORMAL),
                expires_s=loop.time() + 20,
            )
        )
        request = make_request(deadline='20000', attempt='run.1')
        self.server.requests_in_progress += 1
        answer = asyncio.ensure_future(self.handler.answer(request, 'peer'))
        await asyncio.wait(
            (answer, self.stop), return_when=asyncio.FIRST_COMPLETED
        )
        self.server.requests_in_progress -= 1
        return answer.result() if answer.done() else None


def _late_call(after_s, *replies, **route):
    """Return the answer to a call ``after_s`` after the stop began."""

    async def scenario():
        node = _StoppingNode(*replies, **route)
        # Another request keeps the node busy until its grace period ends.
        node.server.requests_in_progress += 1
        await asyncio.sleep(after_s)
        response = await node.call_of_target()
        return response, len(node.peers.calls)

    return run_simulated(scenario)


class TestLateCalls:
    """Calls of the target that arrive late in the grace period."""

    # Guards against a call that is sent on and cut off without an answer.
    @pytest.mark.parametrize('after_s', [2.9, 3.5, 4, 4.5, 5])
    def test_each_gets_an_answer(self, after_s):
        response, _ = _late_call(after_s, NO_REPLY)
        assert response is not None
        assert response.status in {503, 504}

    # Guards against work that can't be repeated and ends with its node.
    @pytest.mark.parametrize('after_s', [2.9, 4])
    def test_one_that_must_not_run_twice_is_not_sent(self, after_s):
        response, sent = _late_call(after_s, ANSWERED, idempotent=False)
        assert (response.status, sent) == (503, 0)

    def test_one_that_can_be_repeated_is_sent_while_there_is_time(self):
        response, sent = _late_call(3.5, ANSWERED)
        assert (response.status, sent) == (200, 1)

    def test_none_is_sent_in_the_end(self):
        response, sent = _late_call(4.5, ANSWERED)
        assert (response.status, sent) == (503, 0)

    def test_all_are_sent_in_the_beginning(self):
        response, sent = _late_call(1, ANSWERED, idempotent=False)
        assert (response.status, sent) == (200, 1)


class _PeersOfBusyTarget:
    """The target works until the deadline that it is told, then answers."""

    def __init__(self):
        self.sent = 0

    async def send(self, call, node):
        self.sent += 1
        loop = asyncio.get_running_loop()
        await asyncio.sleep(call.expires_s - loop.time() + 2 * _ONE_WAY_S)
        return Reply(
            head=AnswerHead(ending=Ending.ANSWERED), response=_TOO_LATE
        )


class _ClientOfBusyTarget:
    """Its target works until the deadline that it is told, then answers."""

    async def exchange(self, request, accepts, *, max_idle_s):
        left_ms = int(request.header(HEADER_NAMES.remaining_ms))
        await asyncio.sleep(left_ms / 1000 + 2 * _ONE_WAY_S)
        return _TOO_LATE


class TestDeadlineOfLateCalls:
    """Calls whose targets work on until the node has to end."""

    # Guards against work that a node breaks off with an answer of its own, as
    # its target is told the moment at which the node stops to wait.
    @pytest.mark.parametrize('after_s', [2.9, 3.5, 4])
    def test_the_answer_of_the_target_comes_back(self, after_s):
        async def scenario():
            node = _StoppingNode()
            peers = _PeersOfBusyTarget()
            node.handler._sender._peers = peers
            node.server.requests_in_progress += 1
            await asyncio.sleep(after_s)
            response = await node.call_of_target()
            return response.header('from'), peers.sent

        source, sent = run_simulated(scenario)
        assert source == 'target'
        # No retry of a call whose time is over.
        assert sent == 1

    # Guards against the same at the node of the target.
    def test_the_node_of_the_target_waits_for_it(self):
        async def scenario():
            dispatcher = HttpDispatcher(
                address=Address(host='10.0.0.1', port=1),
                header_names=HEADER_NAMES,
            )
            dispatcher._client = _ClientOfBusyTarget()
            call = make_call('c', answer_margin_ms=250)
            expires_s = asyncio.get_running_loop().time() + 1
            return await dispatcher.send(
                msgspec.structs.replace(call, expires_s=expires_s)
            )

        assert run_simulated(scenario).head.ending is Ending.ANSWERED

    # Guards against more time than the caller of a call has left.
    def test_a_target_is_told_no_later_deadline_than_its_caller_s(self):
        async def scenario():
            node = _StoppingNode(NO_REPLY)
            node.server.requests_in_progress += 1
            await asyncio.sleep(3)
            request = make_request(deadline='500', attempt='run.1')
            node.handler._runs._downstream_scores['r'] = 9
            response = await node.handler.answer(request, 'peer')
            (call,) = node.peers.calls
            return response.status, call.expires_s

        status, expires_s = run_simulated(scenario)
        assert (status, expires_s) == (504, pytest.approx(3.5))


class TestEarlierRequests:
    """Requests that were taken before the stop or early in it."""

    # Guards against a connection that ends without an answer, for instance as
    # the target's answer was lost.
    @pytest.mark.parametrize('after_s', [0, 2])
    def test_one_that_has_no_answer_in_the_end_gets_one(self, after_s):
        response, sent = _late_call(after_s, NO_REPLY, idempotent=False)
        assert response is not None
        assert (response.status, sent) == (504, 1)

    # Guards against more time than the caller has.
    def test_an_earlier_deadline_holds(self):
        async def scenario():
            node = _StoppingNode(NO_REPLY)
            node.server.requests_in_progress += 1
            request = make_request(deadline='3500')
            response = await node.handler.answer(request, 'peer')
            return response.status, asyncio.get_running_loop().time()

        assert run_simulated(scenario) == (504, pytest.approx(3.5))


# How late a busy process sees SIGTERM.
@pytest.mark.parametrize('late_s', [0, 0.2, 0.4, 0.85])
class TestLateSignal:
    """Requests of a node that waits for a processor as its stop begins."""

    # Guards against work that is taken late and broken off by the node.
    def test_late_work_that_must_not_run_twice_is_not_taken(self, late_s):
        response, sent = _late_call(
            _LATE_REQUEST_S - late_s, NO_REPLY, idempotent=False
        )
        assert (response.status, sent) == (503, 0)

    # Guards against an answer that comes sooner than the end requires, and
    # against one that the kill prevents.
    def test_work_is_broken_off_at_the_end_of_the_grace_period(self, late_s):
        async def scenario():
            node = _StoppingNode(NO_REPLY)
            await node.call_of_target()
            return asyncio.get_running_loop().time()

        ended_s = late_s + run_simulated(scenario)
        assert _GRACE_S * 5 / 6 <= ended_s < _GRACE_S


async def _server_of_busy_node():
    """Return the server of a node that stopped with a request in progress."""
    node = _StoppingNode(ANSWERED)
    node.server.requests_in_progress = 1
    await node.stop
    return node.server


class TestListening:
    """When a node that stops accepts no connections any more."""

    def test_it_ends_when_nothing_more_is_taken(self):
        # Guards against connections that the kernel accepts for a process
        # which has no time left to read them, as it waits for a processor.
        server = run_simulated(_server_of_busy_node)
        assert server.stopped_at_s <= _INTAKE_ENDS_S

    def test_connections_that_become_idle_later_are_closed(self):
        server = run_simulated(_server_of_busy_node)
        assert server.last_stopped_at_s > _INTAKE_ENDS_S

    def test_calls_of_the_target_are_taken_before(self):
        server = run_simulated(_server_of_busy_node)
        assert server.stopped_at_s > _CALLERS_LEFT_S


@pytest.mark.parametrize(
    'unfinished', ['responses_unread', 'requests_unfinished']
)
class TestUnfinishedMessages:
    """Answers not read to the end, requests received in part."""

    def test_the_node_waits_for_the_rest(self, unfinished):
        # Guards against an exit with bytes of answers in its buffers, or, as
        # idle, in the middle of an upload.
        async def scenario():
            node = _StoppingNode(ANSWERED)
            setattr(node.server, unfinished, 1)
            loop = asyncio.get_running_loop()
            loop.call_later(4.5, setattr, node.server, unfinished, 0)
            await node.stop
            return loop.time()

        assert 4.5 < run_simulated(scenario) < _GRACE_S

    def test_it_stops_within_the_grace_period_all_the_same(self, unfinished):
        async def scenario():
            node = _StoppingNode(ANSWERED)
            setattr(node.server, unfinished, 1)
            await node.stop
            return asyncio.get_running_loop().time()

        assert run_simulated(scenario) < _GRACE_S


class TestUnreadRequests:
    """Requests that lie in the kernel."""

    def test_the_node_waits_for_them(self):
        # Guards against an exit with requests in the kernel.
        async def scenario():
            node = _StoppingNode(ANSWERED)
            node.server.has_unread_requests = True
            loop = asyncio.get_running_loop()
            loop.call_later(
                3.5, setattr, node.server, 'has_unread_requests', False
            )
            await node.stop
            return loop.time()

        assert 3.5 < run_simulated(scenario) < _GRACE_S
