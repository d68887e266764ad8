"""How the rig spreads the words of a day over hosts."""

import collections

import msgspec
import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.plans import Plan, plan_of
from tools.site_rig.scene import Host
from tools.site_rig.site import Closing, Day, PlanEntry
from tools.site_rig.spread import Spread

LENGTH_S = 44


NOWHERE = frozenset()
# One target of a service in a failure domain, the others in another.
TWO_ZONES = tuple(
    msgspec.structs.replace(
        host, zone='z' if host.service == 'ledger' or not number else 'y'
    )
    for number, host in enumerate(small_hosts())
)


def planned(
    *entries: PlanEntry,
    closing: Closing | None = None,
    hosts: tuple[Host, ...] = (),
) -> Plan:
    day = Day(name='d', faults=entries, closing=closing)
    spread = Spread(
        site=small_site(day=(day,)),
        hosts=hosts or small_hosts(),
        length_s=LENGTH_S,
        seed=1,
    )
    return plan_of(spread, 'd')


def counts(plan: Plan) -> dict[str, int]:
    return dict(collections.Counter(made.kind for made in plan.disruptions))


def times(plan: Plan, kind: str) -> list[float]:
    return [made.at_s for made in plan.disruptions if made.kind == kind]


WORDS = {
    'stop in turn': (
        PlanEntry(at=1, kind='roll_term', share=0.5),
        {'roll_term': 3},
    ),
    'kill': (PlanEntry(at=1, kind='node_kill'), {'node_kill': 1}),
    'kill a herd': (PlanEntry(at=1, kind='herd_kill'), {'node_kill': 4}),
    'kill after a change': (
        PlanEntry(at=1, kind='after_ack_kill', count=2),
        {'config_change': 1, 'node_kill': 2, 'crash': 2},
    ),
    'kill, and more of it': (
        PlanEntry(at=1, kind='node_kill', how='race drain'),
        {'node_kill': 1, 'config_change': 2, 'leave': 1},
    ),
    'freeze': (PlanEntry(at=1, kind='node_freeze'), {'node_freeze': 1}),
    'slow': (PlanEntry(at=1, kind='node_slow', share=0.3), {'node_slow': 2}),
    'release': (
        PlanEntry(at=1, kind='release', service='desk'),
        {'arrive': 2, 'leave': 2},
    ),
    'release, one is spared': (
        PlanEntry(at=1, kind='release', service='desk', share=1),
        {'arrive': 2, 'leave': 2},
    ),
    'fewer targets': (PlanEntry(at=1, kind='scale_in'), {'leave': 1}),
    'more targets': (
        PlanEntry(at=1, kind='scale_out', share=0.6),
        {'arrive': 2},
    ),
    'crash': (
        PlanEntry(at=1, kind='srv_crash', how='all', share=1),
        {'crash': 3},
    ),
    'crash for good': (
        PlanEntry(at=1, kind='srv_crash', how='dark gone'),
        {'crash': 1, 'host_stop': 1},
    ),
    'another service at the address': (
        PlanEntry(at=1, kind='replace_with_reuse'),
        {'crash': 1, 'host_stop': 1, 'arrive': 1},
    ),
    'it drains first': (
        PlanEntry(at=1, kind='replace_with_reuse', how='drain'),
        {'leave': 1, 'arrive': 1},
    ),
    'the machine goes too': (
        PlanEntry(at=1, kind='replace_with_reuse', how='side'),
        {'crash': 1, 'host_loss': 1, 'arrive': 1},
    ),
    'the store is down': (
        PlanEntry(at=1, kind='platform_down', how='busy'),
        {'store_gate': 6},
    ),
    'the store is down for some': (
        PlanEntry(at=1, kind='platform_down', how='nodes reset meet drain'),
        {'store_gate': 3, 'config_change': 1, 'leave': 1},
    ),
    'clients that would leave send once': (
        PlanEntry(at=1, kind='give_up', how='once'),
        {'give_up': 1},
    ),
    'the store is slow': (
        PlanEntry(at=1, kind='platform_slow'),
        {'store_gate': 6},
    ),
    'the store loses answers': (
        PlanEntry(at=1, kind='platform_lost', how='late'),
        {'store_gate': 6},
    ),
    'the store drops its history': (
        PlanEntry(at=1, kind='platform_compact', how='drain'),
        {'store_gate': 6, 'store_compact': 1, 'config_change': 1, 'leave': 1},
    ),
    'a storm of changes': (
        PlanEntry(at=1, kind='config_storm', for_s=2, gap_s=0.5, how='route'),
        {'config_change': 5},
    ),
}


