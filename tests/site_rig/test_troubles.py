"""Words about targets' answers and about clients, and what they do."""

import asyncio
import random

import pytest

from tests.site_rig.small_site import SERVICES, small_hosts, small_site
from tools.site_rig.answer_ways import PLAIN, WAYS
from tools.site_rig.client_player import ClientPlayer
from tools.site_rig.client_troubles import ClientTroubles
from tools.site_rig.endless import ENDLESS
from tools.site_rig.plans import (
    OWN_PLANS,
    Planner,
    length_of,
    plan_of,
    site_of,
)
from tools.site_rig.records import RecordFile
from tools.site_rig.scene import Disruption
from tools.site_rig.site import PlanEntry
from tools.site_rig.spread import Spread
from tools.site_rig.target_troubles import TargetTroubles

DRAWS = 400
# Words that are played as others: a cut is also one from the store.
KINDS = {
    'node_cut': ('link_cut', 'store_gate'),
    'core_cut': ('link_cut', 'store_gate'),
}


def planned(*entries: PlanEntry):
    spread = Spread(site=small_site(), hosts=small_hosts(), length_s=32, seed=1)
    return Planner(spread=spread).plan(entries, None)


class TestOwnPlans:
    """Plans that belong to no day."""

    # Guards against a plan of the rig's own that cannot be played.
    @pytest.mark.parametrize('name', OWN_PLANS)
    def test_played(self, name):
        site = site_of(small_site(), name)
        spread = Spread(site=site, hosts=small_hosts(), length_s=40, seed=1)
        plan = plan_of(spread, name)
        # A shift has nowhere to go to here.
        words = {each.kind for each in OWN_PLANS[name]} - {'shift'}

        assert [
            left for left in plan.not_played if not left.startswith('shift')
        ] == []
        kinds = {kind for word in words for kind in KINDS.get(word, (word,))}
        assert kinds == {made.kind for made in plan.disruptions}
        assert length_of(site, name, 32) == 32


def ways_of(kind: str, how: str, ratio: float = 1) -> set[str]:
    """Return the ways of many answers of a target that a word struck."""
    plan = planned(PlanEntry(at=1, kind=kind, how=how, ratio=ratio))
    assert plan.not_played == ()
    troubles = TargetTroubles(rng=random.Random(1))
    troubles.begin(plan.disruptions[0])
    return {troubles.way() for _ in range(DRAWS)}


class TestWordsOfTargets:
    """Each word of the days strikes some targets and changes answers."""

    # Guards against a word that is planned and then does nothing.
    @pytest.mark.parametrize(
        ('kind', 'how', 'ways'),
        [
            ('garble', '', {'cut head', 'cut body', 'spoiled'}),
            ('garble', 'extra', {'twice'}),
            ('garble', 'extra late', {'twice', 'twice late'}),
            ('garble', 'unframed', {'unframed', 'unframed reset'}),
            ('garble', 'early', {PLAIN}),
            ('answer_lost', '', {'lost'}),
            ('answer_lost', 'reset', {'lost by reset'}),
            ('stall', '', {'stalled'}),
            ('endless', '', {f'endless {name}' for name in ENDLESS}),
            *(('endless', name, {f'endless {name}'}) for name in ENDLESS),
            ('srv_slow', '', {PLAIN}),
            ('srv_grey', 'shed all', {PLAIN}),
        ],
    )
    def test_ways(self, kind, how, ways):
        assert ways_of(kind, how) == ways
        assert ways <= set(WAYS)

    # Guards against a share of answers that is all or none.
    def test_part_of_the_answers(self):
        assert ways_of('answer_lost', '', 0.5) == {'lost', PLAIN}

    # Guards against striking targets of other services, or sparing all.
    def test_service(self):
        plan = planned(
            PlanEntry(at=1, kind='garble', service='ledger', share=0.5)
        )
        names = {made.host for made in plan.disruptions}

        assert len(names) == 2
        assert all(name.startswith('ledger') for name in names)

    # Guards against sparing a target where none is to be spared.
    def test_none_is_spared(self):
        plan = planned(
            PlanEntry(at=1, kind='srv_grey', how='shed all', service='desk')
        )

        assert len(plan.disruptions) == 3

    # Guards against answers without end at the targets of one service only.
    def test_endless_at_each_service(self):
        plan = planned(PlanEntry(at=1, kind='endless'))

        services = {made.host.split('-')[0] for made in plan.disruptions}
        assert services == set(SERVICES)

    # Guards against a trouble that never ends.
    def test_ends(self):
        made = Disruption(at_s=1, kind='answer_lost', ratio=1, for_s=5)
        troubles = TargetTroubles(rng=random.Random(1))
        troubles.begin(made)
        troubles.end(made)

        assert troubles.way() == PLAIN

    # Guards against mixing up slow, shedding, failing and early targets.
    @pytest.mark.parametrize(
        ('kind', 'how', 'seen'),
        [
            ('srv_slow', '', (3, False, False, False)),
            ('srv_grey', 'shed', (1, True, False, False)),
            ('srv_grey', '', (1, False, True, False)),
            ('garble', 'early', (1, False, False, True)),
            ('garble', '', (1, False, False, False)),
        ],
    )
    def test_other_behaviour(self, kind, how, seen):
        troubles = TargetTroubles(rng=random.Random(1))
        troubles.begin(Disruption(at_s=0, kind=kind, how=how, ratio=3))

        assert seen == (
            troubles.slowness,
            troubles.sheds(),
            troubles.fails(),
            troubles.rejects_early(),
        )


