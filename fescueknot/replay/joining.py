"""Makes a trace of the records of several nodes.

Spans tell which work belongs to which call: an entry without a parent is an
arrival, the work done for it is its root, and the calls made in the course of
that work are below it.
"""

import collections
from collections.abc import Iterable

import msgspec

from fescueknot.node.recorder import EntryRecord, HostRecord, WorkRecord
from fescueknot.replay.errors import TraceError
from fescueknot.replay.events import (
    Arrival,
    Ending,
    Event,
    Header,
    HostUp,
    Trace,
    Work,
)

_NOT_DONE_MS = float(0)


class Records(msgspec.Struct, frozen=True, kw_only=True):
    """Records of all nodes of one recording."""

    hosts: tuple[HostRecord, ...]
    entries: tuple[EntryRecord, ...]
    works: tuple[WorkRecord, ...]


class Joiner:
    """Joins the records of one recording."""

    def __init__(self, *, records: Records) -> None:
        self._records = records
        self._works: dict[str, list[WorkRecord]] = collections.defaultdict(list)
        self._calls: dict[str, list[EntryRecord]] = collections.defaultdict(
            list
        )
        for work in records.works:
            self._works[work.entry_span_id].append(work)
        for entry in records.entries:
            self._calls[entry.parent_span_id].append(entry)

    def trace(self, header: Header) -> Trace:
        """Return the trace; its wall offset is the first arrival's time."""
        works = {work.span_id for work in self._records.works}
        roots = [
            entry
            for entry in self._records.entries
            if entry.parent_span_id not in works
        ]
        if not roots:
            raise TraceError('no root request was recorded')
        began_s = min(entry.at_wall_s for entry in roots)
        arrivals = [self._arrival(entry, began_s) for entry in roots]
        arrivals.sort(key=lambda arrival: arrival.at_s)
        events: list[Event] = [_host(host) for host in self._records.hosts]
        return Trace(
            header=msgspec.structs.replace(header, wall_offset_s=began_s),
            events=(*events, *arrivals),
        )

    def _arrival(self, entry: EntryRecord, began_s: float) -> Arrival:
        return Arrival(
            at_s=entry.at_wall_s - began_s,
            request_id=entry.span_id,
            entry=entry.node,
            caller=entry.caller,
            importance=entry.importance,
            deadline_ms=entry.deadline_ms,
            work=self._work(entry),
            idempotent=entry.idempotent,
            at_most_once=entry.at_most_once,
            key=entry.key,
        )

    def _work(self, entry: EntryRecord) -> Work:
        sent = sorted(
            self._works[entry.span_id], key=lambda work: work.at_wall_s
        )
        if not sent:
            return Work(service=entry.service, service_ms=_NOT_DONE_MS)
        last = sent[-1]
        below = sorted(
            self._calls[last.span_id], key=lambda call: call.at_wall_s
        )
        return Work(
            service=entry.service,
            service_ms=last.own_ms,
            endings=tuple(_ending(work) for work in sent),
            below=tuple(self._work(call) for call in below),
        )


def _ending(work: WorkRecord) -> Ending:
    if work.shed:
        return Ending.REFUSES
    return Ending.ANSWERS if work.answered else Ending.DROPS


def _host(host: HostRecord) -> HostUp:
    return HostUp(
        at_s=0,
        name=host.node,
        incarnation=host.incarnation,
        service=host.service,
        region=host.place.region,
        failure_domain=host.place.failure_domain,
        slots=host.slots,
    )


def records_of(lines: Iterable[bytes]) -> Records:
    """Return the records of JSON lines; raise :class:`TraceError`."""
    known = HostRecord | EntryRecord | WorkRecord
    decoder = msgspec.json.Decoder(known)
    by_type = collections.defaultdict(list)
    for number, line in enumerate(lines, start=1):
        if b'"type":"dropped"' in line:
            continue
        try:
            record = decoder.decode(line)
        except msgspec.DecodeError as error:
            raise TraceError(f'line {number}: {error}') from error
        by_type[type(record)].append(record)
    return Records(
        hosts=tuple(by_type[HostRecord]),
        entries=tuple(by_type[EntryRecord]),
        works=tuple(by_type[WorkRecord]),
    )
