"""Heartbeats of a target to the node beside it."""

import asyncio

import msgspec

from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from tools.site_rig.target import SiteTarget

_INTERVAL_S = 1.5
_TIMEOUT_S = 1.0
_MS_PER_S = 1000
_ACKNOWLEDGED = range(200, 300)


class Heartbeats:
    """Tells the node beside a target how the target is."""

    def __init__(self, *, target: SiteTarget, slots: int) -> None:
        self._target = target
        self._slots = slots
        self._sequence = 0
        self._is_listed = True
        host = target.host
        address = Address(host=host.ip, port=host.port('heartbeats'))
        settings = ClientSettings(connect_timeout_s=_TIMEOUT_S)
        self._client = Client(address=address, settings=settings)

    async def run(self) -> None:
        """Send heartbeats until it is off the list; some may be missed."""
        while self._is_listed:
            await self.tell()
            await asyncio.sleep(_INTERVAL_S)

    async def tell(self) -> bool:
        """Send one heartbeat; return whether it is acknowledged."""
        self._sequence += 1
        return await self._is_acknowledged(
            Request(
                method='PUT',
                target=f'/v1/instances/{self._target.instance}',
                headers=(('host', 'node'),),
                body=msgspec.json.encode(self._body()),
            )
        )

    async def leave(self) -> bool:
        """Have the target taken off the list; it sends nothing more."""
        self._is_listed = False
        return await self._is_acknowledged(
            Request(
                method='DELETE',
                target=f'/v1/instances/{self._target.instance}',
                headers=(('host', 'node'),),
            )
        )

    async def _is_acknowledged(self, request: Request) -> bool:
        try:
            answer = await asyncio.wait_for(
                self._client.exchange(request), _TIMEOUT_S
            )
        except (HttpIoError, TimeoutError):
            # The node is stopped; the next one tells it all the same.
            self._sequence += 1
            return False
        return answer.status in _ACKNOWLEDGED

    def _body(self) -> dict:
        target = self._target
        return {
            'service': target.host.service,
            'address': target.host.target,
            'zone': target.host.zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'draining' if target.is_leaving else 'ready',
            'warmupLeftMs': int(target.warmup_left_s * _MS_PER_S),
            'seq': self._sequence,
            'born': target.started_ms,
        }
