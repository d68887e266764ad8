"""Fleets of cores on a fake network."""

import msgspec
import pytest

from fescueknot.bench.fakenetwork import FakeNode, Link
from fescueknot.bench.gossipfleets import Fleet, announcement, places
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.gossip.peer_choice import (
    PeerChoice,
    SpatialChoice,
    UniformChoice,
)
from fescueknot.identity import Place
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.feeds import Reading

_SIX_DOMAINS = places(regions=3, domains=6)
_THIRTEEN_DOMAINS = places(regions=6, domains=13)
_DRAIN_BOUND_S = 2.0
_CHANGE_BOUND_S = 9.0


class _NoGossip(PeerChoice):
    """Picks no peer, so that only direct messages are sent."""

    def pick(self, catalog, rng):
        """Return no peer."""

    def _weights(self, counts):
        return []


def _states(fleet: Fleet, name: str) -> set[InstanceState | None]:
    known = (
        node.view.catalog.find(name)
        for node in fleet.nodes
        if not node.is_dead and node.name != name
    )
    return {instance.state if instance else None for instance in known}


def _read_store(fleet: Fleet, node: FakeNode, revision: int) -> None:
    now_s = node.clock_s(fleet.network.now_s)
    document = Document(
        key=f'rules/log/{revision}', revision=revision, content='x' * 300
    )
    node.core.take_reading(
        Reading(
            asked_at_s=now_s,
            transfer=Transfer(
                after=revision - 1,
                upto=revision,
                goal=revision,
                documents=(document,),
            ),
        )
    )


def _is_held_by_all(fleet: Fleet, revision: int) -> bool:
    return all(
        node.view.documents.held >= revision
        for node in fleet.nodes
        if not node.is_dead
    )


def _advance(fleet: Fleet, seconds_s: float, is_done=None) -> bool:
    until_s = fleet.network.now_s + seconds_s
    return fleet.network.run(until_s=until_s, is_done=is_done)


def _start_drain(
    fleet: Fleet, draining_node: FakeNode, callers: tuple[FakeNode, ...]
) -> None:
    notifications = draining_node.core.announce(
        InstanceState.DRAINING,
        now_s=draining_node.clock_s(fleet.network.now_s),
        notify=tuple(caller.address for caller in callers),
    )
    fleet.network.send(draining_node, notifications)


def _nodes_at(fleet: Fleet, place: Place) -> list[FakeNode]:
    return [node for node in fleet.nodes if node.place == place]


def _readers(nodes: list[FakeNode]) -> set[tuple[str, ...]]:
    return {node.core.reader_choice.readers() for node in nodes}


class TestDissemination:
    """Changes reach all nodes in time and in small datagrams."""

    @pytest.mark.parametrize(
        'link',
        [Link(), Link(loss_ratio=0.1, duplicate_ratio=0.1, jitter_s=0.3)],
        ids=['good', 'bad'],
    )
    @pytest.mark.parametrize('size', [24, 192])
    def test_a_rule_change_reaches_all_nodes(self, size, link):
        fleet = Fleet(size=size, where=_THIRTEEN_DOMAINS, link=link)
        _advance(fleet, 3)
        _read_store(fleet, fleet.nodes[0], 1)
        assert _advance(
            fleet, _CHANGE_BOUND_S, lambda: _is_held_by_all(fleet, 1)
        )
        assert fleet.network.traffic.largest_bytes < 1400

    @pytest.mark.parametrize('loss_ratio', [0, 0.1])
    def test_a_drain_reaches_callers_without_gossip(self, loss_ratio):
        fleet = Fleet(
            size=192,
            where=_THIRTEEN_DOMAINS,
            link=Link(loss_ratio=loss_ratio),
            choice=_NoGossip,
        )
        _advance(fleet, 3)
        draining_node, *callers = fleet.nodes[:120]
        _start_drain(fleet, draining_node, tuple(callers))
        _advance(fleet, _DRAIN_BOUND_S)
        known = [node.view.catalog.find(draining_node.name) for node in callers]
        assert {instance.state for instance in known} == {
            InstanceState.DRAINING
        }

    @pytest.mark.parametrize('choice', [SpatialChoice, UniformChoice])
    def test_a_drain_reaches_all_nodes_by_gossip(self, choice):
        fleet = Fleet(size=192, where=_THIRTEEN_DOMAINS, choice=choice)
        _advance(fleet, 3)
        _start_drain(fleet, fleet.nodes[0], ())
        _advance(fleet, _CHANGE_BOUND_S)
        name = fleet.nodes[0].name
        assert _states(fleet, name) == {InstanceState.DRAINING}

    def test_many_documents_need_no_bulk_copy(self):
        fleet = Fleet(size=24, where=_SIX_DOMAINS)
        _advance(fleet, 3)
        for revision in range(1, 21):
            _read_store(fleet, fleet.nodes[0], revision)
        assert _advance(
            fleet, _CHANGE_BOUND_S, lambda: _is_held_by_all(fleet, 20)
        )
        assert not fleet.network.traffic.bulk_copies


