"""Queue of keys by the time when they may be forgotten."""

_BUCKET_S = 60


class ForgettingQueue:
    """Keys in buckets of a minute, at eight bytes a key."""

    def __init__(self) -> None:
        self._buckets: dict[int, list[bytes]] = {}
        self._first = 0

    def push(self, digest: bytes, forget_at_s: float) -> None:
        """Add a key that may be forgotten from ``forget_at_s`` on."""
        bucket = int(forget_at_s // _BUCKET_S)
        if not self._buckets or bucket < self._first:
            self._first = bucket
        self._buckets.setdefault(bucket, []).append(digest)

    def pop_due(self, now_s: float) -> list[bytes]:
        """Take out the keys of the buckets that have passed as a whole."""
        due: list[bytes] = []
        current = int(now_s // _BUCKET_S)
        if not self._buckets or self._first >= current:
            return due
        passed = [bucket for bucket in self._buckets if bucket < current]
        for bucket in passed:
            due.extend(self._buckets.pop(bucket))
        self._first = current
        return due
