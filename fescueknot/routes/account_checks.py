"""Checks of accounts; findings name accounts and never a key or its digest."""

import collections
from collections.abc import Iterator

from fescueknot.accounts.table import account_conflicts
from fescueknot.routes.findings import (
    ConfigurationCheck,
    Finding,
    account_place,
)
from fescueknot.routes.messages import Configuration


class AccountConflicts(ConfigurationCheck):
    """Reports accounts for which nodes reject the whole version."""

    name = 'account-conflict'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Report names and keys that occur twice."""
        for conflict in account_conflicts(configuration.accounts):
            yield self._finding(
                'accounts',
                f'{conflict}; nodes reject this version',
                'keep one account of each name and each key in one account',
            )


class SimilarNames(ConfigurationCheck):
    """Reports names that targets and readers of logs can't tell apart.

    Spaces around a header's value don't reach the target.
    """

    name = 'account-name'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Compare the names without case and spaces around them."""
        similar: dict[str, set[str]] = collections.defaultdict(set)
        for account in configuration.accounts:
            similar[account.name.strip().lower()].add(account.name)
        for names in similar.values():
            if len(names) > 1:
                first, *others = sorted(names)
                quoted = ', '.join(f'"{other}"' for other in others)
                yield self._finding(
                    account_place(first),
                    f'differs from {quoted} only by case or spaces',
                    'give each account a distinct name',
                )


class WithoutKeys(ConfigurationCheck):
    """Reports accounts that no request can belong to."""

    name = 'account-without-keys'

    def findings(self, configuration: Configuration) -> Iterator[Finding]:
        """Look for accounts without a key."""
        for account in configuration.accounts:
            if not account.key_digests:
                yield self._finding(
                    account_place(account.name),
                    'has no keys, so no request belongs to it',
                    'add a key, or remove the account',
                )
