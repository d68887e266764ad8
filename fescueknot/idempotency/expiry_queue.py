"""Queue of keys by the time when they expire."""

_BUCKET_S = 60


class ExpiryQueue:
    """Keys in buckets of one minute; it costs eight bytes per key."""

    def __init__(self) -> None:
        self._buckets: dict[int, list[bytes]] = {}
        self._first_bucket = 0

    def push(self, digest: bytes, expires_at_s: float) -> None:
        """Add a key that expires at ``expires_at_s``."""
        bucket = int(expires_at_s // _BUCKET_S)
        if not self._buckets or bucket < self._first_bucket:
            self._first_bucket = bucket
        self._buckets.setdefault(bucket, []).append(digest)

    def pop_expired(self, now_s: float) -> list[bytes]:
        """Remove and return the keys of all buckets that have ended."""
        expired: list[bytes] = []
        current_bucket = int(now_s // _BUCKET_S)
        if not self._buckets or self._first_bucket >= current_bucket:
            return expired
        expired_buckets = [
            bucket for bucket in self._buckets if bucket < current_bucket
        ]
        for bucket in expired_buckets:
            expired.extend(self._buckets.pop(bucket))
        self._first_bucket = current_bucket
        return expired
