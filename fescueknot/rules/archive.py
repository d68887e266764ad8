"""Archive of old log entries, for operators who read the history of the rules.

Archive pages are stored in a ring of keys, so that their number in the store
is bounded.
"""

from collections.abc import Sequence

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.objectapi.errors import Conflict, NotFound
from fescueknot.objectapi.store import ObjectStore
from fescueknot.rules.errors import LogBroken
from fescueknot.rules.log_entry import LogEntry

_MAX_PAGES = 1024


class ArchivePage(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive log entries in the order of their versions."""

    entries: tuple[LogEntry, ...]


class Archive:
    """Reads and writes archive pages.

    Errors of the store are passed on to the caller.
    """

    def __init__(self, *, store: ObjectStore, versions_per_page: int) -> None:
        self._store = store
        self._versions_per_page = versions_per_page

    def write_page(self, entries: Sequence[LogEntry]) -> None:
        """Write the entries as one page, unless it is stored already.

        An older page at the same place of the ring is replaced.
        """
        key = self._key(entries[-1].version)
        page = ArchivePage(entries=tuple(entries))
        encoded = msgspec.json.encode(page).decode()
        try:
            self._store.create(key, encoded)
        except Conflict:
            self._replace_older_page(key, encoded, entries[-1].version)

    def read_page(self, version: int) -> ArchivePage | None:
        """Return the page in the ring place of ``version``, if there is one.

        ``version`` is the version of the newest entry of the page.
        """
        try:
            stored = self._store.get(self._key(version))
        except NotFound:
            return None
        return _decode_page(stored.value)

    def _key(self, version: int) -> str:
        page_index = version // self._versions_per_page % _MAX_PAGES
        return f'rules-archive/{page_index:04}'

    def _replace_older_page(self, key: str, encoded: str, version: int) -> None:
        stored = self._store.get(key)
        if _decode_page(stored.value).entries[-1].version < version:
            self._store.update(key, encoded, stored.version)


def _decode_page(value: str) -> ArchivePage:
    try:
        return msgspec.json.decode(value, type=ArchivePage)
    except DECODE_ERRORS as error:
        raise LogBroken(f'archive page is corrupt: {error}') from error