class TestWords:
    """What each word makes happen."""

    # Guards against a word that is played for other hosts than it is about.
    @pytest.mark.parametrize('name', WORDS)
    def test_word(self, name):
        entry, expected = WORDS[name]

        plan = planned(entry)

        assert counts(plan) == expected
        assert not plan.not_played

    # Guards against words that are left out without a word.
    @pytest.mark.parametrize(
        ('entry', 'left_out'),
        [
            (PlanEntry(at=1, kind='unheard_of'), 'unheard_of at 1 s'),
            (
                PlanEntry(at=1.5, kind='node_cut', how='odd'),
                'node_cut odd at 1.5 s',
            ),
            (
                PlanEntry(at=1, kind='core_cut', how='all behind'),
                'core_cut behind at 1 s',
            ),
            (
                PlanEntry(at=1, kind='link_squeeze'),
                'link_squeeze (its connections do not share the link) at 1 s',
            ),
            (
                PlanEntry(at=1, kind='platform_down', how='silent lapse'),
                'platform_down lapse (no leases in this store: it is down '
                'until those of nodes have run out) at 1 s',
            ),
            (
                PlanEntry(at=2, kind='core_cut', how='revoke'),
                'core_cut revoke (idle routes in the place of keys) at 2 s',
            ),
            (
                PlanEntry(at=1, kind='give_up', how='once prompt'),
                'give_up prompt at 1 s',
            ),
            (
                PlanEntry(at=1, kind='roll_term', how='busy leader'),
                'roll_term leader at 1 s',
            ),
            (
                PlanEntry(at=1, kind='scale_in', service='none'),
                'scale_in (no host for it) at 1 s',
            ),
        ],
    )
    def test_left_out(self, entry, left_out):
        assert left_out in planned(entry).not_played

    # Guards against leases that outlast the store, or a longer one cut short.
    @pytest.mark.parametrize(
        ('how', 'for_s', 'lasts_s'),
        [
            ('silent', 4.5, 4.5),
            ('silent lapse', 4.5, 8.5),
            ('lapse', None, 8.5),
            ('lapse', 12, 12),
        ],
    )
    def test_leases(self, how, for_s, lasts_s):
        plan = planned(
            PlanEntry(at=1, kind='platform_down', how=how, for_s=for_s)
        )

        assert counts(plan) == {'store_gate': 6}
        assert {made.for_s for made in plan.disruptions} == {lasts_s}

    # Guards against taking away before, or after, nodes are cut off.
    @pytest.mark.parametrize('kind', ['platform_down', 'node_cut', 'core_cut'])
    def test_revoked(self, kind):
        plan = planned(PlanEntry(at=3, kind=kind, how='revoke', for_s=2))

        changes = [
            (made.at_s, made.how)
            for made in plan.disruptions
            if made.kind == 'config_change'
        ]
        assert changes == [(3.2, 'revoke')]

    # Guards against machines that stop one by one where two are asked for.
    def test_two_at_a_time(self):
        entry = PlanEntry(at=1, kind='roll_term', ratio=2, gap_s=2)

        assert times(planned(entry), 'roll_term') == [1, 1, 3, 3, 5, 5]

    # Guards against a store that is down for others than it should be.
    @pytest.mark.parametrize(
        ('kind', 'expected'),
        [
            ('node_cut', {'store_gate': 3, 'link_cut': 1}),
            ('core_cut', {'store_gate': 1}),
        ],
    )
    def test_cuts(self, kind, expected):
        entry = PlanEntry(at=1, kind=kind, share=0.4)

        assert counts(planned(entry)) == expected

    # Guards against a host that leaves twice.
    def test_host_that_leaves(self):
        entries = [
            PlanEntry(at=number, kind='scale_in', service='desk')
            for number in range(1, 4)
        ]

        plan = planned(*entries)

        left = [made.host for made in plan.disruptions]
        assert len(set(left)) == len(left) == 2


