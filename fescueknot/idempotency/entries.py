"""Entries of the ledger and their stored answers."""

import enum

import msgspec


class EntryState(enum.IntEnum):
    """What is known about the run of a key.

    When entries of two ledgers are merged, the higher state wins.
    """

    RUNNING = 0
    LOST = 1
    TOO_LARGE = 2
    DONE = 3


class Header(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One header of an answer."""

    name: str
    content: str


class StoredAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A complete answer of a target."""

    status: int
    headers: tuple[Header, ...] = ()
    body: bytes = b''


class Entry(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One key that was begun.

    ``packed`` is the answer as MessagePack or, when it was too large, the
    digest of that. The work must not start after ``start_by_s``. ``serial``
    distinguishes the dispatches of a key.
    """

    state: EntryState
    fingerprint: bytes
    begun_s: float
    start_by_s: float
    serial: int
    packed: bytes = b''

    def may_still_run(self, *, now_s: float) -> bool:
        """Return whether the work runs or may still start."""
        if self.state is EntryState.RUNNING:
            return True
        return self.state is EntryState.LOST and self.start_by_s > now_s

    def answer(self) -> StoredAnswer:
        """Return the answer of a finished entry."""
        return _DECODER.decode(self.packed)


class MovedEntry(msgspec.Struct, frozen=True, kw_only=True):
    """An entry sent to another ledger, with ages in place of local times."""

    digest: bytes
    state: EntryState
    fingerprint: bytes
    age_s: float
    start_within_s: float
    packed: bytes = b''


_DECODER = msgspec.msgpack.Decoder(StoredAnswer)
_ENCODER = msgspec.msgpack.Encoder()


def pack(answer: StoredAnswer) -> bytes:
    """Return an answer as MessagePack."""
    return _ENCODER.encode(answer)
