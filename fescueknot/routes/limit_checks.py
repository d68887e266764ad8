"""Checks of limits that contradict each other."""

from collections.abc import Iterator

from fescueknot.accounts.messages import Account
from fescueknot.routes.findings import (
    ConfigurationCheck,
    Finding,
    account_place,
    place_of,
)
from fescueknot.routes.messages import Configuration

_PLACE = 'limits'


class AccountBurst(ConfigurationCheck):
    """Reports rates and bursts of accounts that contradict each other."""

    name = 'account-burst'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare each account's rate and burst."""
        for account in configuration.accounts:
            yield from self._account_findings(account)

    def _account_findings(self, account: Account) -> Iterator[Finding]:
        place = account_place(account.name)
        rate, burst = account.rate_per_s, account.burst
        if rate > 0 and burst < 1:
            yield self._finding(
                place,
                f'has a rate of {rate:g} a second, but a burst of {burst:g}, '
                'less than one request',
                'set a burst of 1 or more, usually that of the rate',
            )
        if not rate and burst:
            yield self._finding(
                place,
                f'has a burst of {burst:g}, but no rate, so it has no limit',
                'set a rate, or remove the burst',
            )


class ObjectiveWithinTimeout(ConfigurationCheck):
    """Reports routes that end before their latency objective."""

    name = 'timeout-below-objective'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare each route's time-out and objective."""
        for route in configuration.routes:
            if route.objective_s > route.timeout_s:
                yield self._finding(
                    place_of(route),
                    f'ends after {route.timeout_s:g} s, before its latency '
                    f'objective of {route.objective_s:g} s',
                    'raise the time-out, or lower the objective',
                )


class IdleBelowHead(ConfigurationCheck):
    """Reports an idle time-out that ends slow heads that are allowed."""

    name = 'idle-below-head'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare the two time-outs."""
        limits = configuration.limits
        if limits.idle_timeout_s < limits.header_timeout_s:
            yield self._finding(
                _PLACE,
                f'the idle time-out of {limits.idle_timeout_s:g} s is below '
                f'the time for a head, {limits.header_timeout_s:g} s',
                'raise the idle time-out, or lower the time for a head',
            )


class BodyBelowHead(ConfigurationCheck):
    """Reports a body limit below that of the head."""

    name = 'body-below-head'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare the two sizes."""
        limits = configuration.limits
        if limits.body_bytes < limits.header_bytes:
            yield self._finding(
                _PLACE,
                f'the limit of a body, {limits.body_bytes} bytes, is below '
                f'that of a head, {limits.header_bytes} bytes',
                'raise the limit of a body, or lower that of a head',
            )
