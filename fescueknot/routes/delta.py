"""Deltas between versions of the configuration.

A configuration is long and little of it changes between versions, so nodes
send each other deltas.
"""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.decoding import Count
from fescueknot.httpio.messages import Limits
from fescueknot.routes.messages import Configuration, Route, ServiceInfo

RouteKey = tuple[str, str]
_Item = TypeVar('_Item')
_Key = TypeVar('_Key')


class _Changes(msgspec.Struct, Generic[_Item, _Key], frozen=True, kw_only=True):
    """New and changed items, and the keys of removed items."""

    changed: tuple[_Item, ...]
    removed: tuple[_Key, ...]


class RoutesDelta(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Changes from version ``base`` to ``version``.

    ``routes`` and ``services`` are the new and changed ones,
    ``removed_routes`` has the host and path prefix of each removed route.
    Accounts likewise, by their names.
    """

    base: Count
    version: Count
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[RouteKey, ...] = ()
    services: tuple[ServiceInfo, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: Limits = Limits()
    accounts: tuple[Account, ...] = ()
    removed_accounts: tuple[str, ...] = ()


def compute_delta(before: Configuration, after: Configuration) -> RoutesDelta:
    """Return the changes from one configuration to another."""
    routes = _compare(before.routes, after.routes, route_key)
    services = _compare(before.services, after.services, _name)
    accounts = _compare(before.accounts, after.accounts, _name)
    return RoutesDelta(
        base=before.version,
        version=after.version,
        routes=routes.changed,
        removed_routes=routes.removed,
        services=services.changed,
        removed_services=services.removed,
        limits=after.limits,
        accounts=accounts.changed,
        removed_accounts=accounts.removed,
    )


def apply_delta(before: Configuration, delta: RoutesDelta) -> Configuration:
    """Return the configuration to which a delta leads.

    Raises ``ValueError`` if the base of the delta is another version.
    """
    if delta.base != before.version:
        raise ValueError(
            f'the delta is based on version {delta.base}, not on version '
            f'{before.version}'
        )
    return Configuration(
        version=delta.version,
        routes=_apply_changes(
            before.routes, delta.routes, delta.removed_routes, route_key
        ),
        services=_apply_changes(
            before.services,
            delta.services,
            delta.removed_services,
            _name,
        ),
        limits=delta.limits,
        accounts=_apply_changes(
            before.accounts, delta.accounts, delta.removed_accounts, _name
        ),
    )


def route_key(route: Route) -> RouteKey:
    """Return the key of a route, unique within a configuration."""
    return (route.host, route.path_prefix)


def routes_by_key(configuration: Configuration) -> dict[RouteKey, Route]:
    """Return the routes by host and path prefix."""
    return {route_key(route): route for route in configuration.routes}


def _name(item: ServiceInfo | Account) -> str:
    return item.name


def _compare(
    before: Iterable[_Item],
    after: Iterable[_Item],
    key: Callable[[_Item], _Key],
) -> _Changes[_Item, _Key]:
    removed = {key(item): item for item in before}
    changed = []
    for item in after:
        if removed.pop(key(item), None) != item:
            changed.append(item)
    return _Changes(changed=tuple(changed), removed=tuple(removed))


def _apply_changes(
    before: Iterable[_Item],
    changed: Iterable[_Item],
    removed: Iterable[_Key],
    key: Callable[[_Item], _Key],
) -> tuple[_Item, ...]:
    items = {key(item): item for item in before}
    for removed_key in removed:
        items.pop(removed_key, None)
    for item in changed:
        items[key(item)] = item
    return tuple(items.values())
