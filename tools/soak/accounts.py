"""The accounts of a soak as their operator keeps them, and what callers send.

One account is never changed and has no limit, so that a refusal of its requests
has no cause but a fault.
"""

import random
import types

import msgspec

from fescueknot.httpio.messages import Headers
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.account_versions import AccountVersion, Limit

STEADY = 'steady'
# No other text of a run holds it, so that a key in a log is found.
KEY_PREFIX = 'soak-key-'
_KEY_BITS = 64
_KEYS_PER_ACCOUNT = 2
_LIMITS = types.MappingProxyType(
    {
        'small': Limit(rate_per_s=5, burst=5),
        'middle': Limit(rate_per_s=20, burst=20),
        'large': Limit(rate_per_s=60, burst=60),
        'unlimited': Limit(),
    }
)
_PRIORITIES = types.MappingProxyType({'small': 1, 'large': 3})
_LOWERED_TO = 0.5
# Shares of the requests that have a withdrawn key, an unknown one, none.
_WITHDRAWN_SHARE = 0.1
_UNKNOWN_SHARE = 0.1
_KEYLESS_SHARE = 0.1
_FORGED_SHARE = 0.3
# Of the keys that are added.
_GIVEN_BACK_SHARE = 0.5


class Credentials(msgspec.Struct, frozen=True, kw_only=True):
    """What a request says of its account."""

    key: str | None = None
    forged: tuple[str, ...] = ()

    def headers(self) -> Headers:
        """Return the headers, a forged name on either side of the key."""
        names = tuple((HEADERS.account, name) for name in self.forged)
        keys = () if self.key is None else ((HEADERS.key, self.key),)
        return (*names[:1], *keys, *names[1:])


class SoakAccounts:
    """Keys and limits now, and the keys that were withdrawn."""

    def __init__(self, *, rng: random.Random) -> None:
        self.limits = {STEADY: Limit(), **_LIMITS}
        self._rng = rng
        self._owners = {
            self._new_key(): name
            for name in self.limits
            for _ in range(_KEYS_PER_ACCOUNT)
        }
        self._withdrawn: list[str] = []

    def version(self, now_s: float) -> AccountVersion:
        """Return the accounts as they are now."""
        return AccountVersion(
            since_s=now_s, owners=dict(self._owners), limits=dict(self.limits)
        )

    def tenants(self) -> list[dict]:
        """Return the accounts in the format of the platform."""
        return [self._tenant(name) for name in self.limits]

    def add_key(self) -> None:
        """Give an account another key, or one back that was withdrawn."""
        key = self._new_key()
        if self._withdrawn and self._rng.random() < _GIVEN_BACK_SHARE:
            index = self._rng.randrange(len(self._withdrawn))
            key = self._withdrawn.pop(index)
        self._owners[key] = self._rng.choice(list(_LIMITS))

    def withdraw_key(self) -> None:
        """Withdraw a key of an account that has others."""
        keys = self._spare_keys()
        if keys:
            key = self._rng.choice(keys)
            self._owners.pop(key)
            self._withdrawn.append(key)

    def move_key(self) -> None:
        """Move a key of an account that has others to another account."""
        keys = self._spare_keys()
        if keys:
            key = self._rng.choice(keys)
            names = [name for name in _LIMITS if name != self._owners[key]]
            self._owners[key] = self._rng.choice(names)

    def lower_limit(self, name: str) -> None:
        """Lower the limit of an account; its burst follows."""
        rate_per_s = self.limits[name].rate_per_s * _LOWERED_TO
        self.limits[name] = Limit(rate_per_s=rate_per_s, burst=rate_per_s)

    def restore_limit(self, name: str) -> None:
        """Give an account its first limit again."""
        self.limits[name] = _LIMITS[name]

    def keys_of(self, name: str) -> list[str]:
        """Return the keys of an account."""
        return [key for key, owner in self._owners.items() if owner == name]

    def of_account(self, name: str) -> Credentials:
        """Return what a request of an account sends."""
        return Credentials(key=self._rng.choice(self.keys_of(name)))

    def draw(self) -> Credentials:
        """Return what a request of any caller sends."""
        forged: tuple[str, ...] = ()
        if self._rng.random() < _FORGED_SHARE:
            names = (STEADY, 'large', 'nobody')
            forged = (self._rng.choice(names), self._rng.choice(names))
        drawn = self._rng.random()
        if drawn < _KEYLESS_SHARE:
            return Credentials(forged=forged)
        drawn -= _KEYLESS_SHARE
        if drawn < _UNKNOWN_SHARE:
            return Credentials(key=self._new_key(), forged=forged)
        drawn -= _UNKNOWN_SHARE
        keys = list(self._owners)
        if drawn < _WITHDRAWN_SHARE and self._withdrawn:
            keys = self._withdrawn
        return Credentials(key=self._rng.choice(keys), forged=forged)

    def _spare_keys(self) -> list[str]:
        return [
            key
            for key, name in self._owners.items()
            if name != STEADY and len(self.keys_of(name)) > 1
        ]

    def _tenant(self, name: str) -> dict:
        tenant: dict = {'name': name, 'apiKeys': self.keys_of(name)}
        priority = _PRIORITIES.get(name)
        if priority is not None:
            tenant['priority'] = priority
        limit = self.limits[name]
        if limit.rate_per_s:
            tenant['ratePerS'] = limit.rate_per_s
            tenant['burst'] = limit.burst
        return tenant

    def _new_key(self) -> str:
        return f'{KEY_PREFIX}{self._rng.getrandbits(_KEY_BITS):016x}'
