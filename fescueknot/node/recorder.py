"""Records incoming calls and the work of the target as JSON lines.

Off unless the settings name a stream. A record is put into a bounded queue and
written by one thread; when the queue is full, records are dropped and counted,
so that a slow reader never delays a call. Nothing is written to a file: hosts
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
_MAX_QUEUED_RECORDS = 10_000


class RecorderError(NodeError):
    """The stream of the recorder cannot be used."""


class HostRecord(msgspec.Struct, frozen=True, kw_only=True, tag='host'):
    """The recording node; the first record after each start."""

    node: str
    incarnation: int
    service: str
    place: Place
    slots: int


class EntryRecord(msgspec.Struct, frozen=True, kw_only=True, tag='entry'):
    """A call that entered the layer at this node, and how it ended.

    ``parent_span_id`` is the span of the work that made the call, empty for a
    root request.
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
    """One call sent to the local target.

    ``entry_span_id`` is the span of the call at its entry node. ``own_ms`` is
    the service time without that of downstream calls. ``answered`` is false
    if the answer was lost; ``shed`` is true if the target refused the call.
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
    """Number of dropped records; the last record before each stop."""

    node: str
    count: int


Record = HostRecord | EntryRecord | WorkRecord | DroppedRecord


class Recorder(abc.ABC):
    """Accepts records; never blocks and never raises."""

    @abc.abstractmethod
    def record(self, record: Record) -> None:
        """Accept one record."""


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
        max_queued: int = _MAX_QUEUED_RECORDS,
    ) -> None:
        self._node = node
        self._stream = stream
        self._queue: queue.Queue[Record | None] = queue.Queue(max_queued)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Return the number of records dropped from the full queue."""
        return self._dropped

    def record(self, record: Record) -> None:
        """Put a record into the queue, or drop it if the queue is full."""
        try:
            self._queue.put_nowait(record)
        except queue.Full:
            self._dropped += 1

    def run(self) -> None:
        """Write records until ``stop`` or until the stream fails."""
        try:
            self._write_all()
        except OSError as error:
            _LOG.warning('recorder: writing to the stream failed: %s', error)

    def stop(self) -> None:
        """Make ``run`` end after the queued records; never blocks.

        If the queue is full, its oldest records are dropped.
        """
        stopped = False
        while not stopped:
            stopped = self._put_stop()

    def _put_stop(self) -> bool:
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            with contextlib.suppress(queue.Empty):
                self._queue.get_nowait()
            self._dropped += 1
            return False
        return True

    def _write_all(self) -> None:
        for record in iter(self._queue.get, None):
            self._write(record)
        self._write(DroppedRecord(node=self._node, count=self._dropped))

    def _write(self, record: Record) -> None:
        self._stream.write(b'%b\n' % msgspec.json.encode(record))
        self._stream.flush()


def open_stream(name: str) -> BinaryIO:
    """Return the stream called ``stderr`` or the FIFO at a path.

    Raise :class:`RecorderError` for any other file, which would be kept on a
    disk. Opening a FIFO blocks until it has a reader.
    """
    if name == STDERR:
        return sys.stderr.buffer
    try:
        mode = os.stat(name).st_mode
    except OSError as error:
        raise RecorderError(
            f'cannot open the stream {name}: {error}'
        ) from error
    if not stat.S_ISFIFO(mode):
        raise RecorderError(f'{name} is not a FIFO')
    descriptor = os.open(name, os.O_WRONLY)
    return os.fdopen(descriptor, 'wb', buffering=0)