class TestHosts:
    """Hosts that come later, and those that go."""

    # Guards against a new host at an address that is in use.
    def test_new_host(self):
        plan = planned(PlanEntry(at=5, kind='scale_out'))

        addresses = [host.ip for host in plan.hosts]
        assert len(set(addresses)) == len(addresses) == 7
        assert plan.hosts[-1].arrives_s == 5

    # Guards against a new host of another service, or one that is late.
    def test_released(self):
        plan = planned(PlanEntry(at=5, kind='release', count=1))

        old = next(host for host in plan.hosts if host.leaves_s)
        new = plan.hosts[-1]
        assert (old.arrives_s, new.arrives_s) == (0, 5)
        assert new.service == old.service

    # Guards against notices for others, and targets that are gone late.
    @pytest.mark.parametrize(
        ('how', 'gone_after_s', 'zones', 'arrivals_s'),
        [
            ('spot', 2, {'z', 'y'}, [11, 11]),
            ('reclaim', 2.5, {'z'}, []),
        ],
    )
    def test_notice(self, how, gone_after_s, zones, arrivals_s):
        entry = PlanEntry(
            at=5, kind='scale_in', how=how, zone='z', service='desk', count=2
        )
        plan = planned(entry, hosts=TWO_ZONES)

        left = [made for made in plan.disruptions if made.kind == 'leave']
        assert {made.how for made in left} == {'notice'}
        assert {made.for_s for made in left} == {gone_after_s}
        assert {host.zone for host in plan.hosts if host.leaves_s} <= zones
        assert times(plan, 'arrive') == arrivals_s
        assert not plan.not_played

    # Guards against taking away the last targets of a service.
    def test_reclaimed(self):
        entry = PlanEntry(at=5, kind='scale_in', how='reclaim', zone='z')

        reclaimed = planned(entry, hosts=TWO_ZONES)

        left = [made.host for made in reclaimed.disruptions]
        assert left == [TWO_ZONES[0].name]

    # Guards against new hosts where, or when, none are to be had.
    @pytest.mark.parametrize(
        ('how', 'at_s', 'zones'),
        [
            ('reclaim', 9, {'y'}),
            ('reclaim dry', 9, NOWHERE),
            ('reclaim dry', 14, {'z', 'y'}),
        ],
    )
    def test_dry(self, how, at_s, zones):
        reclaim = PlanEntry(
            at=5, kind='scale_in', how=how, zone='z', for_s=4, count=1
        )
        more = PlanEntry(at=at_s, kind='scale_out', how='', share=1, gap_s=0.1)

        plan = planned(
            reclaim,
            msgspec.structs.replace(more, service='desk'),
            msgspec.structs.replace(more, service='ledger'),
            hosts=TWO_ZONES,
        )

        new = {host.zone for host in plan.hosts if host.arrives_s}
        assert new == zones

    # Guards against a new target at an address that still is in use.
    @pytest.mark.parametrize(
        ('how', 'least_s'), [('', 8), ('side', 2), ('drain', 10)]
    )
    def test_address_used_again(self, how, least_s):
        plan = planned(PlanEntry(at=5, kind='replace_with_reuse', how=how))

        old = next(host for host in plan.hosts if host.leaves_s)
        new = plan.hosts[-1]
        assert new.ip == old.ip
        assert new.group == old.group
        assert new.service != old.service
        assert new.arrives_s >= 5 + least_s


