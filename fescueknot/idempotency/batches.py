"""Batches of ledger entries that one member sends to another."""

import enum
from collections.abc import Iterable

import msgspec

from fescueknot.idempotency.entries import MovedEntry
from fescueknot.identity import InstanceId

_BATCH_BYTES = 256_000
_ENTRY_OVERHEAD_BYTES = 120


class Purpose(enum.StrEnum):
    """Why entries move: the receiver joins, or the giver leaves."""

    JOIN = 'release'
    LEAVE = 'bequest'


class Delivery(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one set of batches from a giver to a receiver.

    ``for_version`` is the roster version at which the receiver joined
    (``JOIN``) or from which the giver leaves (``LEAVE``). A giver that sends
    its entries again increases ``edition``; batches of different editions
    must not be combined.
    """

    purpose: Purpose
    giver: InstanceId
    receiver: InstanceId
    for_version: int
    edition: int


class EntryBatch(msgspec.Struct, frozen=True, kw_only=True):
    """One of ``count`` batches of a delivery."""

    delivery: Delivery
    index: int
    count: int
    entries: tuple[MovedEntry, ...] = ()


class Receipt(msgspec.Struct, frozen=True, kw_only=True):
    """The receiver has stored one batch of a delivery."""

    delivery: Delivery
    index: int


def split(
    delivery: Delivery, entries: Iterable[MovedEntry]
) -> tuple[EntryBatch, ...]:
    """Return the batches of a delivery, at least one."""
    chunks = tuple(_chunks(entries)) or ((),)
    return tuple(
        EntryBatch(
            delivery=delivery,
            index=index,
            count=len(chunks),
            entries=tuple(chunk),
        )
        for index, chunk in enumerate(chunks)
    )


def _chunks(entries: Iterable[MovedEntry]) -> Iterable[list[MovedEntry]]:
    chunk: list[MovedEntry] = []
    used_bytes = 0
    for entry in entries:
        chunk.append(entry)
        used_bytes += _ENTRY_OVERHEAD_BYTES + len(entry.packed)
        if used_bytes >= _BATCH_BYTES:
            yield chunk
            chunk = []
            used_bytes = 0
    if chunk:
        yield chunk
