"""Messages of the rules log, and the head that results from them.

An entry holds the delta from the previous version. A snapshot holds the whole
text of one version, for nodes that start or have missed too many entries.
"""

from collections.abc import Sequence

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.rules import packing
from fescueknot.rules.delta import Hunk, apply_delta
from fescueknot.rules.errors import BadDelta, BadSnapshot

EMPTY_DIGEST = packing.digest_of(0, ())
_READ_ERRORS = (BadSnapshot, *DECODE_ERRORS)


class LogEntry(msgspec.Struct, frozen=True, kw_only=True, tag='entry'):
    """One accepted change of the rules.

    ``change_id`` distinguishes the change from other changes that compete
    for the same version. ``digest`` is the SHA-256 of the version and its
    whole text. ``packed_hunks`` replaces ``hunks`` in large entries.
    """

    version: int
    base_version: int
    change_id: str
    author: str
    wall_time_s: float
    digest: str
    hunks: tuple[Hunk, ...] = ()
    packed_hunks: str = ''

    def delta(self) -> tuple[Hunk, ...]:
        """Return the hunks; raise ``BadDelta``."""
        if not self.packed_hunks:
            return self.hunks
        try:
            return _unpack_hunks(self.packed_hunks)
        except _READ_ERRORS as error:
            raise BadDelta(str(error)) from error


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """The whole text of one version, packed."""

    version: int
    digest: str
    packed_text: str


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """The text of one version of the rules, with its digest."""

    version: int = 0
    digest: str = EMPTY_DIGEST
    lines: tuple[str, ...] = ()

    def after(self, entry: LogEntry) -> 'Head':
        """Return the head after the next entry is applied.

        Raise ``BadDelta`` if it doesn't apply or the digest is wrong.
        """
        return self.after_all((entry,))

    def after_all(self, entries: Sequence[LogEntry]) -> 'Head':
        """Return the head after the next entries are applied.

        Only the digest of the last entry is checked: it covers the whole
        text. Raise ``BadDelta`` if an entry doesn't apply or that digest
        is wrong.
        """
        head = self
        for entry in entries:
            head = head.unverified_after(entry)
        digest = packing.digest_of(head.version, head.lines)
        if digest != head.digest:
            raise BadDelta(f'entry {head.version} has a wrong digest')
        return head

    def unverified_after(self, entry: LogEntry) -> 'Head':
        """Return the head after the next entry, without a digest check."""
        if entry.base_version != self.version:
            raise BadDelta(
                f'entry {entry.version} is based on version '
                f'{entry.base_version}, not on {self.version}'
            )
        if entry.version != self.version + 1:
            raise BadDelta(
                f'entry {entry.version} does not follow version {self.version}'
            )
        return Head(
            version=entry.version,
            digest=entry.digest,
            lines=apply_delta(self.lines, entry.delta()),
        )

    def snapshot(self) -> Snapshot:
        """Return the snapshot of this head."""
        return Snapshot(
            version=self.version,
            digest=self.digest,
            packed_text=packing.pack(packing.text_of(self.lines)),
        )


def _unpack_hunks(packed: str) -> tuple[Hunk, ...]:
    text = packing.unpack(packed)
    return msgspec.json.decode(text, type=tuple[Hunk, ...])


def head_of(snapshot: Snapshot) -> Head:
    """Return the verified head of a snapshot; raise ``BadSnapshot``."""
    lines = tuple(packing.unpack(snapshot.packed_text).splitlines())
    digest = packing.digest_of(snapshot.version, lines)
    if digest != snapshot.digest:
        raise BadSnapshot(f'snapshot {snapshot.version} has a wrong digest')
    return Head(version=snapshot.version, digest=digest, lines=lines)


LogMessage = LogEntry | Snapshot


def decode_log_message(value: str | bytes) -> LogMessage | None:
    """Return the message in a stored value; ``None`` if it is invalid."""
    try:
        return msgspec.json.decode(value, type=LogMessage)
    except DECODE_ERRORS:
        return None


def encode_log_message(message: LogMessage) -> str:
    """Return the value to store."""
    return msgspec.json.encode(message).decode()
