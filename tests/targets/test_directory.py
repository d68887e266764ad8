"""The directory: changes, entries of other writers, addresses in use."""

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


def _listing(**texts):
    return tuple(
        Document(key=f'kind/{node}', revision=5, content=text)
        for node, text in texts.items()
    )


def _change(node, text='null', deleted=False, created=0):
    content = None if deleted else text
    return Document(
        key=f'kind/{node}', revision=9, content=content, created=created
    )


class TestListing:
    """Listing."""

    def test_entries_become_candidates_with_their_slots(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        (found,) = directory.candidates('entries', 300, 1.0)
        assert (found.instance.name, found.slots) == ('i-1', 6)

    def test_entries_that_cannot_be_read_name_no_target(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _listing(
                n1=_text(_entry()),
                n2='{"instance": 7}',
                n3='no json',
                n4=_text(_entry('i-4')).replace('serving', 'resting'),
            )
        )
        assert list(directory.entries()) == ['n1']

    def test_a_listing_tells_which_services_changed(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        gone = _change('n1', deleted=True)
        found = _listing(n2=_text(_entry('i-2', 'maps')))
        assert directory.apply_changes((gone, *found)) == {'entries', 'maps'}
        assert list(directory.entries()) == ['n2']


class TestAddresses:
    """Two nodes at one address: the newer target holds it."""

    def _names(self, directory):
        return {
            found.instance.name
            for found in directory.candidates('entries', 300, 1.0)
        }

    def test_the_entry_of_a_lost_node_names_no_target(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _listing(
                lost=_text(_entry('i-old', started_ms=1)),
                new=_text(_entry('i-new', started_ms=2)),
            )
        )
        assert self._names(directory) == {'i-new'}

    def test_clocks_of_hosts_do_not_decide(self):
        directory = TargetDirectory()
        lost = _text(_entry('i-old', started_ms=2_000_000))
        behind = _text(_entry('i-new', started_ms=1_000_000))
        directory.apply_changes(
            (
                _change('lost', lost, created=3),
                _change('new', behind, created=7),
            )
        )
        assert self._names(directory) == {'i-new'}

    def test_a_late_write_of_the_lost_one_changes_nothing(self):
        directory = TargetDirectory()
        new = _text(_entry('i-new'))
        draining = _text(_entry('i-old', state=TargetState.DRAINING))
        directory.apply_changes((_change('new', new, created=7),))
        directory.apply_changes((_change('lost', draining, created=3),))
        assert self._names(directory) == {'i-new'}

    def test_the_service_of_the_lost_one_changes_too(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(lost=_text(_entry('i-old'))))
        new = _change('new', _text(_entry('i-new', 'maps', started_ms=2)))
        assert directory.apply_changes((new,)) == {'entries', 'maps'}
        assert not self._names(directory)

    def test_it_counts_again_when_the_newer_one_goes(self):
        directory = TargetDirectory()
        directory.apply_changes(
            _listing(
                other=_text(_entry('i-old')),
                new=_text(_entry('i-new', 'maps', started_ms=2)),
            )
        )
        gone = _change('new', deleted=True)
        assert directory.apply_changes((gone,)) == {'entries', 'maps'}
        assert self._names(directory) == {'i-old'}


class TestChanges:
    """Changes."""

    def test_a_draining_target_is_told(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        draining = _text(_entry(state=TargetState.DRAINING))
        assert directory.apply_changes((_change('n1', draining),)) == {
            'entries'
        }
        (found,) = directory.candidates('entries', 300, 1.0)
        assert found.state is CandidateState.DRAINING

    def test_a_removed_entry_is_gone(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        directory.apply_changes((_change('n1', deleted=True),))
        assert directory.candidates('entries', 300, 1.0) == ()

    def test_an_unreadable_change_takes_the_target_out(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        directory.apply_changes((_change('n1', 'garbage'),))
        assert directory.entries() == {}

    def test_one_target_under_two_nodes_is_one_candidate(self):
        directory = TargetDirectory()
        text = _text(_entry())
        directory.apply_changes(_listing(n1=text, n2=text))
        assert len(directory.candidates('entries', 300, 1.0)) == 1

    def test_a_change_of_state_is_no_new_start(self):
        directory = TargetDirectory()
        directory.apply_changes(_listing(n1=_text(_entry())))
        directory.candidates('entries', 300, 1)
        directory.apply_changes((_change('n1', _text(_entry(slots=7))),))
        (found,) = directory.candidates('entries', 300, 8)
        assert found.started_s == 1

    def test_the_node_beside_an_instance_is_found_until_it_goes(self):
        directory = TargetDirectory()
        instance = InstanceId(name='i-1', incarnation=1)
        directory.apply_changes(_listing(n1=_text(_entry())))
        assert directory.address_of(instance) == _entry().node
        directory.apply_changes((_change('n1', _text(_entry('i-2'))),))
        assert directory.address_of(instance) is None