def clients_under(*entries: PlanEntry, zone: str = 'z') -> ClientTroubles:
    troubles = ClientTroubles(zone=zone, rng=random.Random(1))
    for made in planned(*entries).disruptions:
        troubles.begin(made)
    return troubles


class TestWordsOfClients:
    """Bursts, repeats, early leavers and shifts."""

    # Guards against a burst that presses another zone, or none.
    @pytest.mark.parametrize(
        ('zone', 'ratio'), [('', 1.8), ('z', 1.8), ('other', 1)]
    )
    def test_burst(self, zone, ratio):
        entry = PlanEntry(at=1, kind='burst', ratio=1.8, zone=zone)

        assert clients_under(entry).rate_ratio == ratio

    # Guards against clients that all repeat, or none.
    @pytest.mark.parametrize(('place', 'repeats'), [(0.39, 3), (0.4, 0)])
    def test_retry_abuse(self, place, repeats):
        entry = PlanEntry(at=1, kind='retry_abuse', ratio=3, share=0.4)

        assert clients_under(entry).repeats(place) == repeats

    # Guards against clients that leave later than the word says.
    @pytest.mark.parametrize(('ratio', 'most_s'), [(1500, 1.5), (None, 0.4)])
    def test_give_up(self, ratio, most_s):
        entry = PlanEntry(at=1, kind='give_up', ratio=ratio, share=0.3)
        troubles = clients_under(entry)
        left_s = [troubles.patience_s(0.1, 800) for _ in range(DRAWS)]

        assert 0.9 * most_s < max(left_s) <= most_s
        assert troubles.patience_s(0.3, 800) == float('inf')

    # Guards against clients that leave, or retry, though they send once.
    @pytest.mark.parametrize(
        ('entries', 'retries', 'leaves'),
        [
            ((), 1, False),
            (('give_up',), 1, True),
            (('give_up once',), 0, False),
            (('give_up once', 'retry_abuse'), 0, False),
            (('retry_abuse',), 4, False),
        ],
    )
    def test_once(self, entries, retries, leaves):
        words = [word.partition(' ') for word in entries]
        troubles = clients_under(
            *(
                PlanEntry(at=1, kind=kind, how=how, share=0.3)
                for kind, _, how in words
            )
        )

        assert troubles.retries(0.2) == retries
        assert troubles.retries(0.3) == 1
        assert (troubles.patience_s(0.2, 800) < 1) is leaves

    # Guards against a shift without a place to go to, or of all clients.
    def test_shift(self):
        assert planned(PlanEntry(at=1, kind='shift')).disruptions == ()
        troubles = ClientTroubles(zone='z', rng=random.Random(1))
        troubles.begin(
            Disruption(at_s=1, kind='shift', zone='z', to_zone='y', share=0.5)
        )
        seen = [troubles.shift for _ in range(DRAWS)]

        assert 0.4 < sum(found is not None for found in seen) / DRAWS < 0.6
        assert {found.to_zone for found in seen if found} == {'y'}

    # Guards against a player that leaves its clients under pressure.
    def test_player(self, tmp_path):
        records = RecordFile(path=tmp_path / 'records')
        troubles = ClientTroubles(zone='z', rng=random.Random(1))
        player = ClientPlayer(troubles=troubles, records=records)
        burst = Disruption(at_s=0, kind='burst', ratio=2, for_s=0.05)

        async def play() -> tuple[float, float]:
            playing = asyncio.ensure_future(player.play(burst))
            await asyncio.sleep(0)
            during = troubles.rate_ratio
            await playing
            return during, troubles.rate_ratio

        assert asyncio.run(play()) == (2, 1)
        records.close()
