"""Requests that are suspected of crashing targets, as this node treats them.

A request that was at two crashes runs alone among suspects at a target, so
that a third crash speaks against it and not against those that happened to run
beside it. After the third one it is held back for a time that grows with each
later crash.
"""

from fescueknot.httpio.messages import Request
from fescueknot.quarantine.book import HeldRequest, Standing, SuspectBook
from fescueknot.quarantine.evidence import TargetStart
from fescueknot.quarantine.fingerprint import fingerprint_of
from fescueknot.relay.crash_watch import fingerprint_of_call
from fescueknot.relay.messages import Call
from fescueknot.relay.observer import Observer
from fescueknot.relay.suspect_exchange import SuspectExchange
from fescueknot.running_loop import running_loop

# Bounds the series of metrics.
_MAX_LISTED = 16


class SuspectRequests:
    """Applies the evidence to requests, and adds what the target shows."""

    def __init__(
        self,
        *,
        book: SuspectBook,
        exchange: SuspectExchange,
        observer: Observer,
    ) -> None:
        self._book = book
        self._exchange = exchange
        self._observer = observer
        self._running_suspect: str | None = None

    @property
    def count(self) -> int:
        """Return the number of fingerprints that there is evidence on."""
        return len(self._book)

    def held_request(
        self, request: Request, caller_service: str
    ) -> HeldRequest | None:
        """Return how a request is held back, ``None`` if it may run."""
        if not self._book:
            return None
        fingerprint = fingerprint_of(request, caller_service)
        return self._book.held_request(fingerprint, _now_s())

    def held(self) -> tuple[HeldRequest, ...]:
        """Return the fingerprints that are held back."""
        return self._book.held(_now_s())

    def held_left_s(self) -> dict[str, float]:
        """Return for how much longer requests are held, by fingerprint."""
        held = self.held()[:_MAX_LISTED]
        return {one.fingerprint: one.left_s for one in held}

    def begin(self, call: Call) -> bool:
        """Return whether a call may run at the target now.

        False for a suspect while another one runs.
        """
        if not self._is_suspect(call):
            return True
        if self._running_suspect is not None:
            return False
        self._running_suspect = call.head.attempt
        return True

    def end(self, call: Call) -> None:
        """Record that a call has ended at the target."""
        if self._running_suspect == call.head.attempt:
            self._running_suspect = None

    def record_success(self, call: Call) -> None:
        """Record that the target has answered a call."""
        fingerprint = fingerprint_of_call(call)
        before = self._book.standing(fingerprint, _now_s())
        if not self._book.record_success(fingerprint, _now_s()):
            return
        if before is not Standing.CLEAR:
            self._observer.note('request.cleared', fingerprint=fingerprint)
            self._exchange.share((fingerprint,))

    def record_crash(
        self, start: TargetStart, fingerprints: tuple[str, ...]
    ) -> None:
        """Record the fingerprints that a target had when it crashed."""
        instance, started_ms = start
        self._observer.note(
            'target.crashed',
            instance=instance,
            started_ms=started_ms,
            calls=len(fingerprints),
            fingerprints=sorted(fingerprints),
        )
        changed = self._book.record_crash(start, fingerprints, _now_s())
        self._exchange.share_crash(start, changed)

    def _is_suspect(self, call: Call) -> bool:
        if not self._book:
            return False
        fingerprint = fingerprint_of_call(call)
        standing = self._book.standing(fingerprint, _now_s())
        return standing is Standing.SUSPECTED


def _now_s() -> float:
    return running_loop().time()
