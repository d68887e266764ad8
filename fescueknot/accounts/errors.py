"""Errors of accounts."""

from fescueknot.errors import FescueknotError


class AccountsError(FescueknotError):
    """Accounts contradict each other."""
