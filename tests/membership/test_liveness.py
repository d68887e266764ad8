"""Liveness and the choice of readers, step by step."""

import pytest

from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.identity import Address
from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.eviction_limiter import WINDOW_S, EvictionGuard
from fescueknot.membership.readers import ReadMode
from fescueknot.randomness import seeded

_ONE_DOMAIN = places(regions=1, domains=1)
_STRANGER = Address(host='10.9.9.9', port=1)


def _core(size: int):
    return Fleet(size=size, where=_ONE_DOMAIN).nodes[0].core


class TestEvictionGuard:
    """Few of a failure domain may be declared at a time."""

    @pytest.mark.parametrize(
        ('state', 'count', 'age_s', 'is_allowed'),
        [
            (InstanceState.SUSPECT, 3, 0, True),
            (InstanceState.SUSPECT, 4, 0, False),
            (InstanceState.LOST, 3, 0, True),
            (InstanceState.LOST, 4, 0, False),
            (InstanceState.LOST, 4, WINDOW_S + 1, True),
            (InstanceState.LEFT, 10, 0, True),
        ],
    )
    def test_a_share_of_the_domain(self, state, count, age_s, is_allowed):
        catalog = _core(40).view.catalog
        target, *others = catalog.all_announcements()
        for other in others[:count]:
            catalog.merge(
                other.restated(state=state, wall_s=2000 - age_s), wall_s=2000
            )
        guard = EvictionGuard(catalog=catalog)
        assert guard.allows(target, wall_s=2000) is is_allowed


class TestPause:
    """Time-outs that ran out during a pause prove nothing."""

    @pytest.mark.parametrize(
        ('period_s', 'is_accusing'), [(0.5, True), (30, False)]
    )
    def test_a_woken_watcher_accuses_nobody(self, period_s, is_accusing):
        core = _core(10)
        rng = seeded(seed=1)
        sent = []
        for step in range(8):
            now_s = 1000 + step * period_s
            sent.extend(core.tick(now_s=now_s, rng=rng))
        kinds = {type(outgoing.message) for outgoing in sent}
        assert (wire.WitnessCall in kinds) is is_accusing

    @pytest.mark.parametrize(
        ('period_s', 'is_testifying'), [(0.7, True), (30, False)]
    )
    def test_a_woken_witness_says_nothing(self, period_s, is_testifying):
        core = _core(10)
        rng = seeded(seed=1)
        core.tick(now_s=1000, rng=rng)
        call = wire.WitnessCall(
            name='service-0-1',
            incarnation=1_000_000,
            target='service-0-2',
            target_incarnation=1_000_000,
        )
        incoming = wire.Incoming(source=_STRANGER, message=call)
        core.receive(incoming, now_s=1000, rng=rng)
        sent = core.tick(now_s=1000 + period_s, rng=rng)
        kinds = {type(outgoing.message) for outgoing in sent}
        assert (wire.Testimony in kinds) is is_testifying


class TestReaderChoice:
    """Who reads, and how often others do when nobody brings a reading."""

    def test_a_suspect_is_replaced_at_once(self):
        core = _core(10)
        first = core.reader_choice.readers()[0]
        known = core.view.catalog.find(first)
        suspect = known.restated(state=InstanceState.SUSPECT, wall_s=0)
        core.view.merge(suspect, now_s=1000)
        assert first not in core.reader_choice.readers()
        assert len(core.reader_choice.readers()) == 3

    def test_without_readings_everybody_reads_rarely(self):
        fleet = Fleet(size=600, where=_ONE_DOMAIN)
        rng = seeded(seed=2)
        read_modes = [
            node.core.reader_choice.read_mode(
                now_s=2000, elapsed_s=0.5, rng=rng
            )
            for node in fleet.nodes
        ]
        once = read_modes.count(ReadMode.ONCE)
        assert read_modes.count(ReadMode.STEADY) == 3
        assert 0 < once <= 100
