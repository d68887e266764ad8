"""Restoring the local target after a restart, and publishing its leave."""

import asyncio

import msgspec
import pytest

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address, Place
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.messages import StoredObject
from fescueknot.platform.main import PlatformAdapter
from fescueknot.relay.target_registrar import TargetRegistrar
from fescueknot.targets.departures import Departure
from fescueknot.targets.local_target import (
    Availability,
    LeavingBounds,
    LocalTarget,
)
from fescueknot.targets.messages import TargetEntry, TargetState
from tests.relay.fakes import RecordingObserver, run, settle

_PLACE = Place(region='sierra', failure_domain='sierra-a')
_ENTRY = TargetEntry(
    instance='i-1',
    started_ms=1,
    service='entries',
    place=_PLACE,
    node=Address(host='10.0.0.1', port=1),
    slots=6,
)
_LEAVE = Request(method='DELETE', target='/v1/instances/i-1')


class _FakePublisher:
    """Records the wanted entries."""

    def __init__(self):
        self.wanted = []
        self.is_reconciled = True

    def set_desired(self, entry):
        self.wanted.append(entry)

    def set_observed(self, entry):
        self.last_seen = entry

    async def wait_reconciled(self, timeout_s):
        return self.is_reconciled


class _FakeStore:
    """A store with the current entry of the node."""

    def __init__(self, entry=_ENTRY, error=None):
        self.entry = entry
        self.error = error

    async def get(self, key):
        if self.error:
            raise self.error
        value = msgspec.json.encode(self.entry).decode()
        return StoredObject(key=key, value=value, version=1, revision=1)


class _FakeDepartures:
    """Hands departures over to nodes that hold them or are all away.

    As the real exchange does, it tells the node's parts of each first.
    """

    def __init__(self):
        self.handed_over = []
        self.is_held = True
        self.on_departures = None

    async def hand_over(self, departure, timeout_s):
        self.on_departures((departure,))
        self.handed_over.append(departure)
        return self.is_held


class _Harness:
    """A registrar whose node has just started."""

    def __init__(self, **store):
        self.publisher = _FakePublisher()
        self.departures = _FakeDepartures()
        self.target = LocalTarget(bounds=LeavingBounds(accept_s=1))
        self.registrar = TargetRegistrar(
            node='n1',
            place=_PLACE,
            peer_address=_ENTRY.node,
            gossip_port=0,
            target_address='10.0.0.1:9',
            target=self.target,
            adapter=PlatformAdapter(),
            publisher=self.publisher,
            store=_FakeStore(**store),
            departures=self.departures,
            observer=RecordingObserver(),
        )
        self.departures.on_departures = self.registrar.learn_departures

    async def start(self, *, listed=True):
        await self.registrar.start(listed=listed)

    async def beat(self, state='ready', sequence=1):
        """Send a heartbeat of the target of the entry."""
        return await self.registrar.receive(_heartbeat(state, sequence))

    def availability(self):
        return self.target.availability(asyncio.get_running_loop().time())


def _heartbeat(state, sequence):
    body = {
        'service': _ENTRY.service,
        'address': '10.0.0.1:9',
        'slots': _ENTRY.slots,
        'state': state,
        'seq': sequence,
        'born': _ENTRY.started_ms,
    }
    return Request(
        method='PUT',
        target='/v1/instances/i-1',
        body=msgspec.json.encode(body),
    )


