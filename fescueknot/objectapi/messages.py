"""Messages of the object API.

A ``version`` counts the writes of one key and is the condition of updates; a
``revision`` counts the writes of the whole store and orders them.
"""

import msgspec

MAX_VALUE_BYTES = 1_000_000


class StoredObject(msgspec.Struct, frozen=True, kw_only=True):
    """An object as read from the store; ``value`` is JSON text.

    ``created_revision`` distinguishes successive objects with the same key; 0
    if the store does not report it.
    """

    key: str
    value: str
    version: int
    revision: int
    created_revision: int = 0


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One write or deletion, as seen by a watch."""

    key: str
    value: str
    version: int
    revision: int
    created_revision: int = 0
    deleted: bool = False


class Listing(msgspec.Struct, frozen=True, kw_only=True):
    """All objects under a prefix at ``revision``, in key order.

    ``unreadable`` objects are left out, as they can't be decoded.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    unreadable: int = 0


class WatchBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Changes since the requested revision, in order.

    The next watch starts from ``revision``, which may be later than the last
    event but is never below the requested revision. ``events`` is empty if the
    watch timed out, or if all of them were ``unreadable`` and left out.
    """

    events: tuple[Change, ...]
    revision: int
    unreadable: int = 0
