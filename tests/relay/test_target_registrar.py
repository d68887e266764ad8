"""The own target after a restart: what the store tells may be stale."""

import asyncio

import msgspec

from fescueknot.httpio.messages import Request
from fescueknot.identity import Address, Place
from fescueknot.objectapi.errors import Unavailable
from fescueknot.objectapi.messages import StoredObject
from fescueknot.platform.main import PlatformAdapter
from fescueknot.relay.target_registrar import OwnTarget
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


class _Publisher:
    """Keeps what was wanted."""

    def __init__(self):
        self.wanted = []

    def set_desired(self, entry):
        self.wanted.append(entry)

    def set_observed(self, entry):
        self.last_seen = entry

    async def wait_reconciled(self, timeout_s):
        return True


class _Store:
    """Has one entry, as it is now."""

    def __init__(self, entry=_ENTRY, error=None):
        self.entry = entry
        self.error = error

    async def get(self, key):
        if self.error:
            raise self.error
        value = msgspec.json.encode(self.entry).decode()
        return StoredObject(key=key, value=value, version=1, revision=1)


class _Parts:
    """An own target as it is just after a start."""

    def __init__(self, **store):
        self.publisher = _Publisher()
        self.target = LocalTarget(bounds=LeavingBounds(accept_s=1))
        self.own = OwnTarget(
            node='n1',
            place=_PLACE,
            peer_address=_ENTRY.node,
            gossip_port=0,
            target_address='10.0.0.1:9',
            target=self.target,
            adapter=PlatformAdapter(),
            publisher=self.publisher,
            store=_Store(**store),
            observer=RecordingObserver(),
        )

    async def begin(self, *, listed=True, after_outage=False):
        await self.own.begin(listed=listed, after_outage=after_outage)

    def availability(self):
        return self.target.availability(asyncio.get_running_loop().time())


class TestAfterRestart:
    """What the store lists, and what the target has said meanwhile."""

    def test_a_listed_target_serves_at_once(self):
        async def scenario():
            parts = _Parts()
            await parts.begin()
            return parts.availability()

        assert run(scenario) is Availability.SERVING

    def test_one_that_left_before_it_was_listed_does_not(self):
        async def scenario():
            parts = _Parts()
            response = await parts.own.hear(_LEAVE)
            await parts.begin()
            return response.status, parts.availability(), parts.publisher.wanted

        status, availability, wanted = run(scenario)
        assert (status, availability) == (200, Availability.UNKNOWN)
        assert wanted[-1] is None

    def test_after_an_outage_a_heartbeat_is_waited_for(self):
        async def scenario():
            parts = _Parts()
            await parts.begin(after_outage=True)
            return parts.availability()

        assert run(scenario) is Availability.UNKNOWN

    def test_a_leave_that_an_old_listing_does_not_show_counts(self):
        draining = msgspec.structs.replace(_ENTRY, state=TargetState.DRAINING)

        async def scenario():
            parts = _Parts(entry=draining)
            await parts.begin()
            return parts.availability()

        assert run(scenario) is Availability.LEFT

    def test_an_entry_that_cannot_be_read_is_not_taken_up(self):
        async def scenario():
            parts = _Parts(error=Unavailable('down'))
            await parts.begin()
            return parts.availability()

        assert run(scenario) is Availability.UNKNOWN

    def test_the_entry_of_a_target_that_stays_silent_is_removed(
        self, monkeypatch
    ):
        monkeypatch.setattr('fescueknot.relay.target_registrar._UNHEARD_S', 0)

        async def scenario():
            parts = _Parts()
            await parts.begin(after_outage=True)
            assert not parts.publisher.wanted
            await settle()
            return parts.publisher.wanted

        assert run(scenario) == [None]


class TestLeaving:
    """What the store is to have when a target leaves."""

    def test_a_leave_is_kept_as_the_end_of_its_start(self):
        async def scenario():
            parts = _Parts()
            await parts.begin()
            await parts.own.hear(_LEAVE)
            return parts.publisher.wanted[-1].state

        assert run(scenario) is TargetState.DRAINING

    def test_the_leave_of_a_draining_target_changes_nothing(self):
        draining = msgspec.structs.replace(_ENTRY, state=TargetState.DRAINING)

        async def scenario():
            parts = _Parts(entry=draining)
            await parts.begin()
            await parts.own.hear(_LEAVE)
            return parts.publisher.wanted[-1]

        assert run(scenario) == draining
