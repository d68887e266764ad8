"""Whole fleets of cores on a fake network."""

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


class _NoChoice(PeerChoice):
    """Gossips with nobody, so that only direct messages are left."""

    def pick(self, catalog, rng):
        """Pick nobody."""

    def _weights(self, counts):
        return []


def _states(fleet: Fleet, name: str) -> set[InstanceState | None]:
    known = (
        node.view.catalog.find(name)
        for node in fleet.nodes
        if not node.is_dead and node.name != name
    )
    return {one.state if one else None for one in known}


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


def _everywhere(fleet: Fleet, revision: int) -> bool:
    return all(
        node.view.documents.held >= revision
        for node in fleet.nodes
        if not node.is_dead
    )


def _run(fleet: Fleet, seconds_s: float, is_done=None) -> bool:
    until_s = fleet.network.now_s + seconds_s
    return fleet.network.run(until_s=until_s, is_done=is_done)


def _drain(
    fleet: Fleet, leaver: FakeNode, callers: tuple[FakeNode, ...]
) -> None:
    news = leaver.core.announce(
        InstanceState.DRAINING,
        now_s=leaver.clock_s(fleet.network.now_s),
        notify=tuple(caller.address for caller in callers),
    )
    fleet.network.send(leaver, news)


def _at(fleet: Fleet, place: Place) -> list[FakeNode]:
    return [node for node in fleet.nodes if node.place == place]


def _readers(nodes: list[FakeNode]) -> set[tuple[str, ...]]:
    return {node.core.reader_choice.readers() for node in nodes}


class TestSpread:
    """Changes reach everybody in time and in small datagrams."""

    @pytest.mark.parametrize(
        'link',
        [Link(), Link(loss_ratio=0.1, duplicate_ratio=0.1, jitter_s=0.3)],
        ids=['good', 'bad'],
    )
    @pytest.mark.parametrize('size', [24, 192])
    def test_a_change_of_rules_is_everywhere(self, size, link):
        fleet = Fleet(size=size, where=_THIRTEEN_DOMAINS, link=link)
        _run(fleet, 3)
        _read_store(fleet, fleet.nodes[0], 1)
        assert _run(fleet, _CHANGE_BOUND_S, lambda: _everywhere(fleet, 1))
        assert fleet.network.traffic.largest_bytes < 1400

    @pytest.mark.parametrize('loss_ratio', [0, 0.1])
    def test_callers_learn_of_a_drain(self, loss_ratio):
        fleet = Fleet(
            size=192,
            where=_THIRTEEN_DOMAINS,
            link=Link(loss_ratio=loss_ratio),
            choice=_NoChoice,
        )
        _run(fleet, 3)
        leaver, *callers = fleet.nodes[:120]
        _drain(fleet, leaver, tuple(callers))
        _run(fleet, _DRAIN_BOUND_S)
        known = [node.view.catalog.find(leaver.name) for node in callers]
        assert {one.state for one in known} == {InstanceState.DRAINING}

    @pytest.mark.parametrize('choice', [SpatialChoice, UniformChoice])
    def test_everybody_learns_of_a_drain(self, choice):
        fleet = Fleet(size=192, where=_THIRTEEN_DOMAINS, choice=choice)
        _run(fleet, 3)
        _drain(fleet, fleet.nodes[0], ())
        _run(fleet, _CHANGE_BOUND_S)
        name = fleet.nodes[0].name
        assert _states(fleet, name) == {InstanceState.DRAINING}

    def test_a_burst_of_documents_needs_no_bulk_copy(self):
        fleet = Fleet(size=24, where=_SIX_DOMAINS)
        _run(fleet, 3)
        for revision in range(1, 21):
            _read_store(fleet, fleet.nodes[0], revision)
        assert _run(fleet, _CHANGE_BOUND_S, lambda: _everywhere(fleet, 20))
        assert not fleet.network.traffic.bulk_copies


