"""Decides when a node that has just started may apply its rules.

A node stores no rules on its host. After a restart it could therefore receive
an older version from a stale store or from a lagging node. It first waits for
several sources; the highest version reported by any of them is in force.
"""

import msgspec


class StartGateSettings(msgspec.Struct, frozen=True, kw_only=True):
    """``max_wait_s`` bounds the wait if at least one source has reported."""

    min_peers: int = 2
    max_wait_s: float = 3


class StartGate:
    """Collects the versions reported by the store and by peers."""

    def __init__(self, *, settings: StartGateSettings, now_s: float) -> None:
        self._settings = settings
        self._started_at_s = now_s
        self._peers: set[str] = set()
        self._max_version = 0
        self._is_store_read = False

    def hear_store(self, *, version: int) -> None:
        """Record the version read from the store."""
        self._is_store_read = True
        self._max_version = max(self._max_version, version)

    def hear_peer(self, *, name: str, version: int) -> None:
        """Record the version that a peer has in force."""
        self._peers.add(name)
        self._max_version = max(self._max_version, version)

    def may_serve(self, *, version: int, now_s: float) -> bool:
        """Return whether ``version`` may be applied to calls.

        A version lower than a reported one is never used. After the maximum
        wait one source is enough; without any source the node has no rules.
        """
        if version < self._max_version:
            return False
        if self._is_store_read and self._has_enough_peers():
            return True
        waited_s = now_s - self._started_at_s
        return self._has_any_source() and waited_s >= self._settings.max_wait_s

    def _has_enough_peers(self) -> bool:
        return len(self._peers) >= self._settings.min_peers

    def _has_any_source(self) -> bool:
        return self._is_store_read or bool(self._peers)
