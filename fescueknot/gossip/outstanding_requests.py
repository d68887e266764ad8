"""Questions that a node has asked and that are not answered yet."""

import collections
import random

_OUTSTANDING_LIMIT = 64
_NONCE_BITS = 31


class OutstandingRequests:
    """When each question was sent, by the nonce that its answer carries."""

    def __init__(self) -> None:
        self._asked_at_s: collections.OrderedDict[int, float]
        self._asked_at_s = collections.OrderedDict()

    def register(self, *, now_s: float, rng: random.Random) -> int:
        """Return the nonce of a new question; very old ones are dropped."""
        nonce = rng.getrandbits(_NONCE_BITS)
        self._asked_at_s[nonce] = now_s
        if len(self._asked_at_s) > _OUTSTANDING_LIMIT:
            self._asked_at_s.popitem(last=False)
        return nonce

    def complete(self, nonce: int) -> float | None:
        """Return when a question was sent, once."""
        return self._asked_at_s.pop(nonce, None)
