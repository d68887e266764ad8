"""Failure detection and the choice of readers on a single core."""

import pytest

from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.identity import Address
from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.eviction_limiter import WINDOW_S, EvictionLimiter
from fescueknot.membership.readers import ReadMode
from fescueknot.randomness import seeded

_ONE_DOMAIN = places(regions=1, domains=1)
_REQUESTER = Address(host='10.9.9.9', port=1)


def _core(size: int):
    return Fleet(size=size, where=_ONE_DOMAIN).nodes[0].core


class TestEvictionLimiter:
    """Only a small fraction of a failure domain is evicted at a time."""

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
    def test_evictions_are_limited_per_domain(
        self, state, count, age_s, is_allowed
    ):
        catalog = _core(40).view.catalog
        target, *others = catalog.all_announcements()
        for other in others[:count]:
            catalog.merge(
                other.with_state(state=state, wall_s=2000 - age_s), wall_s=2000
            )
        limiter = EvictionLimiter(catalog=catalog)
        assert limiter.allows(target, wall_s=2000) is is_allowed


class TestPause:
    """Time-outs that expire while the process is paused are discarded."""

    @pytest.mark.parametrize(
        ('period_s', 'is_suspecting'), [(0.5, True), (30, False)]
    )
    def test_no_witness_is_requested_after_a_pause(
        self, period_s, is_suspecting
    ):
        core = _core(10)
        rng = seeded(seed=1)
        sent = []
        for step in range(8):
            now_s = 1000 + step * period_s
            sent.extend(core.tick(now_s=now_s, rng=rng))
        message_types = {type(outgoing.message) for outgoing in sent}
        assert (wire.WitnessRequest in message_types) is is_suspecting

    @pytest.mark.parametrize(
        ('period_s', 'is_reporting'), [(0.7, True), (30, False)]
    )
    def test_a_witness_reports_nothing_after_a_pause(
        self, period_s, is_reporting
    ):
        core = _core(10)
        rng = seeded(seed=1)
        core.tick(now_s=1000, rng=rng)
        request = wire.WitnessRequest(
            name='service-0-1',
            incarnation=1_000_000,
            target='service-0-2',
            target_incarnation=1_000_000,
        )
        incoming = wire.Incoming(source=_REQUESTER, message=request)
        core.receive(incoming, now_s=1000, rng=rng)
        sent = core.tick(now_s=1000 + period_s, rng=rng)
        message_types = {type(outgoing.message) for outgoing in sent}
        assert (wire.WitnessReport in message_types) is is_reporting


class TestReaderChoice:
    """Choice of the readers, and fallback reads when evidence is stale."""

    def test_a_suspect_reader_is_replaced(self):
        core = _core(10)
        first = core.reader_choice.readers()[0]
        known = core.view.catalog.find(first)
        suspect = known.with_state(state=InstanceState.SUSPECT, wall_s=0)
        core.view.merge(suspect, now_s=1000)
        assert first not in core.reader_choice.readers()
        assert len(core.reader_choice.readers()) == 3

    def test_stale_evidence_makes_all_nodes_read_rarely(self):
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