class TestAfterRestart:
    """What a node believes of its target after a restart.

    The store's entry may be older than the target's leaving: the leaving was
    acknowledged while the store was away, or the store has come back from an
    older copy.
    """

    def test_a_target_stored_as_serving_gets_no_call_before_its_heartbeat(self):
        # Guards against work for a target whose leaving the store has lost.
        async def scenario():
            harness = _Harness()
            await harness.start()
            return harness.availability()

        assert run(scenario) is Availability.UNKNOWN

    def test_a_target_serves_again_from_its_first_heartbeat(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            response = await harness.beat()
            return response.status, harness.availability()

        assert run(scenario) == (200, Availability.SERVING)

    def test_the_entry_of_a_target_that_is_awaited_stays_in_the_store(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            return harness.publisher.wanted

        assert run(scenario) == []

    def test_a_target_that_drains_at_its_first_heartbeat_gets_no_call(self):
        # Guards against a second period of late arrivals after a restart.
        async def scenario():
            harness = _Harness()
            await harness.start()
            response = await harness.beat('draining')
            return response.status, harness.availability()

        assert run(scenario) == (200, Availability.LEFT)

    def test_a_late_heartbeat_of_a_target_that_others_saw_leave_is_stale(self):
        # Guards against a heartbeat that was under way when its sender left.
        async def scenario():
            harness = _Harness()
            await harness.start()
            departure = Departure(instance='i-1', until_ms=_ENTRY.started_ms)
            harness.registrar.learn_departures((departure,))
            await harness.beat()
            return harness.availability()

        assert run(scenario) is Availability.UNKNOWN

    def test_a_target_that_others_saw_leave_is_published_as_draining(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            departure = Departure(instance='i-1', until_ms=_ENTRY.started_ms)
            harness.registrar.learn_departures((departure,))
            return harness.availability(), harness.publisher.wanted[-1].state

        assert run(scenario) == (Availability.LEFT, TargetState.DRAINING)

    def test_a_later_start_under_the_same_name_serves(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            departure = Departure(
                instance='i-1', until_ms=_ENTRY.started_ms - 1
            )
            harness.registrar.learn_departures((departure,))
            return harness.availability()

        assert run(scenario) is Availability.SERVING

    def test_a_target_that_left_before_the_restore_is_not_restored(self):
        async def scenario():
            harness = _Harness()
            response = await harness.registrar.receive(_LEAVE)
            await harness.start()
            return (
                response.status,
                harness.availability(),
                harness.publisher.wanted,
            )

        status, availability, wanted = run(scenario)
        assert (status, availability) == (200, Availability.UNKNOWN)
        assert wanted[-1] is None

    def test_a_leave_missing_from_a_stale_listing_is_honoured(self):
        draining = msgspec.structs.replace(_ENTRY, state=TargetState.DRAINING)

        async def scenario():
            harness = _Harness(entry=draining)
            await harness.start()
            return harness.availability()

        assert run(scenario) is Availability.LEFT

    def test_an_entry_that_cannot_be_read_is_not_restored(self):
        async def scenario():
            harness = _Harness(error=Unavailable('down'))
            await harness.start()
            return harness.availability()

        assert run(scenario) is Availability.UNKNOWN

    def test_the_entry_of_a_target_without_heartbeats_is_removed(
        self, monkeypatch
    ):
        monkeypatch.setattr(
            'fescueknot.relay.target_registrar._FIRST_HEARTBEAT_TIMEOUT_S', 0
        )

        async def scenario():
            harness = _Harness()
            await harness.start()
            assert not harness.publisher.wanted
            await settle()
            return harness.publisher.wanted

        assert run(scenario) == [None]


class TestLeaving:
    """The entry that is published when a target leaves."""

    def test_a_leave_is_published_as_draining(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            await harness.registrar.receive(_LEAVE)
            return harness.publisher.wanted[-1].state

        assert run(scenario) is TargetState.DRAINING

    def test_a_leave_that_only_answers_tell_is_published_as_draining(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            harness.target.receive_leaving_answer('i-1', 1, 0)
            harness.registrar.publish()
            return harness.publisher.wanted[-1].state

        assert run(scenario) is TargetState.DRAINING

    def test_the_leave_of_a_draining_target_changes_nothing(self):
        draining = msgspec.structs.replace(_ENTRY, state=TargetState.DRAINING)

        async def scenario():
            harness = _Harness(entry=draining)
            await harness.start()
            await harness.registrar.receive(_LEAVE)
            return harness.publisher.wanted[-1]

        assert run(scenario) == draining


class TestAcknowledgement:
    """A leaving is acknowledged once somebody else holds it."""

    @pytest.mark.parametrize(
        ('in_store', 'at_nodes', 'status'),
        [
            (True, True, 200),
            (True, False, 200),
            (False, True, 200),
            (False, False, 503),
        ],
    )
    @pytest.mark.parametrize('leaving', [_LEAVE, _heartbeat('draining', 2)])
    def test_it_needs_the_store_or_other_nodes(
        self, leaving, in_store, at_nodes, status
    ):
        # Guards against a leaving that is lost with the node that took it.
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            harness.publisher.is_reconciled = in_store
            harness.departures.is_held = at_nodes
            return (await harness.registrar.receive(leaving)).status

        assert run(scenario) == status

    def test_a_repeated_heartbeat_is_not_acknowledged_either(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            harness.publisher.is_reconciled = False
            harness.departures.is_held = False
            await harness.beat('draining', 2)
            return (await harness.beat('draining', 3)).status

        assert run(scenario) == 503

    def test_heartbeats_after_the_acknowledgement_cost_nothing(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            for sequence in (2, 3, 4):
                await harness.beat('draining', sequence)
            return len(harness.departures.handed_over)

        assert run(scenario) == 1

    def test_the_target_gets_no_new_calls_though_it_is_not_acknowledged(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
            await harness.beat()
            harness.publisher.is_reconciled = False
            harness.departures.is_held = False
            await harness.registrar.receive(_LEAVE)
            return harness.availability()

        assert run(scenario) is Availability.LEAVING
