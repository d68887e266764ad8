"""An operator's edit of the rules, and the log entry built from it."""

import msgspec

from fescueknot.objectapi.messages import MAX_VALUE_BYTES
from fescueknot.rules import packing
from fescueknot.rules.delta import Hunk, make_delta
from fescueknot.rules.errors import TextTooLarge
from fescueknot.rules.log_entry import Head, LogEntry, encode_log_message

_MAX_PLAIN_HUNKS_BYTES = 16_000


class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """A new rules text, its author, and the version it is based on."""

    text: str
    file: str
    author: str
    base_version: int


class Applied(msgspec.Struct, frozen=True, kw_only=True):
    """The edit has been accepted as version ``entry.version``."""

    entry: LogEntry


class Unchanged(msgspec.Struct, frozen=True, kw_only=True):
    """The text equals that of the accepted version; nothing was written."""

    version: int


ApplyResult = Applied | Unchanged


def build_entry(
    head: Head, edit: Edit, *, change_id: str, wall_time_s: float
) -> LogEntry:
    """Return the log entry that follows ``head``; raise ``TextTooLarge``."""
    lines = tuple(edit.text.splitlines())
    version = head.version + 1
    hunks = make_delta(head.lines, lines)
    entry = LogEntry(
        version=version,
        base_version=head.version,
        change_id=change_id,
        author=edit.author,
        wall_time_s=wall_time_s,
        digest=packing.digest_of(version, lines),
        **_delta_fields(hunks),
    )
    snapshot = Head(
        version=version, digest=entry.digest, lines=lines
    ).snapshot()
    for message in (entry, snapshot):
        if len(encode_log_message(message)) > MAX_VALUE_BYTES:
            raise TextTooLarge(
                f'the packed rules exceed {MAX_VALUE_BYTES} bytes'
            )
    return entry


def _delta_fields(hunks: tuple[Hunk, ...]) -> dict[str, object]:
    encoded = msgspec.json.encode(hunks).decode()
    if len(encoded) <= _MAX_PLAIN_HUNKS_BYTES:
        return {'hunks': hunks}
    return {'packed_hunks': packing.pack(encoded)}
