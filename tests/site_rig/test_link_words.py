"""Words about links: which hosts they are about, and what is excused."""

import msgspec
import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.link_player import harms_of, troubled_hosts
from tools.site_rig.plans import plan_of
from tools.site_rig.scene import Disruption
from tools.site_rig.site import Day, PlanEntry
from tools.site_rig.spread import Spread

PLACES = (('a', 'r'), ('b', 'r'), ('c', 's'))
# Two hosts in each failure domain.
HOSTS = tuple(
    msgspec.structs.replace(host, zone=zone, region=region)
    for host, (zone, region) in zip(small_hosts(), PLACES * 2, strict=True)
)
NAMES = tuple(host.name for host in HOSTS)


def made_of(kind: str, **fields) -> tuple[Disruption, ...]:
    entry = PlanEntry(at=1, kind=kind, **fields)
    day = Day(name='d', faults=(entry,))
    spread = Spread(
        site=small_site(day=(day,)), hosts=HOSTS, length_s=44, seed=1
    )
    return plan_of(spread, 'd').disruptions


def only(kind: str, made: tuple[Disruption, ...]) -> Disruption:
    (found,) = (each for each in made if each.kind == kind)
    return found


def zones(names: tuple[str, ...]) -> set[str]:
    return {host.zone for host in HOSTS if host.name in names}


class TestCuts:
    """Cuts between machines, and from the store."""

    # Guards against a cut machine that some others, or the store, still reach.
    def test_node(self):
        made = made_of('node_cut', share=0.4, for_s=7)

        cut = only('link_cut', made)
        gates = {each.host for each in made if each.kind == 'store_gate'}
        assert set(cut.hosts) == gates
        assert len(gates) == 3
        assert cut.others == NAMES
        assert {each.for_s for each in made} == {7}

    # Guards against cuts from the store that are between machines too.
    def test_core(self):
        made = made_of('core_cut')

        assert [(each.kind, each.how) for each in made] == [
            ('store_gate', 'silent')
        ]

    # Guards against a share, which is of others, where one is meant.
    def test_core_count(self):
        assert len(made_of('core_cut', share=0.9)) == 1
        assert len(made_of('core_cut', count=3)) == 3

    # Guards against machines that a wider cut leaves out, or adds.
    @pytest.mark.parametrize(('how', 'own_zone'), [('all', 6), ('near', 4)])
    def test_wider(self, how, own_zone):
        cut = only('link_cut', made_of('core_cut', how=how))

        assert len(cut.hosts) == 1
        assert len(cut.others) == own_zone
        is_apart = zones(cut.hosts).isdisjoint(zones(cut.others))
        assert is_apart is (how == 'near')

    # Guards against a split that leaves machines on no side, or on both.
    def test_split(self):
        made = made_of('core_cut', how='split')

        cut = only('link_cut', made)
        assert len(made) == 1
        assert len(cut.hosts) == len(cut.others) == 3
        assert {*cut.hosts, *cut.others} == set(NAMES)

    # Guards against a store that hears nothing in a cut of one direction, or
    # answers after a reset.
    @pytest.mark.parametrize(
        ('how', 'gate'),
        [
            ('one_way', 'mute'),
            ('reset', 'reset'),
            ('refuse', 'reset'),
            ('leader', 'silent leader'),
            ('leader one_way', 'mute leader'),
        ],
    )
    def test_store(self, how, gate):
        assert only('store_gate', made_of('core_cut', how=how)).how == gate

    # Guards against what comes with a cut, left out.
    @pytest.mark.parametrize(
        ('kind', 'how'),
        [
            ('node_cut', 'meet'),
            ('core_cut', 'meet'),
            ('core_cut', 'split meet'),
        ],
    )
    def test_companions(self, kind, how):
        made = made_of(kind, how=how)

        assert sum(each.kind == 'config_change' for each in made) == 1


