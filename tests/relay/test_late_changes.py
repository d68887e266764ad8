"""Changes of the configuration that reach nodes late, or not at all.

A change has to be in force on each node that reaches the store within
``BOUND_S`` of the store's acknowledgement, whatever happens to other nodes.
"""

import asyncio

import pytest

from tests.relay.simulated_loop import run_simulated
from tests.relay.simulated_sync import SyncedFleet

# The users' bound for a change on their deployments of today.
BOUND_S = 2.5
_SETTLED_S = 10
_SIZES = (24, 196)
_SEEDS = (1, 2, 3)


def _play(trouble, *, nodes):
    """Change the routes during ``trouble``; return the late nodes by seed.

    ``trouble(fleet)`` is awaited in a settled fleet. It returns the nodes that
    are in trouble themselves, from which nothing is expected.
    """

    async def play(seed):
        fleet = SyncedFleet(nodes=nodes, seed=seed)
        await fleet.start(_SETTLED_S)
        excused = await trouble(fleet)
        fleet.change(2)
        await asyncio.sleep(BOUND_S)
        late = fleet.late(2, fleet.others(excused))
        await fleet.stop()
        return late

    return _late_by_seed(play)


def _late_by_seed(play):
    """Return the names of late nodes by seed, without seeds that have none."""
    late = {seed: run_simulated(play, seed) for seed in _SEEDS}
    return {seed: names for seed, names in late.items() if names}


_with_sizes = pytest.mark.parametrize('nodes', _SIZES)


class TestCalmFleet:
    """A fleet without trouble."""

    @_with_sizes
    def test_a_change_is_in_force_in_time(self, nodes):
        async def no_trouble(fleet):
            return ()

        assert not _play(no_trouble, nodes=nodes)


class TestReadersInTrouble:
    """The nodes that read the store for others fail in some way."""

    @_with_sizes
    def test_guards_against_readers_whose_store_is_silent(self, nodes):
        async def silence(fleet):
            readers = fleet.readers()
            for reader in readers:
                reader.silent_servers.add('store')
            return readers

        assert not _play(silence, nodes=nodes)

    @_with_sizes
    def test_guards_against_readers_that_are_killed(self, nodes):
        async def kill(fleet):
            readers = fleet.readers()
            for reader in readers:
                await reader.stop()
            return readers

        assert not _play(kill, nodes=nodes)

    @_with_sizes
    def test_guards_against_readers_cut_off_from_the_store(self, nodes):
        async def cut(fleet):
            readers = fleet.readers()
            for reader in readers:
                reader.silent_servers.add('store')
                reader.cut_from.add('store')
            return readers

        assert not _play(cut, nodes=nodes)

    @_with_sizes
    def test_guards_against_readers_that_stop_by_an_error(self, nodes):
        """The error is of a type that no part expects."""

        async def fail(fleet):
            for reader in fleet.readers():
                # One for each task that follows a kind of object.
                reader.errors += [RuntimeError('unexpected') for _ in range(2)]
            fleet.store.compact()
            await asyncio.sleep(3)
            return ()

        assert not _play(fail, nodes=nodes)


class TestNodesInTrouble:
    """Nodes that other nodes can't tell of a change."""

    @_with_sizes
    def test_guards_against_a_node_without_peers(self, nodes):
        """It is cut off from all other nodes, but not from the store."""

        async def cut(fleet):
            readers = fleet.readers()
            lonely = next(node for node in fleet.nodes if node not in readers)
            lonely.cut_from |= {node.name for node in fleet.nodes}
            await asyncio.sleep(1)
            return ()

        assert not _play(cut, nodes=nodes)

    @_with_sizes
    def test_guards_against_peers_that_hand_over_nothing(self, nodes):
        """Peers tell a version and don't answer the request for it."""

        async def silence(fleet):
            readers = fleet.readers()
            names = {node.name for node in fleet.nodes}
            for node in fleet.others(readers):
                node.silent_servers |= names
            return ()

        assert not _play(silence, nodes=nodes)


class TestRestart:
    """Nodes that start again."""

    @_with_sizes
    def test_guards_against_a_start_of_all_nodes_beside_stale_reads(
        self, nodes
    ):
        async def play(seed):
            fleet = SyncedFleet(nodes=nodes, seed=seed)
            await fleet.start(_SETTLED_S)
            await fleet.stop()
            fleet.change(2)
            fleet.store.stale_s = 4
            await fleet.start(BOUND_S)
            late = fleet.late(2)
            await fleet.stop()
            return late

        assert not _late_by_seed(play)

    @_with_sizes
    def test_guards_against_an_older_version_after_a_start(self, nodes):
        """A stale read must not undo a change on a node that starts again."""

        async def play(seed):
            fleet = SyncedFleet(nodes=nodes, seed=seed)
            await fleet.start(_SETTLED_S)
            fleet.change(2)
            await asyncio.sleep(BOUND_S)
            fleet.store.stale_s = 4
            restarted = fleet.nodes[: nodes // 2]
            await asyncio.gather(*(node.restart() for node in restarted))
            await asyncio.sleep(BOUND_S)
            await fleet.stop()
            return [
                node.name
                for node in restarted
                if node.versions_since_start() != [2]
            ]

        assert not _late_by_seed(play)
