"""Keeps the rules in force and matches calls against them."""

import logging
import math
import queue
from collections.abc import Iterable
from concurrent.futures import Executor, Future

from fescueknot.calls import CallPolicy
from fescueknot.gossip.documents import Document
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.task_start import start_task
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_entry import (
    LogEntry,
    LogMessage,
    decode_log_message,
)
from fescueknot.rules.log_view import RULES_PREFIX
from fescueknot.rules.offer_results import Refused

_LOG = logging.getLogger('fescueknot.rules')
_MIN_WAIT_S = 1.5


class RulesTask:
    """Owns the rules in force; applies documents batch by batch.

    Request threads call ``match``, which needs no lock: it reads a single
    reference.
    """

    def __init__(self, *, published: PublishedMembership, now_s: float) -> None:
        self._published = published
        self._started_s = now_s
        self._ready = False
        self._in_force = RulesInForce()
        self._rules = self._in_force.rules
        self._documents: queue.SimpleQueue[tuple[Document, ...]]
        self._documents = queue.SimpleQueue()
        self._stopped = False
        published.subscribe(self._documents)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return self._in_force.version

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``."""
        return start_task(executor, 'rules', self._run)

    def stop(self) -> None:
        """Stop the task."""
        self._stopped = True
        self._documents.put(())

    def is_ready(self, now_s: float) -> bool:
        """Return whether the current rules may be used for calls.

        A node that has just started has no rules, and without them it would
        treat a payment like any other call. It waits until it knows a state
        of the store, read by itself or received by gossip. It also waits
        ``_MIN_WAIT_S`` for updates from its peers, since the store may answer
        with an old state.
        """
        if not self._ready:
            has_store_state = math.isfinite(self._published.status.current_at_s)
            has_waited = now_s - self._started_s >= _MIN_WAIT_S
            self._ready = has_store_state and has_waited
        return self._ready

    def match(self, service: str, method: str, path: str) -> CallPolicy:
        """Return the policy of a call."""
        return self._rules.match(service=service, method=method, path=path)

    def apply_documents(self, documents: Iterable[Document]) -> None:
        """Apply the rules among documents of the store; ignore the rest."""
        old_version = self.version
        for message in sorted(_messages(documents), key=_snapshots_first):
            self._offer(message)
        if self.version != old_version:
            self._rules = self._in_force.rules
            _LOG.info('rules: version %d is in force', self.version)

    def _run(self) -> None:
        while not self._stopped:
            self.apply_documents(self._documents.get())

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


def _snapshots_first(message: LogMessage) -> tuple[bool, int]:
    return isinstance(message, LogEntry), message.version
