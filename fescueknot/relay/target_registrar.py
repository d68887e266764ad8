"""What this host's target says, and how the fleet learns of it."""

import asyncio
import time
import types

from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address, Place
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.relay.adapter import Adapter, LeaveNotice, UnreadableError
from fescueknot.relay.observer import Observer
from fescueknot.targets.directory import decode_entry
from fescueknot.targets.local_target import (
    Availability,
    HeartbeatEffect,
    LocalTarget,
)
from fescueknot.targets.messages import (
    Heartbeat,
    TargetEntry,
    TargetState,
)
from fescueknot.targets.publisher import TARGETS_KIND, EntryPublisher

_MS_PER_S = 1000
# Targets take an acknowledgement for a second; the store answers in
# milliseconds when it is there.
_LEAVE_WRITTEN_WITHIN_S = 0.5
# A target that lives has sent a few heartbeats within this time of a start.
_UNHEARD_S = 6.0
_STATE_BY_AVAILABILITY = types.MappingProxyType(
    {
        Availability.SERVING: TargetState.SERVING,
        Availability.LEAVING: TargetState.DRAINING,
        Availability.LEFT: TargetState.DRAINING,
    }
)


class OwnTarget:
    """Takes heartbeats, keeps the entry in the store."""

    def __init__(
        self,
        *,
        node: str,
        place: Place,
        peer_address: Address,
        gossip_port: int,
        target_address: str,
        target: LocalTarget,
        adapter: Adapter,
        publisher: EntryPublisher,
        store: AsyncObjectStore,
        observer: Observer,
    ) -> None:
        self._node = node
        self._place = place
        self._peer_address = peer_address
        self._gossip_port = gossip_port
        self._target_address = target_address
        self._target = target
        self._adapter = adapter
        self._publisher = publisher
        self._store = store
        self._observer = observer

    async def hear(self, request: Request) -> Response:
        """Take a heartbeat or a leave and acknowledge it."""
        try:
            heard = self._adapter.heartbeat(request, self._target_address)
        except UnreadableError as error:
            self._observer.note('heartbeat.unreadable', error=str(error))
            return Response(status=400)
        if isinstance(heard, LeaveNotice):
            await self._leave(heard.instance)
        else:
            await self._announced(heard)
        return Response(
            status=200,
            headers=(('content-type', 'application/json'),),
            body=b'{}',
        )

    async def begin(self, *, listed: bool, after_outage: bool) -> None:
        """Take up the target that the store tells of, after a start.

        ``listed`` tells whether the entry was in the listing, which may be
        old: what it says now is read. A wrong target is refuted by itself.
        After an outage the store may not know of a leaving: the node waits
        for a heartbeat.
        """
        entry = await self._entry_now() if listed else None
        if not after_outage:
            self._restore(entry)
        self._publisher.set_observed(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(_UNHEARD_S, self._give_up_unheard)

    def entry_changed(self, entry: TargetEntry | None) -> None:
        """Compare what the store has with what should be there."""
        self._publisher.set_observed(entry)

    def _give_up_unheard(self) -> None:
        """Take the entry out of the store if there is no target."""
        if self._target.current is None:
            self._publisher.set_desired(None)

    async def _entry_now(self) -> TargetEntry | None:
        """Return the own entry, ``None`` also if it can't be read."""
        try:
            stored = await self._store.get(f'{TARGETS_KIND}/{self._node}')
        except ObjectApiError as error:
            self._observer.note('target.not_restored', error=str(error))
            return None
        return decode_entry(stored.value) if stored else None

    def _restore(self, entry: TargetEntry | None) -> None:
        if entry is None or self._target.current is not None:
            return
        now_s = asyncio.get_running_loop().time()
        restored = self._target.restore(
            Heartbeat(
                instance=entry.instance,
                started_ms=entry.started_ms,
                sequence=0,
                service=entry.service,
                slots=entry.slots,
                state=entry.state,
            ),
            now_s,
        )
        self._observer.note(
            'target.restored',
            instance=entry.instance,
            state=str(entry.state),
            taken=restored,
        )
        self._publisher.set_desired(entry if restored else None)

    async def _announced(self, heard: Heartbeat) -> None:
        now_s = asyncio.get_running_loop().time()
        change = self._target.receive_heartbeat(heard, now_s)
        if change is HeartbeatEffect.NOTHING:
            return
        self._observer.note(
            'target.heard',
            instance=heard.instance,
            started_ms=heard.started_ms,
            sequence=heard.sequence,
            state=str(heard.state),
            change=str(change),
        )
        if change is HeartbeatEffect.STALE:
            return
        self._publish()
        if heard.state is TargetState.DRAINING:
            await self._publisher.wait_reconciled(_LEAVE_WRITTEN_WITHIN_S)

    async def _leave(self, instance: str) -> None:
        now_s = asyncio.get_running_loop().time()
        wall_ms = int(time.time() * _MS_PER_S)
        current = self._target.receive_leave(instance, now_s, wall_ms)
        self._observer.note('target.left', instance=instance, current=current)
        if current or self._target.current is None:
            self._publish()
            await self._publisher.wait_reconciled(_LEAVE_WRITTEN_WITHIN_S)

    def _publish(self) -> None:
        now_s = asyncio.get_running_loop().time()
        current = self._target.current
        state = _STATE_BY_AVAILABILITY.get(self._target.availability(now_s))
        if current is None or state is None:
            self._publisher.set_desired(None)
            return
        self._publisher.set_desired(
            TargetEntry(
                instance=current.instance,
                started_ms=current.started_ms,
                service=current.service,
                place=self._place,
                node=self._peer_address,
                slots=current.slots,
                state=state,
                gossip_port=self._gossip_port,
            )
        )
