"""The changes of a day at the planned size, made to a fleet of cores."""

import functools
import string
from collections.abc import Callable

import msgspec

from fescueknot.bench.fakenetwork import FakeNode
from fescueknot.bench.gossipfleets import INSTANCES_PER_SERVICE, Fleet
from fescueknot.gossip.documents import Document, Transfer
from fescueknot.identity import InstanceId
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.feeds import Reading
from fescueknot.membership.readers import ReadMode
from fescueknot.membership.rosters import RosterBucket, encode_bucket
from fescueknot.membership.schedule import TICK_PERIOD_S
from fescueknot.randomness import seeded
from fescueknot.roster import Electorate, Member, Roster

WATCH_S = 1.0
SECONDS_PER_DAY = 86_400
RULE_CHANGES_PER_DAY = 37_000
RULE_BYTES = 300
RESTARTS_PER_DAY = 2_400
ANNOUNCEMENTS_PER_RESTART = 3
ROSTER_WRITES_PER_RESTART = 3
SERVICES_PER_BUCKET = 2
FIRST_INCARNATION = 1_764_809_206_000
_LETTERS = string.ascii_letters


class Rate(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of change and how often it is made."""

    per_day: int
    change: Callable[[], object]


class Load:
    """Makes changes at a steady rate for the whole fleet."""

    def __init__(self, *, fleet: Fleet) -> None:
        self._fleet = fleet
        self._network = fleet.network
        self._documents: list[Document] = []
        for reader in _readers(fleet):
            first_s = self._network.now_s + self._network.rng.random()
            self._network.at(first_s, functools.partial(self._read, reader))
        self._turn = 0
        self.is_store_down = False

    def rates(self) -> tuple[Rate, ...]:
        """Return the changes of a day at the planned size."""
        writes = RESTARTS_PER_DAY * ROSTER_WRITES_PER_RESTART
        announcements = RESTARTS_PER_DAY * ANNOUNCEMENTS_PER_RESTART
        return (
            Rate(per_day=RULE_CHANGES_PER_DAY, change=self.change_rule),
            Rate(per_day=announcements, change=self.toggle),
            Rate(per_day=writes, change=self.change_roster),
        )

    def run(self, duration_s: float, *, rates: tuple[Rate, ...]) -> None:
        """Make changes for a while."""
        begun_s = self._network.now_s
        for rate in rates:
            period_s = SECONDS_PER_DAY / rate.per_day
            for turn in range(int(duration_s / period_s)):
                when_s = begun_s + (turn + 0.5) * period_s
                self._network.at(when_s, rate.change)
        self._network.run(until_s=begun_s + duration_s)

    def lose_readers(self) -> None:
        """Kill all readers; the nodes left find out whose duty it is now."""
        for reader in _readers(self._fleet):
            reader.is_dead = True
        for node in self._fleet.nodes:
            first_s = self._network.now_s + self._network.rng.random()
            action = functools.partial(self._read_as_fallback, node)
            self._network.at(first_s, action)

    def change_rule(self) -> int:
        """Let a reader read a new rule; return its revision."""
        rng = seeded(seed=len(self._documents))
        content = ''.join(rng.choices(_LETTERS, k=RULE_BYTES))
        return self._write('rules/log/{0}', content)

    def change_roster(self) -> int:
        """Let a reader read a changed roster; return its revision."""
        rosters = [
            _roster(
                f'service-{len(self._documents)}-{number}', len(self._documents)
            )
            for number in range(SERVICES_PER_BUCKET)
        ]
        bucket = RosterBucket(rosters=tuple(rosters))
        return self._write('roster/{0}', encode_bucket(bucket))

    def toggle(self) -> FakeNode:
        """Let the next node announce another state."""
        self._turn += 1
        node = self._fleet.nodes[self._turn % len(self._fleet.nodes)]
        is_serving = node.view.own.state is InstanceState.SERVING
        state = InstanceState.SERVING
        if is_serving:
            state = InstanceState.DRAINING
        now_s = node.clock_s(self._network.now_s)
        self._network.send(node, node.core.announce(state, now_s=now_s))
        return node

    def _write(self, key: str, content: str) -> int:
        revision = len(self._documents) + 1
        self._documents.append(
            Document(
                key=key.format(revision), revision=revision, content=content
            )
        )
        return revision

    def _read(self, reader: FakeNode) -> None:
        """End a watch of a second and begin the next one."""
        next_s = self._network.now_s + WATCH_S
        self._network.at(next_s, functools.partial(self._read, reader))
        self._take(reader)

    def _read_as_fallback(self, node: FakeNode) -> None:
        """Read when the node finds that it should, twice a second."""
        next_s = self._network.now_s + TICK_PERIOD_S
        self._network.at(
            next_s, functools.partial(self._read_as_fallback, node)
        )
        read_mode = node.core.reader_choice.read_mode(
            now_s=node.clock_s(self._network.now_s),
            elapsed_s=TICK_PERIOD_S,
            rng=node.rng,
        )
        if read_mode is not ReadMode.NONE:
            self._take(node)

    def _take(self, reader: FakeNode) -> None:
        if self.is_store_down or reader.is_dead or reader.is_frozen:
            return
        after = reader.view.documents.cursor
        revision = len(self._documents)
        asked_at_s = reader.clock_s(self._network.now_s) - WATCH_S
        reading = Reading(
            asked_at_s=asked_at_s,
            transfer=Transfer(
                after=after,
                upto=revision,
                goal=revision,
                documents=tuple(self._documents[after:]),
            ),
        )
        reader.core.take_reading(reading)


def _roster(service: str, version: int) -> Roster:
    ids = [
        InstanceId(
            name=f'{service}-{number}',
            incarnation=FIRST_INCARNATION + version * number,
        )
        for number in range(INSTANCES_PER_SERVICE)
    ]
    members = [Member(instance=one, joined_version=1) for one in ids]
    return Roster(
        service=service,
        version=version,
        members=tuple(members),
        before=Electorate(electors=tuple(ids)),
    )


def _readers(fleet: Fleet) -> list[FakeNode]:
    return [
        node
        for node in fleet.nodes
        if node.name in node.core.reader_choice.readers()
    ]
