"""Check that no node returns to an older version of the accounts.

What a node did with a key shows which versions it may have had then. Unlike
the bound on new versions, this holds for nodes that are out of touch too.
"""

import collections
import math

import msgspec

from tools.soak.account_checks import KeyedRequest
from tools.soak.account_versions import AccountVersions


class _Proof(msgspec.Struct, frozen=True, kw_only=True):
    """A node has had a version, or a newer one, at a moment."""

    since_s: float
    moment_s: float


class VersionOrder:
    """The newest version that each node has shown, and since when."""

    def __init__(self, *, versions: AccountVersions) -> None:
        self._versions = versions
        self._proofs: dict[str, list[_Proof]] = collections.defaultdict(list)

    def forget(self, node: str) -> None:
        """Forget what a node has shown, as it starts again.

        It may read a copy of the store that is slightly older.
        """
        self._proofs.pop(node, None)

    def breach(
        self, request: KeyedRequest, account: str | None, now_s: float
    ) -> str:
        """Return how a node shows an older version, empty if it does not.

        ``account`` is the one that the node found for the key of a request,
        ``None`` if it found none.
        """
        fitting_s = self._versions.with_owner(request.key or '', account)
        if not fitting_s:
            return ''
        proofs = self._proofs[request.node]
        proven_s = max(
            (
                proof.since_s
                for proof in proofs
                if proof.moment_s < request.sent_s
            ),
            default=-math.inf,
        )
        if fitting_s[-1] < proven_s:
            return f'a version {proven_s - fitting_s[-1]:.2f} s older is back'
        if not proofs or fitting_s[0] > proofs[-1].since_s:
            proofs.append(_Proof(since_s=fitting_s[0], moment_s=now_s))
        return ''
