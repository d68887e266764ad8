"""Threads in front of the admission gate.

The gate is pure and takes the time as an argument. The desk holds its lock,
lets request threads wait on a future, and ticks it while anybody waits.
"""

import contextlib
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as WaitTimeoutError

from fescueknot.admission.adaptive import AdaptiveLimit, LimitSettings
from fescueknot.admission.gate import AdmissionGate
from fescueknot.admission.messages import (
    AdmissionLevel,
    AdmissionRequest,
    Completion,
    FinalDecision,
    Wait,
)
from fescueknot.node.connections import CallerGone
from fescueknot.node.errors import CallerGoneError
from fescueknot.node.runtime import Runtime

_TICK_S = 0.01
_CALLER_CHECK_S = 0.1


class BlockingGate:
    """Blocking, thread-safe use of one admission gate."""

    def __init__(self, *, gate: AdmissionGate, runtime: Runtime) -> None:
        self._gate = gate
        self._runtime = runtime
        self._waiting: dict[str, Future[FinalDecision]] = {}
        self._changed = threading.Condition()
        self._closed = False
        self._ticker = threading.Thread(
            target=self._tick_until_closed,
            name='admission-tick',
            daemon=True,
        )
        self._ticker.start()

    def enter(
        self,
        request: AdmissionRequest,
        caller_gone: CallerGone,
    ) -> FinalDecision:
        """Return the decision, after the wait in line if there is one.

        Raise :class:`CallerGoneError` when the caller leaves the line.
        """
        with self._changed:
            decision = self._gate.offer(request, self._runtime.now_s())
            if not isinstance(decision, Wait):
                return decision
            pending: Future[FinalDecision] = Future()
            self._waiting[request.ticket] = pending
            self._changed.notify()
        return self._wait(request.ticket, pending, caller_gone)

    def leave(self, ticket: str, completion: Completion) -> None:
        """Report the end of an admitted request."""
        with self._changed:
            now_s = self._runtime.now_s()
            self._settle(self._gate.finish(ticket, completion, now_s))

    def pressure(self) -> AdmissionLevel:
        """Return the level to piggyback on an answer."""
        with self._changed:
            return self._gate.pressure()

    def apply_downstream_level(self, below: AdmissionLevel) -> None:
        """Shed fresh requests that the services below would shed."""
        with self._changed:
            self._gate.heed(below)

    def close(self) -> None:
        """End the thread that ticks the gate."""
        with self._changed:
            self._closed = True
            self._changed.notify()

    def _wait(
        self,
        ticket: str,
        pending: Future[FinalDecision],
        caller_gone: CallerGone,
    ) -> FinalDecision:
        while not caller_gone():
            with contextlib.suppress(WaitTimeoutError):
                return pending.result(timeout=_CALLER_CHECK_S)
        if self._abandon(ticket):
            raise CallerGoneError('the caller left the line')
        return pending.result()

    def _abandon(self, ticket: str) -> bool:
        with self._changed:
            if self._waiting.pop(ticket, None) is None:
                return False
            now_s = self._runtime.now_s()
            self._settle(self._gate.cancel(ticket, now_s))
            return True

    def _settle(self, decisions: tuple[FinalDecision, ...]) -> None:
        for decision in decisions:
            pending = self._waiting.pop(decision.ticket, None)
            if pending is not None:
                pending.set_result(decision)

    def _tick_until_closed(self) -> None:
        with self._changed:
            while not self._closed:
                self._changed.wait(timeout=_TICK_S if self._waiting else None)
                now_s = self._runtime.now_s()
                self._settle(self._gate.expire(now_s))


def build_blocking_gate(
    runtime: Runtime, *, initial_limit: int
) -> BlockingGate:
    """Return a desk whose limit starts at ``initial_limit``."""
    limit = AdaptiveLimit(settings=LimitSettings(initial=initial_limit))
    return BlockingGate(gate=AdmissionGate(limit=limit), runtime=runtime)
