"""Newer routes from the nodes that have them, or from the store."""

import asyncio

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.randomness import seeded
from fescueknot.relay.header_names import ROUTES_HEADER, HeaderNames
from fescueknot.relay.peers import PeerHandler
from fescueknot.relay.routes_fetcher import RoutesFeed
from fescueknot.routes.delta import compute_delta
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Configuration
from fescueknot.routes.updates import RoutesUpdate
from fescueknot.routing.messages import Tier
from tests.relay.fakes import RecordingObserver, run, settle

_NODE = Address(host='10.0.0.1', port=1)
_OTHER = Address(host='10.0.0.2', port=1)


_TIERS = {_NODE: Tier.ELSEWHERE, _OTHER: Tier.FAILURE_DOMAIN}


class _Peers:
    """Hands over what was set for a node."""

    def __init__(self, **updates):
        self.updates = updates
        self.asked = []

    async def routes_after(self, node, version):
        self.asked.append((node, version))
        return self.updates.get(node.host)


class _Feed:
    """A feed at version 1 and what it did."""

    def __init__(self, **updates):
        self.routes = RoutesInForce(rng=seeded(seed=1))
        self.routes.offer(Configuration(version=1))
        self.peers = _Peers(**updates)
        self.taken = []
        self.store_reads = []
        self.feed = RoutesFeed(
            routes=self.routes,
            peers=self.peers,
            observer=RecordingObserver(),
            tier_of=_TIERS.get,
            taken=lambda: self.taken.append(self.routes.version),
            read_store=lambda: self.store_reads.append(self.routes.version),
        )

    async def hear(self, *heard):
        running = asyncio.ensure_future(self.feed.run())
        for version, node in heard:
            self.feed.hear(version, node)
        while heard and not self.peers.asked and not self.store_reads:
            await asyncio.sleep(0.001)
        await settle()
        assert not running.done()
        running.cancel()


def _play(*heard, **updates):
    async def scenario():
        feed = _Feed(**updates)
        await feed.hear(*heard)
        return feed

    return run(scenario)


def _at(node, update):
    return {node.host: update}


class TestRoutesFeed:
    """Routes feed."""

    def test_a_newer_version_is_fetched_where_it_was_heard_of(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        feed = _play((2, _NODE), **_at(_NODE, newer))
        assert feed.routes.version == 2
        assert feed.peers.asked == [(_NODE, 1)]
        assert (feed.taken, feed.store_reads) == ([2], [])

    def test_an_old_version_is_not_asked_for(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        heard = ((1, _NODE), (0, _NODE), (2, _OTHER))
        feed = _play(*heard, **_at(_OTHER, newer))
        assert feed.peers.asked == [(_OTHER, 1)]

    def test_a_near_node_is_asked_first(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        feed = _play((2, _NODE), (2, _OTHER), **_at(_OTHER, newer))
        assert feed.peers.asked == [(_OTHER, 1)]

    def test_the_next_one_is_asked_when_the_first_is_silent(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        feed = _play((2, _OTHER), (2, _NODE), **_at(_NODE, newer))
        assert feed.routes.version == 2
        assert not feed.store_reads

    def test_the_store_is_read_when_no_node_has_it(self):
        assert _play((2, _NODE), (3, None)).store_reads == [1]

    def test_what_does_not_fit_is_told_and_the_store_is_read(self):
        misfit = compute_delta(
            Configuration(version=7), Configuration(version=8)
        )
        feed = _play((8, _NODE), **_at(_NODE, RoutesUpdate(deltas=(misfit,))))
        assert feed.routes.version == 1
        assert feed.store_reads == [1]

    def test_a_node_that_was_ahead_by_mistake_changes_nothing(self):
        feed = _play((9, _NODE), **_at(_NODE, RoutesUpdate()))
        assert feed.routes.version == 1


class TestHandingOver:
    """What a node answers to one that is behind."""

    def _status(self, headers):
        async def scenario():
            handler = PeerHandler(
                gatekeeper=None,
                header_names=HeaderNames(),
                on_routes_version=lambda version, host: None,
                updates_after={ROUTES_HEADER: lambda version: RoutesUpdate()},
            )
            request = Request(method='GET', target='/', headers=headers)
            return (await handler.answer(request, '')).status

        return run(scenario)

    def test_a_version_is_answered(self):
        assert self._status(((ROUTES_HEADER, '7'),)) == 200

    def test_what_is_no_version_is_refused(self):
        for text in ('', '-1', 'x', '1.5'):
            assert self._status(((ROUTES_HEADER, text),)) == 400
