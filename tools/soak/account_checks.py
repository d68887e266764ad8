"""Checks of keys and accounts: what reaches targets, and who gets a 401."""

import msgspec

from fescueknot.httpio.messages import Headers
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.account_versions import AccountVersions


class KeyedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request as its caller sent it; ``key`` is ``None`` without one."""

    node: str
    sent_s: float
    key: str | None = None
    is_public: bool = False


class AccountChecks:
    """Judges requests by the versions that may be in force at their node."""

    def __init__(self, *, versions: AccountVersions) -> None:
        self._versions = versions

    def run_breach(self, request: KeyedRequest, headers: Headers) -> str:
        """Return how a run breaks a promise, empty if it does not."""
        if not self._versions:
            return ''
        if _shows_key(request, headers):
            return 'its target got the key'
        if request.key is not None and not self._versions.had_key(request.key):
            return 'ran with a key that no version has had'
        named = [text for name, text in headers if name == HEADERS.account]
        owners = self._owners(request)
        allowed = [[owner] for owner in owners if owner is not None]
        if request.is_public and request.key is None:
            allowed.append([])
        if named in allowed:
            return ''
        return f'ran for accounts {named}, allowed are {allowed}'

    def refusal_breach(self, request: KeyedRequest) -> str:
        """Return how a 401 breaks a promise, empty if it does not."""
        if not self._versions:
            return ''
        if request.is_public and request.key is None:
            return 'was told 401 without a key on a public route'
        if None in self._owners(request):
            return ''
        return 'was told 401 with a key of each version that may be in force'

    def _owners(self, request: KeyedRequest) -> frozenset[str | None]:
        """Return the accounts that the key may have, ``None`` for none."""
        versions = self._versions.possible(request.sent_s, node=request.node)
        return frozenset(
            version.owners.get(request.key or '') for version in versions
        )


def _shows_key(request: KeyedRequest, headers: Headers) -> bool:
    if HEADERS.key in dict(headers):
        return True
    texts = '\n'.join(text for _, text in headers)
    return request.key is not None and request.key in texts
