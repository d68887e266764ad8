"""The tasks over real sockets on the loopback interface."""

import os
import queue
import resource
import time
from concurrent.futures import ThreadPoolExecutor

from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.commands import Announce
from fescueknot.membership.messages import Outgoing, Probe
from fescueknot.membership.port import DatagramPort
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.rosters import bucket_key
from fescueknot.membership.rosterwriter import RosterWriter
from fescueknot.membership.task_start import start_logged
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.randomness import seeded
from fescueknot.roster import Roster
from tests.membership.loopback import ANY_PORT, PATIENCE_S, fleet

_MANY_FILES = 2048


class TestTasks:
    """Nodes on real sockets find each other and the store's documents."""

    def test_a_roster_written_is_on_every_board(self):
        store = MemoryStore()
        with fleet(store) as nodes:
            inboxes = []
            for node in nodes:
                inboxes.append(queue.SimpleQueue())
                node.published.subscribe(inboxes[-1])
            writer = RosterWriter(store=store, rng=seeded(seed=1))
            roster = Roster(service='service-0', version=1)
            writer.write(bucket_key('service-0'), {'service-0': roster})
            for inbox, node in zip(inboxes, nodes, strict=True):
                inbox.get(timeout=PATIENCE_S)
                assert node.published.roster('service-0') == roster

    def test_a_drain_is_on_every_board(self):
        with fleet(MemoryStore()) as nodes:
            drained = Announce(
                state=InstanceState.DRAINING,
                notify=tuple(node.address for node in nodes),
            )
            nodes[1].task.put(drained)
            for node in nodes:
                _wait_for_drain(node.published, 'service-0-1')


class TestEndings:
    """A task that ends by an error does not do so in silence."""

    def test_the_error_is_logged(self, caplog):
        with ThreadPoolExecutor(1) as pool:
            start_logged(pool, 'gossip', int, 'no number')
        assert 'gossip: the task ended by an error' in caplog.text
        assert 'no number' in caplog.text


class TestPort:
    """The socket works however many files the process has open."""

    def test_a_high_file_number(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (max(soft, _MANY_FILES), hard)
        )
        blocked = [os.open(os.devnull, os.O_RDONLY) for _ in range(1024)]
        port = DatagramPort(address=ANY_PORT, codec=DatagramCodec(key=b'k'))
        probe = Probe(name='a', incarnation=1, nonce=7)
        port.send((Outgoing(target=port.address, message=probe),))
        received = port.receive(timeout_s=PATIENCE_S)
        port.close()
        for number in blocked:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert [one.message for one in received] == [probe]


def _wait_for_drain(published: PublishedMembership, name: str) -> None:
    deadline_s = time.monotonic() + PATIENCE_S
    known = {}
    while known.get(name) is not InstanceState.DRAINING:
        assert time.monotonic() < deadline_s
        known = {
            one.name: one.state for one in published.instances('service-0')
        }
