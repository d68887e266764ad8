"""Recorder: what came in and what the target did, as JSON lines.

Off unless the settings name a stream. A record is put into a bounded queue and
written by one thread; when the queue is full, records are dropped and counted,
so that a slow reader never holds a call. Nothing is written to a file: hosts
have no disk.
"""

import abc
import contextlib
import logging
import os
import queue
import stat
import sys
from typing import BinaryIO

import msgspec

from fescueknot.calls import Importance, Outcome
from fescueknot.identity import Place
from fescueknot.node.errors import NodeError

STDERR = 'stderr'

_LOG = logging.getLogger('fescueknot.recorder')
_MOST_WAITING = 10_000


class RecorderError(NodeError):
    """The stream of the recorder can't be used."""


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, tag='host'):
    """The node that records; the first record of each start."""

    node: str
    incarnation: int
    service: str
    place: Place
    slots: int


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag='entry'):
    """A call that entered the layer at this node, and how it ended.

    ``parent_span_id`` is the span of the work in whose course it was made,
    empty for a root request.
    """

    at_wall_s: float
    node: str
    root_id: str
    span_id: str
    parent_span_id: str
    service: str
    importance: Importance
    deadline_ms: int
    idempotent: bool
    at_most_once: bool
    key: str
    caller: str
    verdict: str
    outcome: Outcome
    attempts: int


class WorkRecord(msgspec.Struct, frozen=True, kw_only=True, tag='work'):
    """One call handed to the target beside this node.

    ``entry_span_id`` is the span of the entry hop, ``own_ms`` the service time
    less that of the calls below. Without ``answered`` the answer was lost;
    ``shed`` tells that the target refused.
    """

    at_wall_s: float
    node: str
    span_id: str
    entry_span_id: str
    service: str
    own_ms: float
    answered: bool
    shed: bool = False


class DroppedRecord(msgspec.Struct, frozen=True, kw_only=True, tag='dropped'):
    """Records that found the queue full; the last record of each stop."""

    node: str
    count: int


Record = HostRecord | EntryRecord | WorkRecord | DroppedRecord


class Recorder(abc.ABC):
    """Takes records; never blocks and never raises."""

    @abc.abstractmethod
    def record(self, record: Record) -> None:
        """Take one record."""


class NoRecorder(Recorder):
    """Records nothing."""

    def record(self, record: Record) -> None:
        """Ignore the record."""


class StreamRecorder(Recorder):
    """Writes records to a stream from the thread that calls ``run``."""

    def __init__(
        self,
        *,
        node: str,
        stream: BinaryIO,
        max_queued: int = _MOST_WAITING,
    ) -> None:
        self._node = node
        self._stream = stream
        self._waiting: queue.Queue[Record | None] = queue.Queue(max_queued)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return how many records found the queue full."""
        return self._dropped

    def record(self, record: Record) -> None:
        """Put a record into the queue, or drop it."""
        try:
            self._waiting.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def run(self) -> None:
        """Write until ``stop``; a stream that breaks ends the recording."""
        try:
            self._write_all()
        except OSError as error:
            _LOG.warning('recorder: the stream broke: %s', error)

    def stop(self) -> None:
        """Let ``run`` end once the queue is written; never blocks."""
        stopped = False
        while not stopped:
            stopped = self._put_stop()

    def _put_stop(self) -> bool:
        try:
            self._waiting.put_nowait(None)
        except queue.Full:
            with contextlib.suppress(queue.Empty):
                self._waiting.get_nowait()
            self._dropped += 1
            return False
        return True

    def _write_all(self) -> None:
        for record in iter(self._waiting.get, None):
            self._write(record)
        self._write(DroppedRecord(node=self._node, count=self._dropped))

    def _write(self, record: Record) -> None:
        self._stream.write(b'%b\n' % msgspec.json.encode(record))
        self._stream.flush()


def open_stream(target: str) -> BinaryIO:
    """Return ``stderr`` or the FIFO at a path.

    Raise :class:`RecorderError` for anything that would be kept on a disk.
    Opening a FIFO waits for its reader.
    """
    if target == STDERR:
        return sys.stderr.buffer
    try:
        mode = os.stat(target).st_mode
    except OSError as error:
        raise RecorderError(f'no stream at {target}: {error}') from error
    if not stat.S_ISFIFO(mode):
        raise RecorderError(f'{target} is no FIFO')
    descriptor = os.open(target, os.O_WRONLY)
    return os.fdopen(descriptor, 'wb', buffering=0)
