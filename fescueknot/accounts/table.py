"""Lookup of the account of a request."""

from collections.abc import Iterable, Iterator

from fescueknot.accounts.digests import key_digest
from fescueknot.accounts.errors import AccountsError
from fescueknot.accounts.messages import Account


class AccountTable:
    """Accounts by the digests of their keys."""

    def __init__(self, *, accounts: Iterable[Account] = ()) -> None:
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in self._by_name.values()
            for digest in account.key_digests
        }

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._by_name)

    def find(self, key: str) -> Account | None:
        """Return the account that has a key, or ``None``."""
        return self._by_digest.get(key_digest(key))


def check_accounts(accounts: Iterable[Account]) -> None:
    """Raise :class:`AccountsError` if a name or a key occurs twice.

    The message names the accounts and no key.
    """
    conflict = next(account_conflicts(accounts), None)
    if conflict is not None:
        raise AccountsError(conflict)


def account_conflicts(accounts: Iterable[Account]) -> Iterator[str]:
    """Yield which names occur twice and which accounts share a key.

    Each conflict is reported once, without the key.
    """
    names: set[str] = set()
    owners: dict[str, str] = {}
    conflicts: set[str] = set()
    for account in accounts:
        for conflict in _conflicts_of(account, names, owners):
            if conflict not in conflicts:
                yield conflict
            conflicts.add(conflict)


def _conflicts_of(
    account: Account, names: set[str], owners: dict[str, str]
) -> Iterator[str]:
    """Yield conflicts with earlier accounts; add this one to them."""
    if account.name in names:
        yield f'account "{account.name}" is defined twice'
    names.add(account.name)
    for digest in account.key_digests:
        owner = owners.setdefault(digest, account.name)
        if owner != account.name:
            yield f'accounts "{owner}" and "{account.name}" have the same key'
