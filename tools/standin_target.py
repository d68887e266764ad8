"""A stand-in target: one process that answers HTTP requests of one service.

It has slots, service times, a cold start and a load endpoint that lags or
misleads; it honours deadlines and cancellation and calls other services.
"""

import logging
import os
import signal
import sys
import threading
import time
from collections.abc import Sequence

import msgspec
import waitress
from absl import app, flags

from tools.standin.announcer import Announcer
from tools.standin.audit import Audit
from tools.standin.downstream import Downstream, Route
from tools.standin.load_view import Honesty, LoadView
from tools.standin.service_time import ServiceTime
from tools.standin.slots import Slots
from tools.standin.target_app import Parts, TargetApp

_SPARE_THREADS = 4
_LEAVE_S = 3.0
_POLL_S = 0.05
_SERVICE = flags.DEFINE_string('service', 'ledger', 'Service of the target.')
_NAME = flags.DEFINE_string('name', 'ledger-1', 'Name of the target.')
_PORT = flags.DEFINE_integer('port', 7200, 'Port on 127.0.0.1.')
_SLOTS = flags.DEFINE_integer('slots', 8, 'Requests worked on at a time.')
_QUEUE = flags.DEFINE_integer('queue_limit', 32, 'Requests that may wait.')
_CONNECTIONS = flags.DEFINE_integer('connections', 300, 'Open connections.')
_MEDIAN = flags.DEFINE_float('service_ms', 20, 'Median service time, ms.')
_SPREAD = flags.DEFINE_float('spread', 0.3, 'Spread of the service time.')
_COLD = flags.DEFINE_float('cold_start_s', 0, 'Length of the cold start.')
_COLD_FACTOR = flags.DEFINE_float('cold_factor', 4, 'Slowdown at the start.')
_LAG = flags.DEFINE_float('load_lag_s', 1, 'Age of the load report.')
_HONESTY = flags.DEFINE_enum_class(
    'load_honesty', Honesty.LAGGING, Honesty, 'What the load endpoint tells.'
)
_AUDIT = flags.DEFINE_string('audit_file', '', 'File of begun keyed work.')
_ANNOUNCE = flags.DEFINE_string(
    'announce_to', '', "IP:PORT of the node's operators' listener."
)
_ANSWER = flags.DEFINE_integer('answer_bytes', 200, 'Padding of an answer.')
_ROUTES = flags.DEFINE_string(
    'routes', '[]', 'JSON list of the calls made for each request.'
)


class Leave:
    """Handler of SIGTERM: announces it, waits until idle and ends."""

    def __init__(self, *, announcer: Announcer, slots: Slots) -> None:
        self._announcer = announcer
        self._slots = slots

    def __call__(self, _signal: int, _frame: object) -> None:
        """Start to leave; the main thread goes on serving."""
        threading.Thread(target=self._leave).start()

    def _leave(self) -> None:
        self._announcer.drain()
        time.sleep(_LEAVE_S)
        while self._slots.in_flight or self._slots.waiting:
            time.sleep(_POLL_S)
        os._exit(0)


def main(_argv: Sequence[str]) -> None:
    """Serve until the process is ended."""
    routes = msgspec.json.decode(_ROUTES.value, type=tuple[Route, ...])
    slots = Slots(slots=_SLOTS.value, queue_limit=_QUEUE.value)
    parts = Parts(
        slots=slots,
        service_time=ServiceTime(
            median_ms=_MEDIAN.value,
            spread=_SPREAD.value,
            cold_start_s=_COLD.value,
            cold_factor=_COLD_FACTOR.value,
        ),
        load_view=LoadView(lag_s=_LAG.value, honesty=_HONESTY.value),
        audit=Audit(path=_AUDIT.value),
        downstream=tuple(Downstream(route=route) for route in routes),
    )
    target = TargetApp(
        service=_SERVICE.value,
        name=_NAME.value,
        parts=parts,
        answer_bytes=_ANSWER.value,
    )
    if _ANNOUNCE.value:
        announcer = Announcer(address=_ANNOUNCE.value, slots=_SLOTS.value)
        announcer.start()
        signal.signal(signal.SIGTERM, Leave(announcer=announcer, slots=slots))
    logging.getLogger('waitress').setLevel(logging.ERROR)
    waitress.serve(
        target,
        host='127.0.0.1',
        port=_PORT.value,
        threads=_SLOTS.value + _QUEUE.value + _SPARE_THREADS,
        connection_limit=_CONNECTIONS.value,
        channel_request_lookahead=1,
        asyncore_use_poll=True,
        _quiet=True,
    )


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
