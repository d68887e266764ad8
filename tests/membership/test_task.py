"""Gossip and reader tasks on real sockets of the loopback interface."""

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
from fescueknot.membership.task_start import start_task
from fescueknot.objectapi.memory_store import MemoryStore
from fescueknot.randomness import seeded
from fescueknot.roster import Roster
from tests.membership.loopback import ANY_PORT, TIMEOUT_S, fleet

_MIN_OPEN_FILES = 2048


class TestTasks:
    """Nodes on real sockets exchange announcements and documents."""

    def test_a_written_roster_is_published_by_all_nodes(self):
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
                inbox.get(timeout=TIMEOUT_S)
                assert node.published.roster('service-0') == roster

    def test_a_drain_is_published_by_all_nodes(self):
        with fleet(MemoryStore()) as nodes:
            drained = Announce(
                state=InstanceState.DRAINING,
                notify=tuple(node.address for node in nodes),
            )
            nodes[1].task.put(drained)
            for node in nodes:
                _wait_for_drain(node.published, 'service-0-1')


class TestTaskErrors:
    """An error that ends a task is logged."""

    def test_the_error_of_a_task_is_logged(self, caplog):
        texts = ['1', 'no number']

        def run():
            return int(texts.pop())

        with ThreadPoolExecutor(1) as pool:
            start_task(pool, 'gossip', run, pause_s=0)
        assert 'gossip: the task ended by an error' in caplog.text
        assert 'no number' in caplog.text


class TestPort:
    """The port works with more than 1024 open files.

    That is the limit of ``select``; the port has to poll instead.
    """

    def test_receive_with_a_high_file_descriptor(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (max(soft, _MIN_OPEN_FILES), hard)
        )
        open_files = [os.open(os.devnull, os.O_RDONLY) for _ in range(1024)]
        port = DatagramPort(address=ANY_PORT, codec=DatagramCodec(key=b'k'))
        probe = Probe(name='a', incarnation=1, nonce=7)
        port.send((Outgoing(target=port.address, message=probe),))
        received = port.receive(timeout_s=TIMEOUT_S)
        port.close()
        for number in open_files:
            os.close(number)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        assert [incoming.message for incoming in received] == [probe]


def _wait_for_drain(published: PublishedMembership, name: str) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    known = {}
    while known.get(name) is not InstanceState.DRAINING:
        assert time.monotonic() < deadline_s
        known = {
            instance.name: instance.state
            for instance in published.instances('service-0')
        }
