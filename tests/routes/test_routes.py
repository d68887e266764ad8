"""Routes: the longest prefix, shares of a split, versions that only rise."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueknot.randomness import seeded
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Configuration, Route, WeightedService
from fescueknot.routes.table import RouteTable
from fescueknot.routes.weighted_round_robin import WeightedRoundRobin


def _route(prefix, host='shop.example', name=None, services=('a',)):
    return Route(
        name=name or prefix,
        host=host,
        path_prefix=prefix,
        services=tuple(WeightedService(service=one) for one in services),
    )


class TestTable:
    """Table."""

    @pytest.mark.parametrize(
        ('target', 'found'),
        [
            ('/a/1', '/a/'),
            ('/a/b/1', '/a/b/'),
            ('/a/b/', '/a/b/'),
            ('/a/b', '/a/'),
            ('/a/?q=/a/b/', '/a/'),
            ('/ab/1', None),
            ('/', None),
        ],
    )
    def test_the_longest_prefix_wins(self, target, found):
        table = RouteTable(routes=(_route('/a/'), _route('/a/b/')))
        route = table.find('shop.example', target)
        assert getattr(route, 'name', None) == found

    @pytest.mark.parametrize(
        'host', ['shop.example', 'SHOP.example', 'shop.example:80']
    )
    def test_hosts_are_compared_without_case_and_usual_port(self, host):
        table = RouteTable(routes=(_route('/a/'),))
        assert table.find(host, '/a/1') is not None

    def test_other_hosts_have_no_route(self):
        table = RouteTable(routes=(_route('/a/'),))
        assert table.find('other.example', '/a/1') is None

    def test_a_route_for_all_paths_is_the_last_resort(self):
        table = RouteTable(routes=(_route('/'), _route('/a/')))
        assert table.find('shop.example', '/b').name == '/'


class TestSplit:
    """Split."""

    @given(
        weights=st.lists(st.integers(1, 100), min_size=2, max_size=5),
        seed=st.integers(0, 1000),
        count=st.integers(50, 400),
    )
    def test_each_part_stays_near_its_share(self, weights, seed, count):
        parts = tuple(
            WeightedService(service=str(index), weight=weight)
            for index, weight in enumerate(weights)
        )
        route = Route(name='r', host='h', path_prefix='/', services=parts)
        turns = WeightedRoundRobin(rng=seeded(seed=seed))
        got = collections.Counter(turns.choose(route) for _ in range(count))
        for part in parts:
            share = count * part.weight / sum(weights)
            assert abs(got[part.service] - share) < len(weights)

    def test_a_part_without_weight_gets_nothing(self):
        parts = (
            WeightedService(service='a', weight=1),
            WeightedService(service='b', weight=0),
        )
        route = Route(name='r', host='h', path_prefix='/', services=parts)
        turns = WeightedRoundRobin(rng=seeded(seed=1))
        assert {turns.choose(route) for _ in range(50)} == {'a'}


class TestInForce:
    """In force."""

    @given(st.lists(st.integers(1, 50), min_size=1, max_size=20))
    def test_the_version_never_falls(self, versions):
        routes = RoutesInForce(rng=seeded(seed=1))
        seen = []
        for version in versions:
            routes.offer(Configuration(version=version))
            seen.append(routes.version)
        assert seen == sorted(seen)
        assert routes.version == max(versions)

    def test_nothing_is_known_at_first(self):
        routes = RoutesInForce(rng=seeded(seed=1))
        assert not routes.is_loaded
        assert routes.find('h', '/') is None

    def test_an_older_version_changes_nothing(self):
        routes = RoutesInForce(rng=seeded(seed=1))
        new = Configuration(version=2, routes=(_route('/new/'),))
        old = Configuration(version=1, routes=(_route('/old/'),))
        assert routes.offer(new)
        assert not routes.offer(old)
        assert routes.find('shop.example', '/old/1') is None
