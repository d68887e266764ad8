"""Tests the target directory: changes, bad entries, shared addresses."""

import msgspec

from fescueknot.gossip.documents import Document
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.routing.messages import CandidateState
from fescueknot.targets.directory import TargetDirectory
from fescueknot.targets.messages import TargetEntry, TargetState

_PLACE = Place(region='sierra', failure_domain='sierra-a')


def _entry(instance='i-1', service='entries', **changes):
    fields = {
        'instance': instance,
        'started_ms': 1,
        'service': service,
        'place': _PLACE,
        'node': Address(host='10.0.0.1', port=1),
        'slots': 6,
    }
    return TargetEntry(**{**fields, **changes})


def _text(entry):
    return msgspec.json.encode(entry).decode()


def _documents(**text_by_node):
    return tuple(
        Document(key=f'kind/{node}', revision=5, content=text)
        for node, text in text_by_node.items()
    )


def _change(node, text='null', deleted=False, created=0):
    content = None if deleted else text
    return Document(
        key=f'kind/{node}', revision=9, content=content, created=created
    )


class TestDocuments:
    """Entries from documents of the store."""

    def test_entries_become_candidates_with_their_slots(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        (candidate,) = directory.candidates('entries', 300, 1.0)
        assert (candidate.instance.name, candidate.slots) == ('i-1', 6)

    def test_entries_that_cannot_be_decoded_are_left_out(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _documents(
                n1=_text(_entry()),
                n2='{"instance": 7}',
                n3='no json',
                n4=_text(_entry('i-4')).replace('serving', 'resting'),
            )
        )
        assert list(directory.entries()) == ['n1']

    def test_services_of_removed_and_new_entries_are_returned(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        deletion = _change('n1', deleted=True)
        documents = _documents(n2=_text(_entry('i-2', 'maps')))
        assert directory.apply_changes((deletion, *documents)) == {
            'entries',
            'maps',
        }
        assert list(directory.entries()) == ['n2']


class TestSharedAddress:
    """Two nodes with one address: the node listed later is in effect.

    A node that was replaced on its host can't remove its own entry.
    """

    def _instance_names(self, directory):
        return {
            candidate.instance.name
            for candidate in directory.candidates('entries', 300, 1.0)
        }

    def test_the_later_start_at_an_address_is_in_effect(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _documents(
                old=_text(_entry('i-old', started_ms=1)),
                new=_text(_entry('i-new', started_ms=2)),
            )
        )
        assert self._instance_names(directory) == {'i-new'}

    def test_the_store_revision_outweighs_the_clocks_of_hosts(self):
        directory = TargetDirectory()
        old_entry = _text(_entry('i-old', started_ms=2_000_000))
        new_entry = _text(_entry('i-new', started_ms=1_000_000))
        directory.apply_changes(
            (
                _change('old', old_entry, created=3),
                _change('new', new_entry, created=7),
            )
        )
        assert self._instance_names(directory) == {'i-new'}

    def test_a_late_write_to_the_earlier_entry_has_no_effect(self):
        directory = TargetDirectory()
        new = _text(_entry('i-new'))
        draining = _text(_entry('i-old', state=TargetState.DRAINING))
        directory.apply_changes((_change('new', new, created=7),))
        directory.apply_changes((_change('old', draining, created=3),))
        assert self._instance_names(directory) == {'i-new'}

    def test_the_service_of_the_replaced_entry_is_returned_too(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(old=_text(_entry('i-old'))))
        new = _change('new', _text(_entry('i-new', 'maps', started_ms=2)))
        assert directory.apply_changes((new,)) == {'entries', 'maps'}
        assert not self._instance_names(directory)

    def test_the_earlier_entry_is_in_effect_again_after_a_removal(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _documents(
                other=_text(_entry('i-old')),
                new=_text(_entry('i-new', 'maps', started_ms=2)),
            )
        )
        deletion = _change('new', deleted=True)
        assert directory.apply_changes((deletion,)) == {'entries', 'maps'}
        assert self._instance_names(directory) == {'i-old'}


class TestChanges:
    """Changed and removed entries."""

    def test_a_draining_target_becomes_a_draining_candidate(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        draining = _text(_entry(state=TargetState.DRAINING))
        assert directory.apply_changes((_change('n1', draining),)) == {
            'entries'
        }
        (candidate,) = directory.candidates('entries', 300, 1.0)
        assert candidate.state is CandidateState.DRAINING

    def test_a_removed_entry_is_no_candidate(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        directory.apply_changes((_change('n1', deleted=True),))
        assert directory.candidates('entries', 300, 1.0) == ()

    def test_a_change_that_cannot_be_decoded_removes_the_entry(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        directory.apply_changes((_change('n1', 'garbage'),))
        assert directory.entries() == {}

    def test_one_instance_in_two_entries_is_one_candidate(self):
        directory = TargetDirectory()
        text = _text(_entry())
        directory.apply_changes(_documents(n1=text, n2=text))
        assert len(directory.candidates('entries', 300, 1.0)) == 1

    def test_a_changed_entry_keeps_its_start_time(self):
        directory = TargetDirectory()
        directory.apply_changes(_documents(n1=_text(_entry())))
        directory.candidates('entries', 300, 1)
        directory.apply_changes((_change('n1', _text(_entry(slots=7))),))
        (candidate,) = directory.candidates('entries', 300, 8)
        assert candidate.started_s == 1

    def test_the_address_of_an_instance_is_known_until_its_entry_goes(self):
        directory = TargetDirectory()
        instance = InstanceId(name='i-1', incarnation=1)
        directory.apply_changes(_documents(n1=_text(_entry())))
        assert directory.address_of(instance) == _entry().node
        directory.apply_changes((_change('n1', _text(_entry('i-2'))),))
        assert directory.address_of(instance) is None