class TestStart:
    """Nodes that start with only the seeds."""

    def test_a_fleet_forms_without_the_store(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS, is_acquainted=False)
        _advance(fleet, 20)
        assert {node.view.catalog.present_count for node in fleet.nodes} == {48}

    def test_a_late_node_receives_all_state(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _advance(fleet, 3)
        for revision in range(1, 201):
            _read_store(fleet, fleet.nodes[0], revision)
        _advance(fleet, 15)
        late_node = fleet.start(announcement(48, place=_SIX_DOMAINS[0]))
        _advance(fleet, _CHANGE_BOUND_S)
        assert late_node.view.documents.held == 200
        assert late_node.view.catalog.present_count == 49
        assert _states(fleet, late_node.name) == {InstanceState.SERVING}


class TestEviction:
    """Single dead instances are suspected, then lost, and may come back."""

    def test_a_dead_host_is_suspected_then_lost(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        fleet.nodes[7].is_dead = True
        name = fleet.nodes[7].name
        states_by_step = []
        for _ in range(60):
            _advance(fleet, 0.5)
            states_by_step.append(_states(fleet, name))
        first_steps = [
            min(
                step
                for step, states in enumerate(states_by_step)
                if state in states
            )
            for state in (InstanceState.SUSPECT, InstanceState.LOST)
        ]
        assert first_steps[0] < first_steps[1]
        assert states_by_step[-1] == {InstanceState.LOST}

    @pytest.mark.parametrize('size', [3, 6])
    @pytest.mark.parametrize('domains', [1, 3])
    def test_a_dead_host_is_lost_in_small_fleets(self, size, domains):
        where = places(regions=1, domains=domains)
        fleet = Fleet(size=size, where=where)
        _advance(fleet, 5)
        fleet.nodes[1].is_dead = True
        _advance(fleet, 40)
        name = fleet.nodes[1].name
        assert _states(fleet, name) == {InstanceState.LOST}

    @pytest.mark.parametrize('seed', range(3))
    def test_no_instance_is_suspected_over_lossy_links(self, seed):
        link = Link(loss_ratio=0.1, jitter_s=0.2)
        fleet = Fleet(size=48, where=_SIX_DOMAINS, link=link, seed=seed)
        _advance(fleet, 60)
        assert {node.view.own.sequence for node in fleet.nodes} == {1}

    def test_a_resumed_host_serves_again(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        frozen_node = fleet.nodes[7]
        frozen_node.is_frozen = True
        _advance(fleet, 40)
        name = frozen_node.name
        assert _states(fleet, name) == {InstanceState.LOST}
        fleet.network.thaw(frozen_node)
        _advance(fleet, 10)
        assert _states(fleet, name) == {InstanceState.SERVING}
        assert not frozen_node.view.is_superseded

    def test_a_resumed_process_is_superseded_by_its_successor(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        frozen_node = fleet.nodes[7]
        own = frozen_node.view.own
        frozen_node.is_frozen = True
        _advance(fleet, 5)
        successor = announcement(
            700, place=own.place, incarnation=own.incarnation + 5000
        )
        restarted = msgspec.structs.replace(
            successor, name=own.name, service=own.service
        )
        fleet.start(restarted)
        _advance(fleet, 10)
        fleet.network.thaw(frozen_node)
        _advance(fleet, 10)
        assert frozen_node.view.is_superseded
        known = fleet.nodes[0].core.instances(own.service)
        assert restarted.instance in {instance.instance for instance in known}
        assert _states(fleet, own.name) == {InstanceState.SERVING}


class TestMassFailure:
    """Many instances that become unreachable at once are not evicted."""

    def test_a_dead_failure_domain_is_not_evicted(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        dead_nodes = _nodes_at(fleet, _SIX_DOMAINS[0])
        names = [node.name for node in dead_nodes]
        for node in dead_nodes:
            node.is_dead = True
        _advance(fleet, 60)
        states = set().union(*(_states(fleet, name) for name in names))
        assert InstanceState.LOST not in states

    def test_disconnected_regions_evict_nothing_and_merge(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        fleet.network.link.is_cut = lambda source, target: (
            source.region != target.region
        )
        _advance(fleet, 60)
        counts = {node.view.catalog.present_count for node in fleet.nodes}
        assert counts == {96}
        draining_node = fleet.nodes[0]
        _start_drain(fleet, draining_node, ())
        _advance(fleet, 20)
        fleet.network.link.is_cut = None
        _advance(fleet, _CHANGE_BOUND_S)
        roots = {node.view.catalog.root for node in fleet.nodes}
        assert len(roots) == 1
        assert _states(fleet, draining_node.name) == {InstanceState.DRAINING}

    def test_an_isolated_node_evicts_nothing(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        isolated_core = fleet.nodes[0].core
        isolated_place = fleet.nodes[0].place
        fleet.network.link.is_cut = lambda source, target: (
            isolated_place in (source, target)
        )
        _advance(fleet, 60)
        assert isolated_core.view.catalog.present_count == 48


class TestReaders:
    """Each failure domain has readers, and dead readers are replaced."""

    def test_readers_agree_and_are_replaced(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _advance(fleet, 5)
        for place in _SIX_DOMAINS:
            nodes = _nodes_at(fleet, place)
            readers = _readers(nodes)
            assert len(readers) == 1
            assert len(readers.pop()) == 3
        nodes = _nodes_at(fleet, _SIX_DOMAINS[0])
        before = nodes[0].core.reader_choice.readers()
        for reader in nodes:
            reader.is_dead = reader.name == before[0]
        _advance(fleet, 12)
        after = _readers([node for node in nodes if not node.is_dead])
        assert len(after) == 1
        assert before[0] not in after.pop()
