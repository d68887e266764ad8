"""One request of a caller, with its retries."""

import itertools
import time
import types

import msgspec

from tools.standin.connections import KeptConnections, Order, Reply
from tools.standin.errors import LostError, NotConnectedError
from tools.standin.plan import Plan, RetryHabit, Stream
from tools.standin.results import Ending, Finished

_MS_PER_S = 1_000
_GOOD = range(200, 300)
_SHORTEST_S = 0.001
_ENDINGS = types.MappingProxyType(
    {
        'not run': Ending.NOT_RUN,
        'run': Ending.RUN,
        'unknown': Ending.UNKNOWN,
    }
)
_FINAL = frozenset((Ending.GOOD, Ending.MISMATCHED))
_CERTAINTY = (Ending.NOT_RUN, Ending.UNKNOWN, Ending.BAD_ANSWER, Ending.RUN)


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """How one attempt ended."""

    ending: Ending
    retry_after_s: float = 0


class Caller:
    """Sends requests with kept-alive connections, one for each thread."""

    def __init__(self, *, plan: Plan) -> None:
        self._plan = plan
        self._turns = itertools.count()
        self._connections = KeptConnections()

    def call(self, stream: Stream, request_id: str, sent_s: float) -> Finished:
        """Return how the request ended."""
        started_s = time.monotonic()
        ends_s = started_s + stream.timeout_ms / _MS_PER_S
        habit = self._habit(sent_s)
        seen: list[Ending] = []
        while len(seen) < habit.attempts and time.monotonic() < ends_s:
            attempt = self._attempt(stream, request_id, ends_s)
            seen.append(attempt.ending)
            if attempt.ending in _FINAL:
                break
            time.sleep(_pause_s(habit, attempt, ends_s))
        return Finished(
            label=stream.label,
            request_id=request_id,
            sent_s=sent_s,
            latency_ms=(time.monotonic() - started_s) * _MS_PER_S,
            attempts=len(seen),
            ending=_summary(seen),
            keyed=stream.keyed,
        )

    def _habit(self, sent_s: float) -> RetryHabit:
        if self._plan.surging(sent_s):
            return self._plan.surge_habit
        return self._plan.habit

    def _attempt(
        self, stream: Stream, request_id: str, ends_s: float
    ) -> Attempt:
        addresses = self._plan.routes[stream.service]
        left_s = max(_SHORTEST_S, ends_s - time.monotonic())
        order = Order(
            address=addresses[next(self._turns) % len(addresses)],
            method=stream.method,
            path=stream.path,
            headers=_headers(stream, request_id, left_s),
            timeout_s=left_s,
        )
        try:
            reply = self._connections.send(order)
        except NotConnectedError:
            return Attempt(ending=Ending.NOT_RUN)
        except LostError:
            return Attempt(ending=Ending.UNKNOWN)
        return _judge(reply, request_id)


def _headers(stream: Stream, request_id: str, left_s: float) -> dict[str, str]:
    headers = {
        'Host': stream.service,
        'X-Request-Id': request_id,
        'Request-Timeout-Ms': str(max(1, int(left_s * _MS_PER_S))),
    }
    if stream.keyed:
        headers['Idempotency-Key'] = request_id
    return headers


def _judge(reply: Reply, request_id: str) -> Attempt:
    try:
        document = msgspec.json.decode(reply.body, type=dict)
    except msgspec.MsgspecError:
        return Attempt(ending=Ending.BAD_ANSWER)
    if reply.status in _GOOD:
        ids = {document.get('request_id'), document.get('end')}
        whole = ids == {request_id}
        return Attempt(ending=Ending.GOOD if whole else Ending.MISMATCHED)
    wait = reply.headers.get('Retry-After', '0')
    return Attempt(
        ending=_ENDINGS.get(document.get('outcome', ''), Ending.UNKNOWN),
        retry_after_s=float(wait) if wait.isdecimal() else 0,
    )


def _pause_s(habit: RetryHabit, attempt: Attempt, ends_s: float) -> float:
    pause_s = habit.pause_s
    if habit.honours_retry_after:
        pause_s = max(pause_s, attempt.retry_after_s)
    return max(0, min(pause_s, ends_s - time.monotonic()))


def _summary(seen: list[Ending]) -> Ending:
    """Return what the caller knows after all attempts."""
    if not seen:
        return Ending.NOT_RUN
    if seen[-1] in _FINAL:
        return seen[-1]
    return max(seen, key=_CERTAINTY.index)
