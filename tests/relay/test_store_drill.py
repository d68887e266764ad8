"""The store comes back from an older copy, to fleets of real parts.

Calls and datagrams take simulated time. The copy is ``_COPY_AGE_S`` old.
"""

import asyncio

import pytest

from fescueknot.objectapi.revisions import revision_of
from fescueknot.targets.messages import TargetState
from tests.relay.simulated_loop import run_simulated
from tests.relay.simulated_sync import SyncedFleet

_SETTLED_S = 10
_COPY_AGE_S = 3
_AWAY_S = 1
# The users' time for entries to be back after the store's return.
_BACK_S = 2
# The users' bound for a change of the configuration.
_IN_FORCE_S = 2.5
_STORE_CALLS_PER_S = 3200
_with_sizes = pytest.mark.parametrize('nodes', [24, 196])
_with_seeds = pytest.mark.parametrize('seed', [1, 2, 3])


async def _settled_fleet(nodes, seed=1):
    fleet = SyncedFleet(nodes=nodes, seed=seed)
    await fleet.start(_SETTLED_S)
    return fleet


async def _drill(fleet):
    await fleet.store.drill(copy_age_s=_COPY_AGE_S, away_s=_AWAY_S)


def _ignorant(fleet, node, **fields):
    """Return the names of nodes that don't know a node's entry so."""
    return [
        other.name
        for other in fleet.nodes
        if other.is_running and not other.knows(node, **fields)
    ]


def _eras_logged(node):
    return [
        (details['before'], details['now'])
        for event, details in node.observer.events
        if event == 'store.era'
    ]


class TestLeaving:
    """A target leaves in the seconds that the copy has lost."""

    @_with_seeds
    @_with_sizes
    def test_it_is_written_again_and_known_everywhere(self, nodes, seed):
        # Guards against an entry that the drill turns back to serving.
        async def scenario():
            fleet = await _settled_fleet(nodes, seed)
            leaving = fleet.nodes[5]
            leaving.publish(state=TargetState.DRAINING)
            await asyncio.sleep(1)
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            stored = fleet.store.read('fescueknot-targets')['n5']
            return stored, _ignorant(fleet, leaving, state=TargetState.DRAINING)

        stored, ignorant = run_simulated(scenario)
        assert stored['state'] == 'draining'
        assert not ignorant

    def test_two_drills_in_a_row_lose_nothing(self):
        async def scenario():
            fleet = await _settled_fleet(24)
            leaving = fleet.nodes[5]
            leaving.publish(state=TargetState.DRAINING)
            await asyncio.sleep(1)
            for _ in range(2):
                await _drill(fleet)
                await asyncio.sleep(0.5)
            await asyncio.sleep(_BACK_S)
            return _ignorant(fleet, leaving, state=TargetState.DRAINING)

        assert not run_simulated(scenario)

    def test_a_node_that_is_cut_off_from_the_store_learns_the_era(self):
        async def scenario():
            fleet = await _settled_fleet(24)
            cut_off = fleet.nodes[7]
            cut_off.cut_from.add('store')
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            return cut_off.fleet_sync.store_era

        assert run_simulated(scenario) == 2


class TestEntries:
    """Entries that the copy has lost or brings back."""

    @_with_seeds
    @_with_sizes
    def test_a_lost_entry_is_back_in_time(self, nodes, seed):
        async def scenario():
            fleet = await _settled_fleet(nodes, seed)
            started = fleet.nodes[5]
            started.publish(instance='i-new', started_ms=2)
            await asyncio.sleep(1)
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            return _ignorant(fleet, started, instance='i-new')

        assert not run_simulated(scenario)

    def test_an_entry_that_only_the_old_era_had_is_dropped(self):
        # Guards against a target that is gone and stays listed for ever.
        async def scenario():
            fleet = await _settled_fleet(24)
            gone = fleet.nodes[5]
            gone.publish(instance='i-new', started_ms=2)
            await asyncio.sleep(1)
            await gone.stop()
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            return _ignorant(fleet, gone, instance='i-n5')

        assert not run_simulated(scenario)

    @_with_sizes
    def test_the_calls_to_the_store_are_few(self, nodes):
        async def scenario():
            fleet = await _settled_fleet(nodes)
            for node in fleet.nodes:
                node.publish(slots=7)
            await asyncio.sleep(1)
            await _drill(fleet)
            before = fleet.store.calls
            await asyncio.sleep(_BACK_S)
            return fleet.store.calls - before

        assert run_simulated(scenario) < _STORE_CALLS_PER_S * _BACK_S / 2

    def test_all_entries_are_back_though_all_were_lost(self):
        async def scenario():
            fleet = await _settled_fleet(196)
            for node in fleet.nodes:
                node.publish(slots=7)
            await asyncio.sleep(1)
            await _drill(fleet)
            await asyncio.sleep(2 * _BACK_S)
            return [
                lost.name
                for lost in fleet.nodes
                if _ignorant(fleet, lost, slots=7)
            ]

        assert not run_simulated(scenario)


class TestConfiguration:
    """The operator's configuration across a drill."""

    @_with_seeds
    def test_a_version_in_force_is_never_given_up(self, seed):
        async def scenario():
            fleet = await _settled_fleet(24, seed)
            fleet.change(2)
            await asyncio.sleep(_IN_FORCE_S)
            fleet.store.is_away = True
            fleet.store.restore_copy(_COPY_AGE_S)
            fleet.store.remove('config', 'main')
            fleet.change(1)
            fleet.store.is_away = False
            await asyncio.sleep(_BACK_S)
            return fleet.late(2)

        assert not run_simulated(scenario)

    @_with_seeds
    @_with_sizes
    def test_a_change_after_it_is_in_force_in_time(self, nodes, seed):
        async def scenario():
            fleet = await _settled_fleet(nodes, seed)
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            fleet.change(2)
            await asyncio.sleep(_IN_FORCE_S)
            return fleet.late(2)

        assert not run_simulated(scenario)

    def test_a_node_that_starts_after_it_gets_the_version_in_force(self):
        async def scenario():
            fleet = await _settled_fleet(24)
            fleet.change(2)
            await asyncio.sleep(_IN_FORCE_S)
            fleet.store.restore_copy(_COPY_AGE_S)
            fleet.store.remove('config', 'main')
            fleet.change(1)
            await asyncio.sleep(_BACK_S)
            await fleet.nodes[3].restart()
            await asyncio.sleep(_BACK_S)
            return fleet.late(2)

        assert not run_simulated(scenario)


class TestLog:
    """What a node tells of a new era."""

    def test_each_node_logs_it_once(self):
        async def scenario():
            fleet = await _settled_fleet(24)
            await _drill(fleet)
            await asyncio.sleep(_BACK_S)
            return [_eras_logged(node) for node in fleet.nodes]

        assert all(logged == [(1, 2)] for logged in run_simulated(scenario))

    def test_revisions_of_the_new_era_come_after_all_others(self):
        assert revision_of(2, 1) > revision_of(1, 1 << 47)
