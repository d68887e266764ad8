"""Waits until all nodes say that they are ready."""

import asyncio
import time

from fescueknot.errors import FescueknotError
from fescueknot.httpio.client import Client
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from tools.site_rig.scene import Host

_LIMIT_S = 60.0
_POLL_S = 0.2
_TIMEOUT_S = 1.0
_QUESTION = Request(
    method='GET', target='/v1/ready', headers=(('host', 'node'),)
)


class NotReadyError(FescueknotError):
    """A node did not get ready in time."""


async def wait_until_ready(hosts: tuple[Host, ...]) -> None:
    """Wait until each host's node is ready."""
    ends_s = time.monotonic() + _LIMIT_S
    for host in hosts:
        while not await is_ready(host):
            if time.monotonic() > ends_s:
                raise NotReadyError(f'{host.name} is not ready')
            await asyncio.sleep(_POLL_S)


async def is_ready(host: Host) -> bool:
    """Ask a node once; tell whether it answers that it is ready."""
    client = Client(
        address=Address(host=host.ip, port=host.port('ready')),
        settings=ClientSettings(connect_timeout_s=_TIMEOUT_S),
    )
    try:
        answer = await asyncio.wait_for(client.exchange(_QUESTION), _TIMEOUT_S)
    except (HttpIoError, TimeoutError):
        return False
    finally:
        client.close()
    return answer.status == 200
