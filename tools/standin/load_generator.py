"""Sends the streams of a plan in an open loop."""

import random
import threading
import time
from concurrent.futures import Executor, ThreadPoolExecutor

from tools.standin.caller import Caller
from tools.standin.plan import Plan, Stream
from tools.standin.results import Tally
from tools.standin.timed_ids import timed_id


class LoadGenerator:
    """Runs one plan; results appear in the tally."""

    def __init__(self, *, plan: Plan, tally: Tally) -> None:
        self._plan = plan
        self._tally = tally
        self._caller = Caller(plan=plan)
        self._started_s = time.monotonic()

    def elapsed_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._started_s

    def run(self) -> None:
        """Send everything and wait for the last answer."""
        with ThreadPoolExecutor(max_workers=self._plan.workers) as pool:
            threads = [
                threading.Thread(target=self._send, args=(stream, pool))
                for stream in self._plan.streams
            ]
            for thread in threads:
                thread.start()
            for started in threads:
                started.join()

    def _send(self, stream: Stream, pool: Executor) -> None:
        source = random.Random(f'{self._plan.seed}{stream.label}')  # noqa: S311
        due_s = float(0)
        while due_s < self._plan.duration_s:
            rate_per_s = stream.rate_per_s
            if self._plan.surging(due_s):
                rate_per_s *= stream.surge_factor
            due_s += source.expovariate(rate_per_s)
            time.sleep(max(0, due_s - self.elapsed_s()))
            request_id = timed_id(time.time(), source)
            pool.submit(self._call, stream, request_id, due_s)

    def _call(self, stream: Stream, request_id: str, due_s: float) -> None:
        finished = self._caller.call(stream, request_id, due_s)
        self._tally.add(finished)
