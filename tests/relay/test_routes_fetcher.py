"""Fetching newer routes from peers or from the store."""

import asyncio

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.randomness import seeded
from fescueknot.relay.header_names import ROUTES_HEADER, HeaderNames
from fescueknot.relay.peers import PeerHandler
from fescueknot.relay.routes_fetcher import RoutesFetcher
from fescueknot.routes.delta import compute_delta
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Configuration
from fescueknot.routes.updates import RoutesUpdate
from fescueknot.routing.messages import Tier
from tests.relay.fakes import RecordingObserver, run, settle

_NODE = Address(host='10.0.0.1', port=1)
_OTHER = Address(host='10.0.0.2', port=1)


_TIERS = {_NODE: Tier.ELSEWHERE, _OTHER: Tier.FAILURE_DOMAIN}


class _FakePeers:
    """Peers that return the update set for their host."""

    def __init__(self, **updates):
        self.updates = updates
        self.requests = []

    async def routes_after(self, node, version):
        self.requests.append((node, version))
        return self.updates.get(node.host)


class _Harness:
    """A fetcher at version 1 of the routes, with a record of its effects."""

    def __init__(self, **updates):
        self.routes = RoutesInForce(rng=seeded(seed=1))
        self.routes.offer(Configuration(version=1))
        self.peers = _FakePeers(**updates)
        self.applied_versions = []
        self.store_reads = []
        self.fetcher = RoutesFetcher(
            routes=self.routes,
            peers=self.peers,
            observer=RecordingObserver(),
            tier_of=_TIERS.get,
            on_applied=lambda: self.applied_versions.append(
                self.routes.version
            ),
            read_store=lambda: self.store_reads.append(self.routes.version),
        )

    async def run_until_requested(self, *reported):
        running = asyncio.ensure_future(self.fetcher.run())
        for version, node in reported:
            self.fetcher.record_version(version, node)
        while reported and not self.peers.requests and not self.store_reads:
            await asyncio.sleep(0.001)
        await settle()
        assert not running.done()
        running.cancel()


def _run_fetcher(*reported, **updates):
    async def scenario():
        harness = _Harness(**updates)
        await harness.run_until_requested(*reported)
        return harness

    return run(scenario)


def _update_from(node, update):
    return {node.host: update}


class TestRoutesFetcher:
    """Fetches after a report of a newer version."""

    def test_a_newer_version_is_fetched_from_the_peer_that_has_it(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        harness = _run_fetcher((2, _NODE), **_update_from(_NODE, newer))
        assert harness.routes.version == 2
        assert harness.peers.requests == [(_NODE, 1)]
        assert (harness.applied_versions, harness.store_reads) == ([2], [])

    def test_an_old_version_is_not_requested(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        reported = ((1, _NODE), (0, _NODE), (2, _OTHER))
        harness = _run_fetcher(*reported, **_update_from(_OTHER, newer))
        assert harness.peers.requests == [(_OTHER, 1)]

    def test_the_nearest_peer_is_tried_first(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        harness = _run_fetcher(
            (2, _NODE), (2, _OTHER), **_update_from(_OTHER, newer)
        )
        assert harness.peers.requests == [(_OTHER, 1)]

    def test_the_next_peer_is_tried_without_an_answer_of_the_first(self):
        newer = RoutesUpdate(whole=Configuration(version=2))
        harness = _run_fetcher(
            (2, _OTHER), (2, _NODE), **_update_from(_NODE, newer)
        )
        assert harness.routes.version == 2
        assert not harness.store_reads

    def test_the_store_is_read_when_no_peer_supplies_the_version(self):
        assert _run_fetcher((2, _NODE), (3, None)).store_reads == [1]

    def test_the_store_is_read_when_a_delta_does_not_fit(self):
        misfit = compute_delta(
            Configuration(version=7), Configuration(version=8)
        )
        harness = _run_fetcher(
            (8, _NODE), **_update_from(_NODE, RoutesUpdate(deltas=(misfit,)))
        )
        assert harness.routes.version == 1
        assert harness.store_reads == [1]

    def test_an_empty_update_changes_nothing(self):
        harness = _run_fetcher(
            (9, _NODE), **_update_from(_NODE, RoutesUpdate())
        )
        assert harness.routes.version == 1


class TestUpdateRequests:
    """Answers to requests for the updates after a version."""

    def _status(self, headers):
        async def scenario():
            handler = PeerHandler(
                gatekeeper=None,
                header_names=HeaderNames(),
                on_routes_version=lambda version, host: None,
                updates_by_header={
                    ROUTES_HEADER: lambda version: RoutesUpdate()
                },
            )
            request = Request(method='GET', target='/', headers=headers)
            return (await handler.answer(request, '')).status

        return run(scenario)

    def test_a_request_with_a_version_is_answered(self):
        assert self._status(((ROUTES_HEADER, '7'),)) == 200

    def test_a_malformed_version_is_rejected(self):
        for text in ('', '-1', 'x', '1.5'):
            assert self._status(((ROUTES_HEADER, text),)) == 400