class TestOthers:
    """Lossy and narrow links, and connections that end."""

    # Guards against losses within a failure domain, or in others.
    def test_lossy(self):
        lossy = only('lossy', made_of('lossy', zone='b'))

        assert zones(lossy.hosts) == {'b'}
        assert zones(lossy.others) == {'a', 'c'}
        assert lossy.ratio == 0.03

    # Guards against a failure domain that is always the same.
    def test_some_zone(self):
        assert len(only('lossy', made_of('lossy')).hosts) == 2

    # Guards against a failure domain that the run doesn't have.
    def test_zone_left_out(self):
        assert not made_of('lossy', zone='z')

    # Guards against narrow links of other machines.
    def test_squeeze(self):
        narrow = only('link_squeeze', made_of('link_squeeze', share=0.3))

        assert len(narrow.hosts) == 2
        assert narrow.others == NAMES
        assert narrow.ratio == 10

    # Guards against a narrow link that each machine has for itself.
    def test_regions(self):
        narrow = only(
            'link_squeeze', made_of('link_squeeze', how='regions', ratio=8)
        )

        assert sorted((len(narrow.hosts), len(narrow.others))) == [2, 4]
        assert narrow.ratio == 2

    # Guards against silence that only some machines have.
    @pytest.mark.parametrize(
        ('how', 'expected', 'count'),
        [('', 'reset', 1), ('silence', 'silence', 6)],
    )
    def test_strikes(self, how, expected, count):
        strike = only('reset_conns', made_of('reset_conns', how=how))

        assert strike.how == expected
        assert len(strike.hosts) == count
        assert strike.ratio == 0.5


class TestHarms:
    """What a disruption does to the links of its hosts."""

    CUT = Disruption(
        at_s=1, kind='link_cut', hosts=('a',), others=('a', 'b'), for_s=3
    )

    # Guards against a cut of one direction that cuts both, or the other one.
    @pytest.mark.parametrize(
        ('how', 'deaf'), [('', [{'a'}, {'a', 'b'}]), ('one_way', [{'a'}])]
    )
    def test_directions(self, how, deaf):
        harms = harms_of(msgspec.structs.replace(self.CUT, how=how))

        assert [harm.receivers for harm in harms] == deaf
        assert all(harm.is_cut for harm in harms)

    # Guards against cuts that refuse unasked, and refusals that are silent.
    @pytest.mark.parametrize(
        ('how', 'refuses'),
        [('', False), ('reset', True), ('refuse one_way', True)],
    )
    def test_refusals(self, how, refuses):
        harms = harms_of(msgspec.structs.replace(self.CUT, how=how))

        assert {harm.refuses for harm in harms} == {refuses}

    # Guards against a loss that is a cut, or a narrow link with losses.
    @pytest.mark.parametrize(
        ('kind', 'loss', 'rate_mbps'),
        [('lossy', 0.03, 0), ('link_squeeze', 0, 0.03)],
    )
    def test_amounts(self, kind, loss, rate_mbps):
        harm, _ = harms_of(
            msgspec.structs.replace(self.CUT, kind=kind, ratio=0.03)
        )

        assert (harm.loss, harm.rate_mbps) == (loss, rate_mbps)

    # Guards against trouble of machines at the other end of a link, or of one
    # side only where both are alike.
    @pytest.mark.parametrize(
        ('kind', 'how', 'troubled'),
        [
            ('link_cut', '', ('a',)),
            ('link_cut', 'one_way mutual', ('a', 'c')),
            ('lossy', '', ('a',)),
            ('link_squeeze', '', ('a',)),
            ('link_squeeze', 'mutual in_touch', ('a', 'c')),
            ('reset_conns', 'reset', ('a',)),
        ],
    )
    def test_troubled(self, kind, how, troubled):
        made = msgspec.structs.replace(
            self.CUT, kind=kind, how=how, others=('c',)
        )

        assert troubled_hosts(made) == troubled

    # Guards against excuses for machines that the rules say are in touch:
    # they reach the store and none of their connections is reset.
    @pytest.mark.parametrize(
        ('kind', 'how', 'played'),
        [
            ('core_cut', 'split', 'mutual in_touch'),
            ('core_cut', 'split one_way', 'one_way mutual in_touch'),
            ('core_cut', 'split reset', 'reset mutual'),
            ('core_cut', 'split refuse', 'refuse mutual'),
            ('core_cut', 'all', ''),
            ('node_cut', '', ''),
            ('link_squeeze', 'regions', 'mutual in_touch'),
            ('link_squeeze', '', ''),
        ],
    )
    def test_in_touch(self, kind, how, played):
        made = made_of(kind, how=how)

        hows = {each.how for each in made if each.kind != 'store_gate'}
        assert hows == {played}
