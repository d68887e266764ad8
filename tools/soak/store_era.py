"""Checks that all nodes learn of the store era after a drill."""

import asyncio

from prometheus_client.parser import text_string_to_metric_families

from fescueknot.httpio.client import Client
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address

_METRIC = 'fescueknot_store_era'
_POLL_S = 0.1


async def until_known(address: Address, era: int) -> None:
    """Wait until the node with metrics at an address knows an era."""
    while await _known_era(address) < era:
        await asyncio.sleep(_POLL_S)


async def _known_era(address: Address) -> int:
    client = Client(address=address)
    request = Request(
        method='GET', target='/metrics', headers=(('host', str(address)),)
    )
    try:
        response = await client.exchange(request)
    except HttpIoError:
        return 0
    finally:
        client.close()
    families = text_string_to_metric_families(response.body.decode())
    for family in families:
        if family.name == _METRIC:
            return int(family.samples[0].value)
    return 0
