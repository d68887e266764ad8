"""Registers the local target in the object store."""

import asyncio
import time
import types

from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address, Place
from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.objectapi.errors import ObjectApiError
from fescueknot.relay.adapter import Adapter, LeaveNotice, UnreadableError
from fescueknot.relay.departure_exchange import DepartureExchange
from fescueknot.relay.observer import Observer
from fescueknot.targets.departures import Departure
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
# Targets wait 1 s for an acknowledgement. A store or node that can be reached
# answers within milliseconds.
_HOLD_TIMEOUT_S = 0.6
_OK_STATUS = 200
_UNREADABLE_STATUS = 400
_NOT_ACKNOWLEDGED_STATUS = 503
# A running target has sent several heartbeats within this time after the start
# of the node.
_FIRST_HEARTBEAT_TIMEOUT_S = 6.0
_UNPUBLISHED_EFFECTS = frozenset(
    (HeartbeatEffect.NOTHING, HeartbeatEffect.STALE)
)
_STATE_BY_AVAILABILITY = types.MappingProxyType(
    {
        Availability.SERVING: TargetState.SERVING,
        Availability.LEAVING: TargetState.DRAINING,
        Availability.LEFT: TargetState.DRAINING,
    }
)


class TargetRegistrar:
    """Handles messages of the local target; keeps its entry in the store.

    That the target leaves is acknowledged once the store or other nodes hold
    it, as this node may be killed right afterwards.
    """

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
        departures: DepartureExchange,
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
        self._departures = departures
        self._observer = observer
        self._held_departure: Departure | None = None

    async def receive(self, request: Request) -> Response:
        """Handle and acknowledge a heartbeat or leave notice."""
        try:
            message = self._adapter.heartbeat(request, self._target_address)
        except UnreadableError as error:
            self._observer.note('heartbeat.unreadable', error=str(error))
            return Response(status=_UNREADABLE_STATUS)
        if isinstance(message, LeaveNotice):
            is_held = await self._handle_leave(message.instance)
        else:
            is_held = await self._handle_announcement(message)
        if not is_held:
            return Response(status=_NOT_ACKNOWLEDGED_STATUS)
        return Response(
            status=_OK_STATUS,
            headers=(('content-type', 'application/json'),),
            body=b'{}',
        )

    async def start(self, *, listed: bool) -> None:
        """Learn from the store after a start of the node.

        ``listed`` is true if the first listing had an entry of this node.
        That listing may be stale, so the entry is read again. It is believed
        only if it says that the target leaves; a target that serves sends a
        heartbeat.
        """
        entry = await self._read_entry() if listed else None
        self._restore(entry)
        self._publisher.set_observed(entry)
        loop = asyncio.get_running_loop()
        loop.call_later(
            _FIRST_HEARTBEAT_TIMEOUT_S, self._remove_entry_without_target
        )

    def learn_departures(self, departures: tuple[Departure, ...]) -> None:
        """Record that other nodes know of targets that have left."""
        now_s = asyncio.get_running_loop().time()
        for departure in departures:
            is_new = self._target.receive_departure(
                departure.instance, departure.until_ms, now_s
            )
            if is_new:
                self.publish()

    def entry_changed(self, entry: TargetEntry | None) -> None:
        """Record the store's entry; write it again if it is not as wanted."""
        self._publisher.set_observed(entry)

    def publish(self) -> None:
        """Have the entry of the local target written as it is now."""
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

    def _remove_entry_without_target(self) -> None:
        """Remove the entry from the store if no target is known by now."""
        if self._target.current is None:
            self._publisher.set_desired(None)

    async def _read_entry(self) -> TargetEntry | None:
        """Return this node's entry, ``None`` if absent or not readable."""
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
        if restored:
            self._publisher.set_desired(entry)

    async def _handle_announcement(self, announcement: Heartbeat) -> bool:
        """Apply a heartbeat; return whether it may be acknowledged."""
        now_s = asyncio.get_running_loop().time()
        change = self._target.receive_heartbeat(announcement, now_s)
        if change is not HeartbeatEffect.NOTHING:
            self._observer.note(
                'target.heard',
                instance=announcement.instance,
                started_ms=announcement.started_ms,
                sequence=announcement.sequence,
                state=str(announcement.state),
                change=str(change),
            )
        if change not in _UNPUBLISHED_EFFECTS:
            self.publish()
        if announcement.state is not TargetState.DRAINING:
            return True
        return await self._hold(
            Departure(
                instance=announcement.instance,
                until_ms=announcement.started_ms,
            )
        )

    async def _handle_leave(self, instance: str) -> bool:
        """Apply a leave notice; return whether it may be acknowledged."""
        now_s = asyncio.get_running_loop().time()
        wall_ms = int(time.time() * _MS_PER_S)
        is_current = self._target.receive_leave(instance, now_s, wall_ms)
        self._observer.note(
            'target.left', instance=instance, current=is_current
        )
        if is_current or self._target.current is None:
            self.publish()
        until_ms = self._target.left_until_ms(instance)
        return await self._hold(Departure(instance=instance, until_ms=until_ms))

    async def _hold(self, departure: Departure) -> bool:
        """Have a departure held elsewhere; return whether it is.

        Waits for the store and other nodes both: the store may come back from
        an older copy, and all nodes may be killed at once.
        """
        if departure == self._held_departure:
            return True
        is_stored, is_handed_over = await asyncio.gather(
            self._publisher.wait_reconciled(_HOLD_TIMEOUT_S),
            self._departures.hand_over(departure, _HOLD_TIMEOUT_S),
        )
        self._observer.note(
            'target.leave_held',
            instance=departure.instance,
            store=is_stored,
            nodes=is_handed_over,
        )
        if not (is_stored or is_handed_over):
            return False
        self._held_departure = departure
        return True
