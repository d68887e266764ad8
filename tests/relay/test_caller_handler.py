"""The caller's node: what is asked of which target, and what is answered."""

import asyncio

import msgspec
import pytest

from fescueknot.calls import Importance
from fescueknot.randomness import seeded
from fescueknot.relay.messages import (
    Ending,
    RefusedFor,
)
from fescueknot.routes.in_force import RoutesInForce
from tests.relay.caller_handlers import (
    ANSWERED,
    AWAY,
    FAILED,
    REFUSED,
    SILENT,
    UNKNOWN,
    Peers,
    origin_of,
    reply_of,
    request_of,
)
from tests.relay.fakes import run


def _ask(*replies, request=None, **changes):
    async def scenario():
        peers = Peers(replies)
        caller_handler = origin_of(peers, **changes)
        response = await caller_handler.answer(
            request or request_of(), '127.0.0.1'
        )
        return response, peers

    return run(scenario)


class TestOutdatedEntries:
    """Refusals that show the directory to be out of date."""

    @pytest.mark.parametrize(
        ('refused_for', 'hurries'),
        [
            (RefusedFor.OTHER_TARGET, [1]),
            (RefusedFor.NO_TARGET, [1]),
            (RefusedFor.OVERLOAD, []),
            (RefusedFor.LEAVING, []),
        ],
    )
    def test_they_make_the_node_read_on(self, refused_for, hurries):
        refused = reply_of(Ending.REFUSED, refused_for=refused_for)
        _, peers = _ask(refused, ANSWERED)
        assert peers.outdated == hurries


class TestIdempotent:
    """Idempotent."""

    @pytest.mark.parametrize(
        ('replies', 'status'),
        [
            ((ANSWERED,), 200),
            ((REFUSED, ANSWERED), 200),
            ((REFUSED, REFUSED, REFUSED, ANSWERED), 200),
            ((AWAY, ANSWERED), 200),
            ((UNKNOWN, ANSWERED), 200),
            ((FAILED, ANSWERED), 200),
            ((AWAY, AWAY), 503),
            ((UNKNOWN, UNKNOWN), 502),
            ((FAILED, UNKNOWN), 500),
            ((UNKNOWN, REFUSED, REFUSED, REFUSED), 502),
            ((REFUSED, REFUSED, REFUSED, REFUSED), 503),
        ],
    )
    def test_the_answer_follows_from_the_replies(self, replies, status):
        response, peers = _ask(*replies)
        assert response.status == status
        assert not peers.replies

    def test_a_tree_that_failed_below_is_not_begun_again(self):
        head = msgspec.structs.replace(FAILED.head, failed_below=True)
        failed = msgspec.structs.replace(FAILED, head=head)
        response, peers = _ask(failed, ANSWERED)
        assert (response.status, len(peers.calls)) == (500, 1)

    def test_no_target_is_asked_twice(self):
        _, peers = _ask(REFUSED, REFUSED, REFUSED, ANSWERED)
        asked = [call.head.instance for call in peers.calls]
        assert len(set(asked)) == 4

    def test_repeats_stop_at_the_budget(self):
        response, peers = _ask(AWAY, ANSWERED, tokens=0)
        assert (response.status, len(peers.calls)) == (503, 1)

    def test_a_repeat_says_that_it_is_one(self):
        _, peers = _ask(UNKNOWN, ANSWERED)
        assert [call.head.lineage.repeat for call in peers.calls] == [
            False,
            True,
        ]


class TestAtMostOnce:
    """At most once."""

    @pytest.mark.parametrize(
        ('replies', 'status'),
        [
            ((ANSWERED,), 200),
            ((FAILED,), 500),
            ((UNKNOWN,), 502),
            ((REFUSED, ANSWERED), 200),
            ((AWAY, ANSWERED), 200),
            ((REFUSED, UNKNOWN), 502),
            ((AWAY, REFUSED, REFUSED, REFUSED), 503),
        ],
    )
    def test_what_may_have_run_is_never_sent_again(self, replies, status):
        response, peers = _ask(*replies, idempotent=False)
        assert response.status == status
        assert not peers.replies

    @pytest.mark.parametrize('last', [UNKNOWN, FAILED, SILENT])
    def test_no_promise_after_it_may_have_run(self, last):
        response, _ = _ask(REFUSED, last, idempotent=False, timeout_s=0.05)
        assert response.status in {500, 502, 504}


class TestTime:
    """Time."""

    def test_a_silent_target_ends_at_the_timeout(self):
        response, _ = _ask(SILENT, timeout_s=0.02)
        assert response.status == 504

    def test_the_callers_deadline_goes_before_the_timeout(self):
        response, peers = _ask(
            SILENT, request=request_of(deadline='20'), timeout_s=50
        )
        assert response.status == 504
        assert len(peers.calls) == 1


class TestRefusals:
    """Refusals."""

    def test_no_configuration_means_come_back(self):
        async def scenario():
            caller_handler = origin_of(Peers(()))
            caller_handler._routes = RoutesInForce(rng=seeded(seed=1))
            return await caller_handler.answer(request_of(), '127.0.0.1')

        response = run(scenario)
        assert response.status == 503
        assert float(response.header('retry-after')) > 0

    def test_a_path_without_route_is_not_found(self):
        response, _ = _ask(request=request_of('/b/1'))
        assert response.status == 404

    def test_without_targets_it_is_told_to_come_back(self):
        response, _ = _ask(targets=0)
        assert response.status == 503
        assert float(response.header('retry-after')) > 0

    def test_the_time_to_come_back_leaves_time_to_answer(self):
        response, _ = _ask(targets=0, request=request_of(deadline='300'))
        assert float(response.header('retry-after')) <= 0.1

    def test_a_root_that_would_be_shed_below_is_refused_at_once(self):
        async def scenario():
            peers = Peers((ANSWERED,))
            caller_handler = origin_of(peers, importance=Importance.NORMAL)
            now_s = asyncio.get_running_loop().time()
            caller_handler._levels.note('r', 'i-1', 1.0, now_s)
            response = await caller_handler.answer(request_of(), '127.0.0.1')
            return response.status, peers.calls

        assert run(scenario) == (503, [])

    def test_the_most_important_roots_are_not(self):
        async def scenario():
            peers = Peers((ANSWERED,))
            caller_handler = origin_of(peers, importance=Importance.CRITICAL)
            now_s = asyncio.get_running_loop().time()
            caller_handler._levels.note('r', 'i-1', 0.5, now_s)
            response = await caller_handler.answer(request_of(), '127.0.0.1')
            return response.status

        assert run(scenario) == 200
