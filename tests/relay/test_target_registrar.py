"""Restoring the local target after a restart, and publishing its leave."""

import asyncio

import msgspec

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address, Place
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.messages import StoredObject
from fescueknot.platform.main import PlatformAdapter
from fescueknot.relay.target_registrar import TargetRegistrar
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

    def set_desired(self, entry):
        self.wanted.append(entry)

    def set_observed(self, entry):
        self.last_seen = entry

    async def wait_reconciled(self, timeout_s):
        return True


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


class _Harness:
    """A registrar whose node has just started."""

    def __init__(self, **store):
        self.publisher = _FakePublisher()
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
            observer=RecordingObserver(),
        )

    async def start(self, *, listed=True, after_outage=False):
        await self.registrar.start(listed=listed, after_outage=after_outage)

    def availability(self):
        return self.target.availability(asyncio.get_running_loop().time())


class TestAfterRestart:
    """Restore from the store after a restart of the node.

    The first listing may be stale, and the target may have left before the
    restore.
    """

    def test_a_listed_target_is_restored(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
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

    def test_after_an_outage_no_target_is_restored(self):
        async def scenario():
            harness = _Harness()
            await harness.start(after_outage=True)
            return harness.availability()

        assert run(scenario) is Availability.UNKNOWN

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
            await harness.start(after_outage=True)
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
            await harness.registrar.receive(_LEAVE)
            return harness.publisher.wanted[-1].state

        assert run(scenario) is TargetState.DRAINING

    def test_a_leave_that_only_answers_tell_is_published_as_draining(self):
        async def scenario():
            harness = _Harness()
            await harness.start()
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
