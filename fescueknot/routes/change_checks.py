"""Checks of a change from the version in force to the one to be sent."""

from collections.abc import Iterator

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.routes.delta import routes_by_key
from fescueknot.routes.findings import (
    ChangeCheck,
    Finding,
    account_place,
    place_of,
)
from fescueknot.routes.messages import Configuration
from fescueknot.routes.review import ONCE, REPEATABLE

# A limit that falls this far at once is more often a typing error than meant.
_SUSPICIOUS_FRACTION = 0.5
_UNLIMITED = float('inf')


class _Limit(msgspec.Struct, frozen=True, kw_only=True):
    """A limit: its place and name identify it in both versions."""

    place: str
    name: str
    amount: float


class VersionRaised(ChangeCheck):
    """Reports a version that nodes ignore."""

    name = 'version-not-higher'

    def findings(
        self, before: Configuration, after: Configuration
    ) -> Iterator[Finding]:
        """Compare the versions; nodes take only a higher one."""
        next_version = before.version + 1
        if after.version < next_version:
            yield self._finding(
                'version',
                f'{after.version} is not above {before.version}, the one '
                'before; nodes ignore it',
                f'use version {next_version} or higher (hexadecimal '
                f'{next_version:x})',
            )


class NewlyRepeatable(ChangeCheck):
    """Reports routes whose requests may be repeated now and not before."""

    name = 'newly-repeatable'

    def findings(
        self, before: Configuration, after: Configuration
    ) -> Iterator[Finding]:
        """Compare the routes that are in both versions."""
        routes_before = routes_by_key(before)
        for route in after.routes:
            earlier = routes_before.get((route.host, route.path_prefix))
            if earlier and route.idempotent and not earlier.idempotent:
                yield self._finding(
                    place_of(route),
                    f'{ONCE} before, {REPEATABLE} now',
                    'make sure that a repeat does no harm, or restore it',
                )


class AccountsDropped(ChangeCheck):
    """Reports that requests need no key any more."""

    name = 'accounts-dropped'

    def findings(
        self, before: Configuration, after: Configuration
    ) -> Iterator[Finding]:
        """Look whether all accounts are gone."""
        if before.accounts and not after.accounts:
            yield self._finding(
                'accounts',
                'there are none now, so that every request is accepted '
                'without a key',
                'restore the accounts, unless all routes are to be public',
            )


class LimitHalved(ChangeCheck):
    """Reports limits that are at most half of those before."""

    name = 'limit-halved'

    def findings(
        self, before: Configuration, after: Configuration
    ) -> Iterator[Finding]:
        """Compare the limits that are in both versions."""
        amounts_before = {
            (limit.place, limit.name): limit.amount for limit in _limits(before)
        }
        for limit in _limits(after):
            earlier = amounts_before.get((limit.place, limit.name), 0)
            is_lower = limit.amount < earlier
            if is_lower and limit.amount <= earlier * _SUSPICIOUS_FRACTION:
                yield self._finding(
                    limit.place,
                    f'{limit.name} {_amount_text(earlier)} before, '
                    f'{_amount_text(limit.amount)} now',
                    'make sure that it is meant, or lower it in smaller steps',
                )


def _limits(configuration: Configuration) -> Iterator[_Limit]:
    for account in configuration.accounts:
        yield from _account_limits(account)
    for route in configuration.routes:
        yield _Limit(
            place=place_of(route), name='time in s', amount=route.timeout_s
        )
    for service in configuration.services:
        yield _Limit(
            place=f'service {service.name}',
            name='connections',
            amount=service.connection_limit,
        )
    for name, amount in msgspec.structs.asdict(configuration.limits).items():
        yield _Limit(place='limits', name=name, amount=amount)


def _account_limits(account: Account) -> Iterator[_Limit]:
    """Yield the rate, and the burst if there is a rate to which it applies."""
    place = account_place(account.name)
    is_limited = account.rate_per_s > 0
    amount = account.rate_per_s if is_limited else _UNLIMITED
    yield _Limit(place=place, name='rate a second', amount=amount)
    if is_limited:
        yield _Limit(place=place, name='burst', amount=account.burst)


def _amount_text(amount: float) -> str:
    return 'without a limit' if amount == _UNLIMITED else f'{amount:.12g}'
