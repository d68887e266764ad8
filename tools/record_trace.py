"""Makes a trace of a run of the demo.

Reads what the callers of the demo have written (arrivals, ids, the plan) and
the timeline of its faults. Targets don't log their service times: they are
drawn again, with a seed, from the distribution that the stand-in uses.
"""

import json
import pathlib
import random
import sys
import uuid
from collections.abc import Iterator, Sequence
from typing import Any

from absl import app, flags

from fescueknot.calls import Importance
from fescueknot.randomness import seeded
from tools.demonstration.catalog import DEPLOYMENTS
from tools.demonstration.deployment import CUT, Deployment, Service
from tools.demonstration.report import read_finished
from tools.demonstration.timeline import Timeline
from tools.standin.plan import Stream
from tools.standin.results import Finished
from tools.standin.service_time import ServiceTime

_FOLDER = flags.DEFINE_string('folder', '', 'Folder of one leg of the demo.')
_NAME = flags.DEFINE_string('name', '', 'Name of the trace.')
_DEPLOYMENT = flags.DEFINE_string('deployment', '', 'Deployment played.')
_FROM_S = flags.DEFINE_float('from_s', 0, 'First second to keep.')
_UNTIL_S = flags.DEFINE_float('until_s', 21, 'Second to stop before.')
_END_S = flags.DEFINE_float('end_s', 60, 'Last second of the replay.')
_ADDED = flags.DEFINE_string('added', '', 'Events to add, as JSON lines.')
_NOTE = flags.DEFINE_string('note', '', 'What the added events are.')
_SEED = flags.DEFINE_integer('seed', 1, 'Seed of service times and replay.')

_SUSPECTED_AFTER_S = 3.0
_TIME_BITS = 80
_TAIL_BITS = 62
_VERSION_AND_VARIANT = (7 << 76) | (2 << 62)
_MS_PER_S = 1000
_HARD_REPEATS = 4
_HARD_PAUSE_MS = 50
_CALM_REPEATS = 1
_CALM_PAUSE_MS = 100
_EDITED = (
    'service times drawn again from the stand-in; entries in turn; '
    'repeats as the plan of the callers has them'
)