class TestStart:
    """Nodes that start know nobody but the seeds."""

    def test_a_fleet_forms_while_the_store_is_down(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS, is_acquainted=False)
        _run(fleet, 20)
        assert {node.view.catalog.present_count for node in fleet.nodes} == {48}

    def test_a_late_node_catches_up(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _run(fleet, 3)
        for revision in range(1, 201):
            _read_store(fleet, fleet.nodes[0], revision)
        _run(fleet, 15)
        late = fleet.start(announcement(48, place=_SIX_DOMAINS[0]))
        _run(fleet, _CHANGE_BOUND_S)
        assert late.view.documents.held == 200
        assert late.view.catalog.present_count == 49
        assert _states(fleet, late.name) == {InstanceState.SERVING}


class TestLoss:
    """Instances are removed in steps, and only single ones."""

    def test_a_dead_host_is_suspected_then_lost(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _run(fleet, 5)
        fleet.nodes[7].is_dead = True
        name = fleet.nodes[7].name
        seen = []
        for _ in range(60):
            _run(fleet, 0.5)
            seen.append(_states(fleet, name))
        order = [
            min(step for step, states in enumerate(seen) if state in states)
            for state in (InstanceState.SUSPECT, InstanceState.LOST)
        ]
        assert order[0] < order[1]
        assert seen[-1] == {InstanceState.LOST}

    @pytest.mark.parametrize('size', [3, 6])
    @pytest.mark.parametrize('domains', [1, 3])
    def test_small_fleets_lose_a_host_too(self, size, domains):
        where = places(regions=1, domains=domains)
        fleet = Fleet(size=size, where=where)
        _run(fleet, 5)
        fleet.nodes[1].is_dead = True
        _run(fleet, 40)
        name = fleet.nodes[1].name
        assert _states(fleet, name) == {InstanceState.LOST}

    @pytest.mark.parametrize('seed', range(3))
    def test_nobody_is_suspected_over_bad_links(self, seed):
        link = Link(loss_ratio=0.1, jitter_s=0.2)
        fleet = Fleet(size=48, where=_SIX_DOMAINS, link=link, seed=seed)
        _run(fleet, 60)
        assert {node.view.own.sequence for node in fleet.nodes} == {1}

    def test_a_woken_host_is_back(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _run(fleet, 5)
        sleeper = fleet.nodes[7]
        sleeper.is_frozen = True
        _run(fleet, 40)
        name = sleeper.name
        assert _states(fleet, name) == {InstanceState.LOST}
        fleet.network.thaw(sleeper)
        _run(fleet, 10)
        assert _states(fleet, name) == {InstanceState.SERVING}
        assert not sleeper.view.is_superseded

    def test_a_woken_host_yields_to_its_successor(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _run(fleet, 5)
        sleeper = fleet.nodes[7]
        own = sleeper.view.own
        sleeper.is_frozen = True
        _run(fleet, 5)
        successor = announcement(
            700, place=own.place, incarnation=own.incarnation + 5000
        )
        renamed = msgspec.structs.replace(
            successor, name=own.name, service=own.service
        )
        fleet.start(renamed)
        _run(fleet, 10)
        fleet.network.thaw(sleeper)
        _run(fleet, 10)
        assert sleeper.view.is_superseded
        known = fleet.nodes[0].core.instances(own.service)
        assert renamed.instance in {one.instance for one in known}
        assert _states(fleet, own.name) == {InstanceState.SERVING}


class TestStorm:
    """Many that look lost at once are not removed."""

    def test_a_lost_failure_domain_is_kept(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _run(fleet, 5)
        gone = _at(fleet, _SIX_DOMAINS[0])
        names = [node.name for node in gone]
        for host in gone:
            host.is_dead = True
        _run(fleet, 60)
        states = set().union(*(_states(fleet, name) for name in names))
        assert InstanceState.LOST not in states

    def test_regions_apart_keep_each_other_and_merge(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _run(fleet, 5)
        fleet.network.link.is_cut = lambda source, target: (
            source.region != target.region
        )
        _run(fleet, 60)
        counts = {node.view.catalog.present_count for node in fleet.nodes}
        assert counts == {96}
        lonely = fleet.nodes[0]
        _drain(fleet, lonely, ())
        _run(fleet, 20)
        fleet.network.link.is_cut = None
        _run(fleet, _CHANGE_BOUND_S)
        roots = {node.view.catalog.root for node in fleet.nodes}
        assert len(roots) == 1
        assert _states(fleet, lonely.name) == {InstanceState.DRAINING}

    def test_a_node_cut_off_alone_removes_nobody(self):
        fleet = Fleet(size=48, where=_SIX_DOMAINS)
        _run(fleet, 5)
        alone = fleet.nodes[0].core
        lonely_place = fleet.nodes[0].place
        fleet.network.link.is_cut = lambda source, target: (
            lonely_place in (source, target)
        )
        _run(fleet, 60)
        assert alone.view.catalog.present_count == 48


class TestReaders:
    """Some nodes of each failure domain read, whoever dies."""

    def test_readers_agree_and_are_replaced(self):
        fleet = Fleet(size=96, where=_SIX_DOMAINS)
        _run(fleet, 5)
        for place in _SIX_DOMAINS:
            here = _at(fleet, place)
            picks = _readers(here)
            assert len(picks) == 1
            assert len(picks.pop()) == 3
        here = _at(fleet, _SIX_DOMAINS[0])
        before = here[0].core.reader_choice.readers()
        for reader in here:
            reader.is_dead = reader.name == before[0]
        _run(fleet, 12)
        after = _readers([node for node in here if not node.is_dead])
        assert len(after) == 1
        assert before[0] not in after.pop()
