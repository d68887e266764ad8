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


async def send_heartbeats(target: SiteTarget, slots: int) -> None:
    """Send heartbeats for ever; a node that is away misses some."""
    host = target.host
    address = Address(host=host.ip, port=host.port('heartbeats'))
    settings = ClientSettings(connect_timeout_s=_TIMEOUT_S)
    client = Client(address=address, settings=settings)
    sequence = 0
    while True:
        sequence += 1
        request = _heartbeat(target, slots, sequence)
        try:
            await asyncio.wait_for(client.exchange(request), _TIMEOUT_S)
        except (HttpIoError, TimeoutError):
            # The node is stopped; the next one tells it all the same.
            sequence += 1
        await asyncio.sleep(_INTERVAL_S)


def _heartbeat(target: SiteTarget, slots: int, sequence: int) -> Request:
    body = {
        'service': target.host.service,
        'address': target.host.target,
        'zone': target.host.zone,
        'version': 'v1',
        'slots': slots,
        'state': 'ready',
        'warmupLeftMs': 0,
        'seq': sequence,
        'born': target.started_ms,
    }
    return Request(
        method='PUT',
        target=f'/v1/instances/{target.instance}',
        headers=(('host', 'node'),),
        body=msgspec.json.encode(body),
    )
