"""Accounts of clients, as configured."""

import msgspec

from fescueknot.calls import Importance


class Account(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A client account.

    ``key_digests`` are the digests of its keys. ``importance``, if set,
    overrides that of the routes. Its requests are limited to ``rate_per_s``
    and a burst of ``burst`` requests over the whole fleet; a rate of 0 means
    no limit.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    importance: Importance | None = None
    rate_per_s: float = 0
    burst: float = 0
