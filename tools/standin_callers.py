"""Stand-in callers: an open-loop load generator.

Prints one JSON object at the end: counts by class. Each finished request is
one JSON line of ``--finished_file``, written as it happens.
"""

import pathlib
import sys
import threading
from collections.abc import Sequence

import msgspec
from absl import app, flags

from tools.standin.load_generator import LoadGenerator
from tools.standin.plan import Plan
from tools.standin.results import Tally, rows

_FLUSH_INTERVAL_S = 0.25
_PLAN = flags.DEFINE_string('plan', None, 'File with the plan.', required=True)
_FINISHED = flags.DEFINE_string(
    'finished_file', '', 'File for the finished requests, as JSON lines.'
)


class Writer:
    """Writes finished requests to a file while the run goes on."""

    def __init__(self, *, path: str, tally: Tally) -> None:
        self._path = pathlib.Path(path)
        self._tally = tally
        self._written = 0
        self._ended = threading.Event()

    def run(self) -> None:
        """Write now and then until :meth:`end`."""
        with self._path.open('ab', buffering=0) as file:
            while not self._ended.wait(_FLUSH_INTERVAL_S):
                file.write(self._fresh())
            file.write(self._fresh())

    def end(self) -> None:
        """Write what is left and stop."""
        self._ended.set()

    def _fresh(self) -> bytes:
        finished = self._tally.all()[self._written :]
        self._written += len(finished)
        lines = [msgspec.json.encode(one) for one in finished]
        return b''.join(b'%b\n' % line for line in lines)


def main(_argv: Sequence[str]) -> None:
    """Run the plan and print the counts."""
    plan = msgspec.json.decode(
        pathlib.Path(_PLAN.value).read_bytes(), type=Plan
    )
    tally = Tally()
    writer = Writer(path=_FINISHED.value or '/dev/null', tally=tally)
    thread = threading.Thread(target=writer.run)
    thread.start()
    LoadGenerator(plan=plan, tally=tally).run()
    writer.end()
    thread.join()
    print(msgspec.json.encode(rows(tally.all())).decode())


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
