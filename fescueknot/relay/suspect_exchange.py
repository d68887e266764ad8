"""Tells other nodes of requests that were at a target when it crashed.

The nodes beside the targets of one service tell each other all they know: a
suspicion is of use there only, and any number of crashes elsewhere costs them
nothing. Requests that are held back are told to all nodes, as a changed route
may lead them to another service.
"""

import asyncio
import collections
import random
import types
from collections.abc import Callable, Iterable, Iterator

from fescueknot.identity import Address
from fescueknot.quarantine.book import HeldRequest, SuspectBook
from fescueknot.quarantine.evidence import TargetStart
from fescueknot.quarantine.messages import (
    AnyCrashEvidence,
    CrashEvidenceMessage,
    CrashEvidencePush,
    CrashEvidenceReply,
    CrashEvidenceRequest,
    SuspectRecord,
)
from fescueknot.relay.datagram_exchange import DatagramExchange, Send
from fescueknot.relay.observer import Observer
from fescueknot.relay.random_peers import PushAllowance, RandomPeers
from fescueknot.targets.directory import TargetDirectory

# Nodes told at once of a crash at the local target, and by each node to which
# that was news. With a service of up to the first number all are told at once.
_FANOUT_OF_NEWS = 12
_FANOUT_OF_HELD = 4
# Records and their crashes in one datagram, so that it fits into one packet.
_MAX_PARTS_PER_MESSAGE = 56
# Of them, those with the most crashes; they have four parts or more.
_IMPORTANT_PER_MESSAGE = 8
_REQUESTS_AT_START = 3
_MAX_OWN_CRASHES = 64
# Answers to a node whose evidence differs. A push is not answered.
_ANSWER_TYPES = types.MappingProxyType(
    {
        CrashEvidenceRequest: CrashEvidenceReply,
        CrashEvidenceReply: CrashEvidencePush,
    }
)


