"""Checks that msgspec can't express, such as those of several fields.

Each check is a function that receives the settings and yields problems.
"""

import ipaddress
from collections.abc import Iterator

from fescueknot.identity import Address
from fescueknot.settings.errors import Problem
from fescueknot.settings.model import NodeSettings

_MAX_PORT = 65_535


def check_addresses(settings: NodeSettings) -> Iterator[Problem]:
    """Yield addresses whose host is no IP address or whose port is invalid."""
    for field, address in _addresses(settings):
        yield from _check_address(field, address)


def check_listeners(settings: NodeSettings) -> Iterator[Problem]:
    """Yield TCP listeners that share an address."""
    listeners = (
        ('addresses.entry', settings.addresses.entry),
        ('addresses.peer', settings.addresses.peer),
        ('addresses.ops', settings.addresses.ops),
        ('target', settings.target),
    )
    field_by_address: dict[Address, str] = {}
    for field, address in listeners:
        first_field = field_by_address.setdefault(address, field)
        if first_field != field:
            reason = (
                f'{address} is taken by {first_field}; '
                'each listener needs its own port'
            )
            yield Problem(field=field, reason=reason)


def check_times(settings: NodeSettings) -> Iterator[Problem]:
    """Yield time limits that contradict each other."""
    timing = settings.timing
    if timing.retention_s <= timing.key_skew_s + timing.lease_s:
        yield Problem(
            field='timing.retention_s',
            reason='must be longer than key_skew_s and lease_s together',
        )
    if timing.platform_timeout_ms >= timing.lease_s * 1_000:
        yield Problem(
            field='timing.platform_timeout_ms',
            reason='must be shorter than lease_s',
        )


CHECKS = (check_addresses, check_listeners, check_times)


def _addresses(settings: NodeSettings) -> Iterator[tuple[str, Address]]:
    yield 'addresses.entry', settings.addresses.entry
    yield 'addresses.peer', settings.addresses.peer
    yield 'addresses.ops', settings.addresses.ops
    yield 'addresses.gossip', settings.addresses.gossip
    yield 'target', settings.target
    for index, address in enumerate(settings.platform):
        yield f'platform[{index}]', address
    for number, seed in enumerate(settings.seeds):
        yield f'seeds[{number}]', seed


def _check_address(field: str, address: Address) -> Iterator[Problem]:
    if not 1 <= address.port <= _MAX_PORT:
        reason = f'expected 1 to {_MAX_PORT}; found {address.port}'
        yield Problem(field=f'{field}.port', reason=reason)
    try:
        ipaddress.ip_address(address.host)
    except ValueError:
        reason = f'expected an IP address; found "{address.host}"'
        yield Problem(field=f'{field}.host', reason=reason)
