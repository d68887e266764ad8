"""Changes between two versions of the configuration, in words.

Keys of accounts are counted; neither they nor their digests are shown.
"""

from collections.abc import Iterator

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.httpio.messages import Limits
from fescueknot.routes.delta import (
    RoutesDelta,
    compute_delta,
    route_key,
    routes_by_key,
)
from fescueknot.routes.findings import account_place, place_of
from fescueknot.routes.messages import Configuration, Route
from fescueknot.routes.review import handling_of, shares_of

_ROUTE_FIELDS = (
    ('goes to', shares_of),
    ('requests', handling_of),
    ('class', lambda route: route.importance.name.lower()),
    ('tries', lambda route: route.attempts),
    ('time in s', lambda route: f'{route.timeout_s:g}'),
    ('objective in s', lambda route: f'{route.objective_s:g}'),
    ('public', lambda route: 'yes' if route.is_public else 'no'),
)


def _limit_of(account: Account) -> str:
    if account.rate_per_s <= 0:
        return f'none (burst {account.burst:g})' if account.burst else 'none'
    return f'{account.rate_per_s:g} a second with a burst of {account.burst:g}'


def _class_of(account: Account) -> str:
    if account.importance is None:
        return 'that of the route'
    return account.importance.name.lower()


_ACCOUNT_FIELDS = (('limit', _limit_of), ('class', _class_of))


def change_lines(before: Configuration, after: Configuration) -> Iterator[str]:
    """Yield a line for each change of a route, service, limit or account."""
    delta = compute_delta(before, after)
    yield from _route_lines(before, delta)
    yield from (
        f'service {service.name}: new or changed' for service in delta.services
    )
    yield from (f'service {name}: gone' for name in delta.removed_services)
    yield from _limit_lines(before.limits, after.limits)
    yield from _account_lines(before, delta)


def _limit_lines(before: Limits, after: Limits) -> Iterator[str]:
    limits_before = msgspec.structs.asdict(before)
    for name, amount in msgspec.structs.asdict(after).items():
        if amount != limits_before[name]:
            yield f'limits: {name} {limits_before[name]} before, {amount} now'


def _route_lines(before: Configuration, delta: RoutesDelta) -> Iterator[str]:
    routes_before = routes_by_key(before)
    for host, prefix in delta.removed_routes:
        yield f'{host}{prefix}: gone, callers get 404'
    for route in delta.routes:
        earlier = routes_before.get(route_key(route))
        if earlier is None:
            public = ', public' if route.is_public else ''
            yield (
                f'{place_of(route)}: new, goes to {shares_of(route)}, '
                f'{handling_of(route)}{public}'
            )
        else:
            yield from _route_change_lines(earlier, route)


def _route_change_lines(before: Route, after: Route) -> Iterator[str]:
    for name, describe in _ROUTE_FIELDS:
        if describe(before) != describe(after):
            yield (
                f'{place_of(after)}: {name} {describe(before)} before, '
                f'{describe(after)} now'
            )


def _account_lines(before: Configuration, delta: RoutesDelta) -> Iterator[str]:
    accounts_before = {account.name: account for account in before.accounts}
    for name in delta.removed_accounts:
        key_count = len(set(accounts_before[name].key_digests))
        yield f'{account_place(name)}: gone with its {key_count} key(s)'
    for account in delta.accounts:
        earlier = accounts_before.get(account.name)
        if earlier is None:
            yield (
                f'{account_place(account.name)}: new, '
                f'{len(set(account.key_digests))} key(s), '
                f'limit {_limit_of(account)}, class {_class_of(account)}'
            )
        else:
            yield from _account_change_lines(earlier, account)


def _account_change_lines(before: Account, after: Account) -> Iterator[str]:
    place = account_place(after.name)
    for name, describe in _ACCOUNT_FIELDS:
        if describe(before) != describe(after):
            yield (
                f'{place}: {name} {describe(before)} before, '
                f'{describe(after)} now'
            )
    keys_before, keys = set(before.key_digests), set(after.key_digests)
    if keys != keys_before:
        yield (
            f'{place}: {len(keys - keys_before)} key(s) added, '
            f'{len(keys_before - keys)} withdrawn'
        )