class TestClosing:
    """What strikes at the end."""

    # Guards against a run without the end of its day.
    def test_closing(self):
        plan = planned(closing=Closing(kind='kill_all', down_s=0.7))

        assert counts(plan) == {'config_change': 1, 'node_kill': 6}
        killed = plan.disruptions[-1]
        assert killed.for_s == 0.7
        assert killed.at_s < LENGTH_S - 5

    # Guards against a loss of power that is played as a kill, or a kill as it.
    @pytest.mark.parametrize(
        ('entry', 'closing', 'how'),
        [
            (PlanEntry(at=1, kind='node_kill'), None, ''),
            (PlanEntry(at=1, kind='node_kill', how='power'), None, 'dark'),
            (PlanEntry(at=1, kind='herd_kill', how='off'), None, 'dark'),
            (PlanEntry(at=1, kind='after_ack_kill'), None, 'dark'),
            (PlanEntry(at=1, kind='after_ack_kill', how='kill'), None, ''),
            (None, Closing(kind='kill_all', down_s=1), ''),
            (None, Closing(kind='power_off_all', down_s=1), 'dark'),
        ],
    )
    def test_power(self, entry, closing, how):
        plan = planned(*filter(None, (entry,)), closing=closing)

        killed = [
            made.how for made in plan.disruptions if made.kind == 'node_kill'
        ]
        assert set(killed) == {how}

    # Guards against targets that outlast the power of their machines.
    @pytest.mark.parametrize(
        ('entry', 'closing', 'for_s'),
        [
            (PlanEntry(at=1, kind='node_kill'), None, None),
            (PlanEntry(at=1, kind='after_ack_kill', how='kill'), None, None),
            (None, Closing(kind='kill_all', down_s=1), None),
            (PlanEntry(at=1, kind='node_kill', how='power', for_s=3), None, 3),
            (PlanEntry(at=1, kind='after_ack_kill', for_s=3), None, 3),
            (None, Closing(kind='power_off_all', down_s=0.7), 0.7),
        ],
    )
    def test_targets_without_power(self, entry, closing, for_s):
        plan = planned(*filter(None, (entry,)), closing=closing)

        def struck(kind: str) -> list[tuple[str, float]]:
            return [
                (made.host, made.at_s)
                for made in plan.disruptions
                if made.kind == kind
            ]

        crashed = [made for made in plan.disruptions if made.kind == 'crash']
        expected = struck('node_kill') if for_s else []
        assert struck('crash') == expected
        assert all(made.how == 'dark' for made in crashed)
        assert all(made.for_s == for_s for made in crashed)

    # Guards against another end that is played as one that is known.
    def test_unknown(self):
        plan = planned(closing=Closing(kind='kill_all', down_s=1, how='timed'))

        assert plan.not_played == ('kill_all timed at 32 s',)


class TestDrawn:
    """Days that are drawn from a site's troubles."""

    TROUBLES = tuple(
        PlanEntry(kind=kind)
        for kind in ('platform_slow', 'node_kill', 'release', 'node_freeze')
    )

    def drawn(self, seed: int) -> Plan:
        site = small_site(troubles=self.TROUBLES)
        spread = Spread(
            site=site, hosts=small_hosts(), length_s=LENGTH_S, seed=seed
        )
        return plan_of(spread, 'drawn')

    # Guards against a drawn day that leaves its troubles out.
    def test_all_are_played(self):
        played = counts(self.drawn(1))

        assert played['roll_term'] == 6
        assert {'store_gate', 'node_kill', 'leave', 'node_freeze'} < set(played)

    # Guards against a seed that does not repeat its day.
    def test_seeds(self):
        assert self.drawn(1) == self.drawn(1)
        assert self.drawn(1) != self.drawn(2)