class SuspectExchange(DatagramExchange):
    """Merges and spreads the records of a :class:`SuspectBook`.

    ``service`` is that of the local target, ``local_address`` the address of
    this node's gossip port. ``connect`` sets how messages are sent. ``on_held``
    is called with those that begin to be held back and have crashed the local
    target.
    """

    message_base = CrashEvidenceMessage

    def __init__(
        self,
        *,
        book: SuspectBook,
        service: str,
        local_address: Address,
        directory: TargetDirectory,
        observer: Observer,
        rng: random.Random,
        on_held: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._book = book
        self._on_held = on_held
        self._service = service
        self._observer = observer
        self._rng = rng
        self._peers = RandomPeers(
            service=service,
            local_address=local_address,
            directory=directory,
            rng=rng,
        )
        self._push_allowance = PushAllowance()
        self._send: Send | None = None
        self._held: dict[str, HeldRequest] = {}
        self._own_crashes: collections.deque[TargetStart] = collections.deque(
            maxlen=_MAX_OWN_CRASHES
        )

    def connect(self, send: Send) -> None:
        """Set the function that sends a message to an address."""
        self._send = send

    def share_crash(
        self, start: TargetStart, fingerprints: Iterable[str]
    ) -> None:
        """Tell others of evidence from a crash of the local target."""
        self._own_crashes.append(start)
        self.share(fingerprints)

    def share(self, fingerprints: Iterable[str]) -> None:
        """Tell others of changed evidence."""
        changed = tuple(fingerprints)
        newly_held = self._note_held()
        self._push(changed, self._peers.of_service(_FANOUT_OF_NEWS))
        self._push(newly_held, self._peers.of_fleet(_FANOUT_OF_HELD))

    def ask_at_start(self) -> None:
        """Ask several nodes for what they know."""
        for peer in self._peers.of_service(_REQUESTS_AT_START):
            self._send_to(self._message(CrashEvidenceRequest), peer)

    def run_round(self) -> None:
        """Compare the evidence with another node's; call about every second.

        Sends nothing while there is no evidence.
        """
        self._book.prune(_now_s())
        self._note_held()
        peers: tuple[Address, ...] = ()
        if self._book:
            peers = self._peers.of_service(1)
        if self._held:
            peers += self._peers.of_fleet(1)
        for peer in peers:
            self._send_to(self._message(CrashEvidenceRequest), peer)

    def receive(self, message: AnyCrashEvidence, source: Address) -> None:
        """Merge a message's records; answer and pass on as needed."""
        changed = self._book.merge(message.records, _now_s())
        if changed:
            newly_held = self._note_held()
            self._push(newly_held, self._peers.of_fleet(_FANOUT_OF_HELD))
            if self._peers.service_size > _FANOUT_OF_NEWS + 1:
                self._push(changed, self._peers.of_service(_FANOUT_OF_HELD))
        if self._agrees_with(message):
            return
        answer_type = _ANSWER_TYPES.get(type(message))
        if answer_type is not None:
            records = self._records_for(message)
            self._send_to(self._message(answer_type, records), source)

    def _agrees_with(self, message: AnyCrashEvidence) -> bool:
        """Return whether the sender has the same evidence."""
        if message.service == self._service:
            return message.digest == self._digest(only_held=False)
        return message.held_digest == self._digest(only_held=True)

    def _records_for(
        self, message: AnyCrashEvidence
    ) -> tuple[SuspectRecord, ...]:
        """Return the most important records, and a few others by chance."""
        only_held = message.service != self._service
        fingerprints = self._book.fingerprints(_now_s(), only_held=only_held)
        others = fingerprints[_IMPORTANT_PER_MESSAGE:]
        some_others = self._rng.sample(
            others, min(len(others), _MAX_PARTS_PER_MESSAGE)
        )
        chosen = (*fingerprints[:_IMPORTANT_PER_MESSAGE], *some_others)
        records = self._book.records_of(chosen, _now_s())
        return next(_in_datagrams(records), ())

    def _push(
        self, fingerprints: tuple[str, ...], peers: tuple[Address, ...]
    ) -> None:
        records = self._book.records_of(fingerprints, _now_s())
        for chunk in _in_datagrams(records):
            push = self._message(CrashEvidencePush, chunk)
            for peer in peers:
                if self._push_allowance.take(_now_s()):
                    self._send_to(push, peer)

    def _message(
        self,
        message_type: Callable[..., AnyCrashEvidence],
        records: tuple[SuspectRecord, ...] = (),
    ) -> AnyCrashEvidence:
        return message_type(
            service=self._service,
            digest=self._digest(only_held=False),
            held_digest=self._digest(only_held=True),
            records=records,
        )

    def _digest(self, *, only_held: bool) -> int:
        return self._book.digest(_now_s(), only_held=only_held)

    def _send_to(self, message: AnyCrashEvidence, peer: Address) -> None:
        if self._send is not None:
            self._send(message, peer)

    def _note_held(self) -> tuple[str, ...]:
        """Log what has begun or ceased to be held back; return the former."""
        held = {one.fingerprint: one for one in self._book.held(_now_s())}
        newly_held = tuple(held.keys() - self._held.keys())
        for fingerprint in newly_held:
            self._observer.note(
                'request.quarantined',
                fingerprint=fingerprint,
                crashes=held[fingerprint].crashes,
                left_s=round(held[fingerprint].left_s, 1),
            )
        for fingerprint in self._held.keys() - held.keys():
            self._observer.note('request.released', fingerprint=fingerprint)
        self._held = held
        own_crashes = frozenset(self._own_crashes)
        self._on_held(
            tuple(
                one
                for one in newly_held
                if own_crashes & self._book.crashed_at(one)
            )
        )
        return newly_held


def _in_datagrams(
    records: tuple[SuspectRecord, ...],
) -> Iterator[tuple[SuspectRecord, ...]]:
    """Split records into groups that fit into one datagram each."""
    group: list[SuspectRecord] = []
    parts = 0
    for record in records:
        record_parts = 1 + len(record.crashes)
        if parts + record_parts > _MAX_PARTS_PER_MESSAGE:
            yield tuple(group)
            group = []
            parts = 0
        group.append(record)
        parts += record_parts
    if group:
        yield tuple(group)


def _now_s() -> float:
    return asyncio.get_running_loop().time()
