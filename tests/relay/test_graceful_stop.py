"""Requests that arrive while a node stops."""

import asyncio

import pytest

from fescueknot.calls import Importance
from fescueknot.relay.graceful_stop import GracefulStop
from fescueknot.relay.runs import Lineage, Run
from tests.relay.caller_handlers import (
    ANSWERED,
    NO_REPLY,
    FakePeers,
    make_handler,
    make_request,
)
from tests.relay.simulated_loop import run_simulated

_GRACE_S = 6


class _Server:
    """Counts the requests in progress of a handler."""

    def __init__(self):
        self.requests_in_progress = 0
        self.responses_unread = 0
        self.has_unread_requests = False

    def drain(self):
        """Do nothing: there are no connections."""

    def stop_listening(self):
        """Return whether requests are to be read."""
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


class TestUnreadAnswers:
    """Answers that callers have not read to the end."""

    def test_the_node_waits_for_readers(self):
        # Guards against an exit with bytes of answers in its buffers.
        async def scenario():
            node = _StoppingNode(ANSWERED)
            node.server.responses_unread = 1
            loop = asyncio.get_running_loop()
            loop.call_later(4.5, setattr, node.server, 'responses_unread', 0)
            await node.stop
            return loop.time()

        assert 4.5 < run_simulated(scenario) < _GRACE_S

    def test_the_node_waits_for_requests_that_are_not_read(self):
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

    def test_it_stops_within_the_grace_period_all_the_same(self):
        async def scenario():
            node = _StoppingNode(ANSWERED)
            node.server.responses_unread = 1
            await node.stop
            return asyncio.get_running_loop().time()

        assert run_simulated(scenario) < _GRACE_S