class Recorder:
    """Turns the files of one leg into the lines of a trace."""

    def __init__(self, *, deployment: Deployment, source: random.Random):
        self._deployment = deployment
        self._source = source
        self._timeline = Timeline()
        self._streams = {one.label: one for one in deployment.streams}
        self._services = {one.name: one for one in deployment.services}
        self._hosts = tuple(self._placed_hosts())

    def lines(self, finished: Sequence[Finished]) -> Iterator[dict[str, Any]]:
        """Yield the header and all events."""
        kept = [one for one in finished if _kept(one)]
        kept.sort(key=lambda one: one.sent_s)
        header = self._header(kept)
        yield header
        yield from self._hosts
        yield from self._faults()
        yield from _added(header['wall_offset_s'])
        for number, one in enumerate(kept):
            yield self._arrival(number, one)

    def _header(self, kept: Sequence[Finished]) -> dict[str, Any]:
        keyed = next(one for one in kept if one.keyed)
        made_ms = uuid.UUID(keyed.request_id).int >> _TIME_BITS
        return {
            'type': 'header',
            'name': _NAME.value,
            'recorded_by': (
                'python -m tools.demo --legs with --only '
                + f'{self._deployment.name}; python -m tools.record_trace '
                + f'--from_s {_FROM_S.value:g} --until_s {_UNTIL_S.value:g}'
            ),
            'deployment': self._deployment.name,
            'seed': _SEED.value,
            'edited': f'{_EDITED}; {_NOTE.value or "nothing added"}',
            'wall_offset_s': round(made_ms / _MS_PER_S - keyed.sent_s, 3),
            'end_s': _END_S.value,
        }

    def _placed_hosts(self) -> Iterator[dict[str, Any]]:
        for service in self._deployment.services:
            for number in range(CUT.instances):
                region, domain = self._deployment.places[number]
                yield {
                    'type': 'host',
                    'at_s': 0,
                    'name': f'{service.name}-{number + 1}',
                    'service': service.name,
                    'region': region,
                    'failure_domain': domain,
                    'slots': CUT.slots(service),
                }

    def _faults(self) -> Iterator[dict[str, Any]]:
        lost_s = self._timeline.host_loss_s
        if not _FROM_S.value <= lost_s < _UNTIL_S.value:
            return
        lost = self._deployment.lost
        yield {
            'type': 'store-down',
            'at_s': self._timeline.outage_start_s,
            'until_s': self._timeline.outage_end_s,
        }
        yield {'type': 'lost', 'at_s': lost_s, 'name': f'{lost}-1'}
        yield {
            'type': 'suspected',
            'at_s': lost_s + _SUSPECTED_AFTER_S,
            'name': f'{lost}-1',
            'by': f'{lost}-2',
        }

    def _arrival(self, number: int, one: Finished) -> dict[str, Any]:
        stream = self._streams[one.label]
        label = one.label.partition('-')[0]
        arrival = {
            'type': 'arrival',
            'at_s': round(one.sent_s, 3),
            'request_id': f'r{number}',
            'entry': self._hosts[number % len(self._hosts)]['name'],
            'importance': Importance[label.upper()].value,
            'deadline_ms': stream.timeout_ms,
            'work': self._work(stream),
            **self._habit(one),
        }
        if one.keyed:
            return {**arrival, 'at_most_once': True, 'key': one.request_id}
        return {**arrival, 'idempotent': True}

    def _habit(self, one: Finished) -> dict[str, Any]:
        timeline = self._timeline
        if timeline.surge_start_s <= one.sent_s < timeline.surge_end_s:
            return {'repeats': _HARD_REPEATS, 'pause_ms': _HARD_PAUSE_MS}
        return {
            'repeats': _CALM_REPEATS,
            'pause_ms': _CALM_PAUSE_MS,
            'honours_retry_after': True,
        }

    def _work(self, stream: Stream) -> list[Any]:
        return self._tree(self._services[stream.service], stream.path)

    def _tree(self, service: Service, path: str) -> list[Any]:
        root = [service.name, self._service_ms(service)]
        below = [
            self._tree(self._services[call.service], call.path)
            for call in service.calls
            if path.startswith(call.under)
        ]
        return [*root, ['answers'], below] if below else root

    def _service_ms(self, service: Service) -> float:
        time = ServiceTime(median_ms=CUT.service_ms * service.time_share)
        drawn_s = time.draw_s(age_s=0, source=self._source)
        return round(drawn_s * _MS_PER_S, 1)


def _added(wall_offset_s: float) -> Iterator[dict[str, Any]]:
    if not _ADDED.value:
        return
    lines = pathlib.Path(_ADDED.value).read_text(encoding='utf-8')
    for line in lines.splitlines():
        event = json.loads(line)
        made_s = event.pop('key_made_s', None)
        if made_s is not None:
            event['key'] = _timed_key(wall_offset_s + made_s, event['key'])
        yield event


def _timed_key(made_at_wall_s: float, text: str) -> str:
    """Return the UUID of version 7 that stands for a text."""
    named = uuid.uuid5(uuid.NAMESPACE_URL, text).int
    tail = named & ((1 << _TAIL_BITS) - 1)
    made_ms = int(made_at_wall_s * _MS_PER_S)
    number = (made_ms << _TIME_BITS) | _VERSION_AND_VARIANT | tail
    return str(uuid.UUID(int=number))


def _kept(one: Finished) -> bool:
    return _FROM_S.value <= one.sent_s < _UNTIL_S.value


def main(_argv: Sequence[str]) -> int:
    """Print the trace."""
    deployments = {one.name: one for one in DEPLOYMENTS}
    recorder = Recorder(
        deployment=deployments[_DEPLOYMENT.value],
        source=seeded(seed=_SEED.value),
    )
    file = pathlib.Path(_FOLDER.value) / 'finished.jsonl'
    for line in recorder.lines(read_finished(file)):
        print(json.dumps(line, separators=(',', ':')))
    return 0


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
