"""The directory: listings, changes, entries of other writers."""

import msgspec

from fescueknot.identity import Address, Place
from fescueknot.objectapi.messages import Change, Listing, StoredObject
from fescueknot.routing.messages import CandidateState
from fescueknot.targets.directory import Directory
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


def _listing(revision=5, **texts):
    objects = tuple(
        StoredObject(
            key=f'kind/{node}', value=text, version=1, revision=revision
        )
        for node, text in texts.items()
    )
    return Listing(objects=objects, revision=revision)


def _change(node, text='null', deleted=False):
    return Change(
        key=f'kind/{node}', value=text, version=1, revision=9, deleted=deleted
    )


class TestListing:
    """Listing."""

    def test_entries_become_candidates_with_their_slots(self):
        directory = Directory()
        directory.replace(_listing(n1=_text(_entry())))
        (found,) = directory.candidates('entries', 300, 1.0)
        assert (found.instance.name, found.slots) == ('i-1', 6)

    def test_entries_that_cannot_be_read_name_no_target(self):
        directory = Directory()
        directory.replace(
            _listing(
                n1=_text(_entry()),
                n2='{"instance": 7}',
                n3='no json',
                n4=_text(_entry('i-4')).replace('serving', 'resting'),
            )
        )
        assert list(directory.entries) == ['n1']

    def test_a_listing_replaces_all(self):
        directory = Directory()
        directory.replace(_listing(n1=_text(_entry())))
        changed = directory.replace(_listing(n2=_text(_entry('i-2', 'maps'))))
        assert changed == {'entries', 'maps'}
        assert list(directory.entries) == ['n2']


class TestAddresses:
    """Two nodes at one address: the newer target holds it."""

    def _names(self, directory):
        return {
            found.instance.name
            for found in directory.candidates('entries', 300, 1.0)
        }

    def test_the_entry_of_a_lost_node_names_no_target(self):
        directory = Directory()
        directory.replace(
            _listing(
                lost=_text(_entry('i-old', started_ms=1)),
                new=_text(_entry('i-new', started_ms=2)),
            )
        )
        assert self._names(directory) == {'i-new'}

    def test_the_service_of_the_lost_one_changes_too(self):
        directory = Directory()
        directory.replace(_listing(lost=_text(_entry('i-old'))))
        new = _change('new', _text(_entry('i-new', 'maps', started_ms=2)))
        assert directory.apply((new,), 9) == {'entries', 'maps'}
        assert not self._names(directory)

    def test_it_counts_again_when_the_newer_one_goes(self):
        directory = Directory()
        directory.replace(
            _listing(
                other=_text(_entry('i-old')),
                new=_text(_entry('i-new', 'maps', started_ms=2)),
            )
        )
        gone = _change('new', deleted=True)
        assert directory.apply((gone,), 9) == {'entries', 'maps'}
        assert self._names(directory) == {'i-old'}


class TestChanges:
    """Changes."""

    def test_a_draining_target_is_told(self):
        directory = Directory()
        directory.replace(_listing(n1=_text(_entry())))
        draining = _text(_entry(state=TargetState.DRAINING))
        assert directory.apply((_change('n1', draining),), 9) == {'entries'}
        (found,) = directory.candidates('entries', 300, 1.0)
        assert found.state is CandidateState.DRAINING

    def test_a_removed_entry_is_gone(self):
        directory = Directory()
        directory.replace(_listing(n1=_text(_entry())))
        directory.apply((_change('n1', deleted=True),), 9)
        assert directory.candidates('entries', 300, 1.0) == ()

    def test_an_unreadable_change_takes_the_target_out(self):
        directory = Directory()
        directory.replace(_listing(n1=_text(_entry())))
        directory.apply((_change('n1', 'garbage'),), 9)
        assert directory.entries == {}

    def test_one_target_under_two_nodes_is_one_candidate(self):
        directory = Directory()
        text = _text(_entry())
        directory.replace(_listing(n1=text, n2=text))
        assert len(directory.candidates('entries', 300, 1.0)) == 1
