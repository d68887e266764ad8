"""Entries of other writers among those of the targets."""

import asyncio
import json

import msgspec
import pytest

from fescueknot.gossip.documents import Document
from fescueknot.identity import Place
from fescueknot.quarantine.book import SuspectBook
from fescueknot.randomness import seeded
from fescueknot.relay.quarantine_archive import (
    QUARANTINE_KIND,
    QuarantineArchive,
)
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.publisher import TARGETS_KIND
from tests.odd_inputs import DEEP, HUGE, ODD_ENTRIES
from tests.relay.fakes import MemoryStore, RecordingObserver, target_documents
from tests.relay.simulated_loop import run_simulated
from tests.relay.simulated_sync import SyncedFleet

BOUND_S = 2.5
_NODES = 8
_PLACE = Place(region='r0', failure_domain='d0')

_with_odd_entries = pytest.mark.parametrize(
    'odd', ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys()
)


def _write(fleet, name, text):
    fleet.store.write(TARGETS_KIND, name, msgspec.Raw(text.encode()))


def _ended_tasks(fleet):
    return [
        details
        for node in fleet.nodes
        for event, details in node.observer.events
        if event == 'node.task_ended'
    ]


def _known_to_all(fleet):
    """Return the instances that the nodes know, all of them the same."""
    known = {
        frozenset(entry.instance for entry in node.directory.all_entries())
        for node in fleet.nodes
    }
    assert len(known) == 1
    return known.pop()


class TestOddEntryInTheStore:
    """One odd entry costs only itself."""

    @_with_odd_entries
    def test_guards_against_nodes_that_start_beside_it(self, odd):
        async def play():
            fleet = SyncedFleet(nodes=_NODES, domains=2)
            _write(fleet, 'another-writer', odd)
            await fleet.start(BOUND_S)
            known = _known_to_all(fleet)
            await fleet.stop()
            assert not _ended_tasks(fleet)
            assert not fleet.late(1)
            return known

        expected = {f'i-n{number}' for number in range(_NODES)}
        assert run_simulated(play) == expected

    @_with_odd_entries
    def test_guards_against_nodes_that_stop_following(self, odd):
        """It is written among other changes, which must come through."""

        async def play():
            fleet = SyncedFleet(nodes=_NODES, domains=2)
            await fleet.start(8)
            fleet.store.remove(TARGETS_KIND, 'n3')
            _write(fleet, 'another-writer', odd)
            entry = json.loads(msgspec.json.encode(fleet.nodes[1].entry))
            changed = {**entry, 'instance': 'i-new'}
            fleet.store.write(TARGETS_KIND, 'n1', changed)
            fleet.change(2)
            await asyncio.sleep(2 * BOUND_S)
            known = _known_to_all(fleet)
            await fleet.stop()
            assert not _ended_tasks(fleet)
            assert not fleet.late(2)
            return known

        expected = {f'i-n{number}' for number in range(_NODES)}
        expected = (expected - {'i-n1', 'i-n3'}) | {'i-new'}
        assert run_simulated(play) == expected

    def test_guards_against_a_page_of_odd_entries(self):
        """Many of them fill a page of the listing."""

        async def play():
            fleet = SyncedFleet(nodes=_NODES, domains=2)
            fleet.store._page_size = 5
            for number in range(20):
                _write(fleet, f'a-{number:02}', '{"x": 1}')
            _write(fleet, 'a-deep', DEEP)
            await fleet.start(BOUND_S)
            known = _known_to_all(fleet)
            await fleet.stop()
            return known

        expected = {f'i-n{number}' for number in range(_NODES)}
        assert run_simulated(play) == expected


class TestOddDocument:
    """An odd document that another node passes on."""

    @_with_odd_entries
    def test_the_directory_leaves_it_out(self, odd):
        directory = TargetDirectory()
        directory.apply_changes(target_documents(_PLACE, 1))
        odd_document = Document(key='k/odd', revision=2, content=odd)
        directory.apply_changes((odd_document,))
        directory.apply_changes(target_documents(_PLACE, 2))
        instances = {entry.instance for entry in directory.all_entries()}
        assert instances == {'i-1', 'i-2'}


class TestOddQuarantineRecord:
    """An odd record among those of requests that are held back."""

    @pytest.mark.parametrize(
        'odd',
        [
            DEEP,
            f'{{"written_ms": {HUGE}, "crashes": []}}',
            '{"written_ms": -1, "crashes": []}',
            f'{{"written_ms": 1, "crashes": [["i", 1, {HUGE}]]}}',
            '[]',
        ],
    )
    def test_guards_against_a_node_that_ends_by_it(self, odd):
        async def load():
            store = MemoryStore()
            store.values[f'{QUARANTINE_KIND}/odd'] = odd
            store.values[f'{QUARANTINE_KIND}/{"ab" * 8}'] = (
                '{"written_ms": 0, "crashes": [["i", 1, 0]]}'
            )
            book = SuspectBook()
            archive = QuarantineArchive(
                store=store,
                book=book,
                observer=RecordingObserver(),
                rng=seeded(seed=1),
                wall_s=lambda: 1,
            )
            task = asyncio.ensure_future(archive.run())
            await asyncio.sleep(1)
            assert not task.done()
            task.cancel()
            return len(book.records_of(('ab' * 8,), 1))

        assert run_simulated(load) == 1
