"""Newer routes from node to node: differences, and all of them if need be."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueknot.httpio.messages import Limits
from fescueknot.randomness import seeded
from fescueknot.routes.delta import compute_delta, patched, route_key
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import (
    Configuration,
    Route,
    ServiceInfo,
    WeightedService,
)
from fescueknot.routes.updates import RoutesUpdate, UpdateLog

_ROUTES = st.lists(
    st.builds(
        lambda host, prefix, timeout_s: Route(
            name=f'{host}{prefix}',
            host=host,
            path_prefix=prefix,
            services=(WeightedService(service='a'),),
            timeout_s=timeout_s,
        ),
        st.sampled_from(['h', 'g']),
        st.sampled_from(['/', '/a/', '/b/', '/a/b/']),
        st.sampled_from([1, 2]),
    ),
    unique_by=route_key,
)
_SERVICES = st.lists(
    st.builds(
        lambda name, limit: ServiceInfo(name=name, connection_limit=limit),
        st.sampled_from(['a', 'b', 'c']),
        st.sampled_from([1, 2]),
    ),
    unique_by=lambda service: service.name,
)


def _configurations(version):
    return st.builds(
        lambda routes, services, body_bytes: Configuration(
            version=version,
            routes=tuple(routes),
            services=tuple(services),
            limits=Limits(body_bytes=body_bytes),
        ),
        _ROUTES,
        _SERVICES,
        st.sampled_from([1, 2]),
    )


def _same(one, other):
    return (
        one.version == other.version
        and one.limits == other.limits
        and set(one.routes) == set(other.routes)
        and set(one.services) == set(other.services)
    )


class TestDifference:
    """Difference."""

    @given(before=_configurations(1), after=_configurations(2))
    def test_it_leads_from_one_to_the_other(self, before, after):
        assert _same(patched(before, compute_delta(before, after)), after)

    @given(before=_configurations(1), after=_configurations(2))
    def test_it_does_not_fit_another_base(self, before, after):
        with pytest.raises(ValueError, match='2 is not 1'):
            patched(after, compute_delta(before, after))

    @given(same=_configurations(1))
    def test_it_is_empty_between_equals(self, same):
        delta = compute_delta(same, same)
        assert (delta.routes, delta.removed_routes) == ((), ())
        assert (delta.services, delta.removed_services) == ((), ())


class TestUpdates:
    """Updates."""

    @given(data=st.data(), behind=st.integers(0, 12))
    def test_a_node_that_is_behind_catches_up(self, data, behind):
        log = UpdateLog()
        versions = [
            data.draw(_configurations(version)) for version in range(1, 13)
        ]
        for configuration in versions:
            log.advance(configuration)
        node = RoutesInForce(rng=seeded(seed=1))
        if behind:
            node.offer(versions[behind - 1])
        update = log.since(node.version)
        assert node.apply_update(update) is (behind < 12)
        assert _same(node._configuration, versions[-1])

    def test_who_is_a_little_behind_gets_the_differences(self):
        log = UpdateLog()
        for version in range(1, 5):
            log.advance(Configuration(version=version))
        assert log.since(2).whole is None
        assert [delta.version for delta in log.since(2).deltas] == [3, 4]

    def test_who_has_nothing_gets_all(self):
        log = UpdateLog()
        log.advance(Configuration(version=3))
        assert log.since(0).whole == Configuration(version=3)

    def test_who_is_ahead_gets_nothing(self):
        log = UpdateLog()
        log.advance(Configuration(version=3))
        assert log.since(4) == RoutesUpdate()

    def test_an_update_that_does_not_fit_is_refused(self):
        node = RoutesInForce(rng=seeded(seed=1))
        node.offer(Configuration(version=1))
        old = Configuration(version=2)
        delta = compute_delta(old, Configuration(version=3))
        with pytest.raises(ValueError, match='1 is not 2'):
            node.apply_update(RoutesUpdate(deltas=(delta,)))
        assert node.version == 1

    def test_an_older_one_changes_nothing(self):
        node = RoutesInForce(rng=seeded(seed=1))
        node.offer(Configuration(version=5))
        whole = Configuration(version=4)
        assert not node.apply_update(RoutesUpdate(whole=whole))
        assert node.version == 5
