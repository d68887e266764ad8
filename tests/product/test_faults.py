"""At-most-once keys on real processes: outage, freeze and loss of an owner."""

import collections
import contextlib
import itertools
import pathlib
import signal
import uuid
from collections.abc import Iterator

import pytest

from tests.product.entry_client import Reply, ask_until, post
from tools.demonstration.deployment import Deployment, Service, Sizes
from tools.demonstration.hosts import free_ports
from tools.demonstration.leg import Leg, Stage
from tools.demonstration.timeline import Timeline
from tools.standin.audit import read_runs
from tools.standin.plan import Stream

_LEASE_S = 3
_LIMIT_S = 60
_PORTS_APART = 4_000
_PATH = '/postings/7'
_DEPLOYMENT = Deployment(
    name='faults',
    rules='tuntikirja.rules',
    places=(
        ('uusimaa', 'uusimaa-a'),
        ('pirkanmaa', 'pirkanmaa-a'),
        ('varsinais', 'varsinais-a'),
    ),
    services=(Service(name='trust', slots=4, connections=50),),
    streams=(
        Stream(
            label='critical',
            service='trust',
            method='POST',
            path=_PATH,
            keyed=True,
            rate_per_s=1,
            timeout_ms=3000,
        ),
    ),
    lost='trust',
)
_SIZES = Sizes(
    instances=3,
    slots_share=1,
    service_ms=5,
    time_factor=1,
    callers=1,
    lease_s=_LEASE_S,
)


class Postings:
    """Trust postings sent to a leg, and what its targets really ran."""

    def __init__(self, *, leg: Leg, folder: pathlib.Path) -> None:
        self.leg = leg
        self._folder = folder

    def post(self, key: str, *, via: int) -> Reply:
        """Send a key through the node of one host."""
        return post(self.leg.hosts[via].entry, 'trust', _PATH, key)

    def post_until(self, key: str, *, via: int, status: int) -> Reply:
        """Send the same key until it is answered with ``status``."""
        return ask_until(
            lambda: self.post(key, via=via),
            lambda reply: reply.status == status,
            limit_s=_LIMIT_S,
        )

    def runs(self) -> collections.Counter[str]:
        """Return how often the targets began each key."""
        audit = read_runs(str(self._folder / 'audit.jsonl'))
        return collections.Counter(run.key for run in audit)

    def key_owned_by(self, host: int) -> str:
        """Return a fresh key that was run at one host."""
        name = self.leg.hosts[host].name
        while True:
            key = str(uuid.uuid4())
            reply = self.post_until(key, via=host, status=200)
            if reply.document['target'] == name:
                return key

    def wait_for_all_owners(self) -> None:
        """Return once every host has run a key.

        Until a host serves on the roster, the keys of all are with the hosts
        that do, and their loss would concern every key.
        """
        for number, _ in enumerate(self.leg.hosts):
            self.key_owned_by(number)

    def signal_node(self, host: int, number: signal.Signals) -> None:
        """Send a signal to the node of a host."""
        name = self.leg.hosts[host].name
        self.leg.group.find(f'node-{name}').send(number)


@pytest.fixture
def postings(tmp_path: pathlib.Path) -> Iterator[Postings]:
    """Yield a service with three hosts that serves keys."""
    ports = itertools.islice(free_ports(), _PORTS_APART, None)
    leg = Leg(
        deployment=_DEPLOYMENT,
        stage=Stage(sizes=_SIZES, timeline=Timeline()),
        folder=tmp_path,
        ports=ports,
        layered=True,
    )
    with contextlib.ExitStack() as ends:
        ends.callback(leg.end)
        leg.start()
        ready = Postings(leg=leg, folder=tmp_path)
        ready.wait_for_all_owners()
        yield ready


class TestOwnerFaults:
    """A key never runs twice, and new keys run again by themselves."""

    def test_owner_killed(self, postings: Postings) -> None:
        key = postings.key_owned_by(0)
        postings.signal_node(0, signal.SIGKILL)
        final = postings.post_until(key, via=1, status=409)
        assert (final.status, final.outcome) == (409, 'unknown')
        fresh = ask_until(
            lambda: postings.post(str(uuid.uuid4()), via=2),
            lambda reply: reply.status == 200,
            limit_s=_LIMIT_S,
        )
        assert fresh.status == 200
        assert max(postings.runs().values()) == 1

    def test_owner_frozen_and_woken(self, postings: Postings) -> None:
        keys = [postings.key_owned_by(0) for _ in range(3)]
        postings.signal_node(0, signal.SIGSTOP)
        keys.extend(str(uuid.uuid4()) for _ in range(6))
        for key in keys:
            postings.post(key, via=1)
        postings.post_until(keys[0], via=2, status=409)
        postings.signal_node(0, signal.SIGCONT)
        for via, again in itertools.product(range(3), keys):
            postings.post(again, via=via)
        assert max(postings.runs().values()) == 1

    def test_store_outage_longer_than_the_lease(
        self, postings: Postings
    ) -> None:
        keys = [postings.key_owned_by(host) for host in range(3)]
        postings.leg.set_outage(down=True)
        ask_until(
            lambda: postings.post(keys[0], via=1),
            lambda reply: False,
            limit_s=2 * _LEASE_S,
        )
        replies = [
            postings.post(str(uuid.uuid4()), via=number % 3)
            for number in range(60)
        ]
        served = sum(reply.status == 200 for reply in replies)
        assert served >= 0.95 * len(replies)
        assert max(postings.runs().values()) == 1
