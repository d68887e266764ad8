"""What changed from one configuration to a later one.

A whole configuration is long and mostly stays as it is; nodes hand each other
the difference.
"""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

import msgspec

from fescueknot.httpio.messages import Limits
from fescueknot.routes.messages import Configuration, Route, ServiceInfo

RouteKey = tuple[str, str]
_Item = TypeVar('_Item')
_Key = TypeVar('_Key')


class _Changes(msgspec.Struct, Generic[_Item, _Key], frozen=True, kw_only=True):
    """New or changed items, and the keys of removed ones."""

    changed: tuple[_Item, ...]
    removed: tuple[_Key, ...]


class RoutesDelta(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Changes from version ``base`` to ``version``.

    ``routes`` and ``services`` are new or changed ones, ``removed_routes``
    are hosts and path prefixes.
    """

    base: int
    version: int
    routes: tuple[Route, ...] = ()
    removed_routes: tuple[RouteKey, ...] = ()
    services: tuple[ServiceInfo, ...] = ()
    removed_services: tuple[str, ...] = ()
    limits: Limits = Limits()


def compute_delta(before: Configuration, after: Configuration) -> RoutesDelta:
    """Return what leads from one configuration to another."""
    routes = _changes(before.routes, after.routes, route_key)
    services = _changes(before.services, after.services, _service_key)
    return RoutesDelta(
        base=before.version,
        version=after.version,
        routes=routes.changed,
        removed_routes=routes.removed,
        services=services.changed,
        removed_services=services.removed,
        limits=after.limits,
    )


def patched(before: Configuration, delta: RoutesDelta) -> Configuration:
    """Return the configuration that a delta leads to.

    Raises ``ValueError`` if the delta begins at another version.
    """
    if delta.base != before.version:
        raise ValueError(f'{before.version} is not {delta.base}')
    return Configuration(
        version=delta.version,
        routes=_patched(
            before.routes, delta.routes, delta.removed_routes, route_key
        ),
        services=_patched(
            before.services,
            delta.services,
            delta.removed_services,
            _service_key,
        ),
        limits=delta.limits,
    )


def route_key(route: Route) -> RouteKey:
    """Return what tells routes of one configuration apart."""
    return (route.host, route.path_prefix)


def routes_by_key(configuration: Configuration) -> dict[RouteKey, Route]:
    """Return the routes by host and path prefix."""
    return {route_key(route): route for route in configuration.routes}


def _service_key(service: ServiceInfo) -> str:
    return service.name


def _changes(
    before: Iterable[_Item],
    after: Iterable[_Item],
    key: Callable[[_Item], _Key],
) -> _Changes[_Item, _Key]:
    removed = {key(one): one for one in before}
    changed = []
    for one in after:
        if removed.pop(key(one), None) != one:
            changed.append(one)
    return _Changes(changed=tuple(changed), removed=tuple(removed))


def _patched(
    before: Iterable[_Item],
    changed: Iterable[_Item],
    removed: Iterable[_Key],
    key: Callable[[_Item], _Key],
) -> tuple[_Item, ...]:
    items = {key(one): one for one in before}
    for gone in removed:
        items.pop(gone, None)
    for one in changed:
        items[key(one)] = one
    return tuple(items.values())
