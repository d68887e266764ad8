"""Requests that a node has sent and that have no reply yet."""

import collections
import random

_MAX_OUTSTANDING = 64
_NONCE_BITS = 31


class OutstandingRequests:
    """Send time of each request, by the nonce that its reply carries."""

    def __init__(self) -> None:
        self._sent_at_s_by_nonce: collections.OrderedDict[int, float]
        self._sent_at_s_by_nonce = collections.OrderedDict()

    def register(self, *, now_s: float, rng: random.Random) -> int:
        """Return the nonce of a new request; drop the oldest if too many."""
        nonce = rng.getrandbits(_NONCE_BITS)
        self._sent_at_s_by_nonce[nonce] = now_s
        if len(self._sent_at_s_by_nonce) > _MAX_OUTSTANDING:
            self._sent_at_s_by_nonce.popitem(last=False)
        return nonce

    def complete(self, nonce: int) -> float | None:
        """Remove a request and return its send time.

        Returns ``None`` for a nonce that is unknown or was removed before.
        """
        return self._sent_at_s_by_nonce.pop(nonce, None)
