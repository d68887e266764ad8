"""The rules in force, as request threads see them."""

import logging
import math
import queue
from collections.abc import Iterable
from concurrent.futures import Executor, Future

from fescueknot.calls import CallPolicy
from fescueknot.gossip.documents import Document
from fescueknot.membership.published import PublishedMembership
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_entry import (
    LogEntry,
    LogMessage,
    decode_log_message,
)
from fescueknot.rules.log_view import RULES_PREFIX
from fescueknot.rules.offer_results import Refused

_LOG = logging.getLogger('fescueknot.rules')
_LISTEN_S = 1.5


class RulesTask:
    """Owns the rules in force; takes documents in, one batch at a time.

    Request threads call ``match``, which reads one reference.
    """

    def __init__(self, *, published: PublishedMembership, now_s: float) -> None:
        self._published = published
        self._started_s = now_s
        self._ready = False
        self._in_force = RulesInForce()
        self._rules = self._in_force.rules
        self._changes: queue.SimpleQueue[tuple[Document, ...]]
        self._changes = queue.SimpleQueue()
        self._stopped = False
        published.subscribe(self._changes)

    @property
    def version(self) -> int:
        """Return the version in force, zero before the first."""
        return self._in_force.version

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``."""
        return executor.submit(self._run)

    def stop(self) -> None:
        """End the task."""
        self._stopped = True
        self._changes.put(())

    def is_ready(self, now_s: float) -> bool:
        """Tell whether the rules at hand may be used for calls.

        A node that has just started holds no rules, and without them it would
        treat a payment like any other call. It waits for a reading of the
        store, its own or one that gossip brought, and listens to its peers
        for a moment, since a store may answer with an old state.
        """
        if not self._ready:
            heard = math.isfinite(self._published.status.current_at_s)
            settled = now_s - self._started_s >= _LISTEN_S
            self._ready = heard and settled
        return self._ready

    def match(self, service: str, method: str, path: str) -> CallPolicy:
        """Return the policy of a call."""
        return self._rules.match(service=service, method=method, path=path)

    def take(self, documents: Iterable[Document]) -> None:
        """Take documents of the store, of which some may be rules."""
        before = self.version
        for message in sorted(_messages(documents), key=_reading_order):
            self._offer(message)
        if self.version != before:
            self._rules = self._in_force.rules
            _LOG.info('rules: version %d is in force', self.version)

    def _run(self) -> None:
        while not self._stopped:
            self.take(self._changes.get())

    def _offer(self, message: LogMessage) -> None:
        verdict = self._in_force.offer(message)
        if isinstance(verdict, Refused):
            _LOG.warning(
                'rules: version %d refused: %s %s',
                verdict.version,
                verdict.reason.value,
                verdict.detail,
            )


def _messages(documents: Iterable[Document]) -> Iterable[LogMessage]:
    for document in documents:
        if document.key.startswith(RULES_PREFIX) and document.content:
            message = decode_log_message(document.content)
            if message is not None:
                yield message


def _reading_order(message: LogMessage) -> tuple[bool, int]:
    return isinstance(message, LogEntry), message.version
