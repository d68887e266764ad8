"""Nodes on real sockets of the loopback interface, for tests."""

import contextlib
from concurrent.futures import ThreadPoolExecutor

import msgspec

from fescueknot.bench.gossipfleets import announcement, places
from fescueknot.clock import SystemClock
from fescueknot.identity import Address
from fescueknot.membership.bulk import BulkClient, decode_bulk, encode_bulk
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.commands import ExportBulk, Stop
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.errors import (
    BulkError,
)
from fescueknot.membership.feeds import StoreFeed
from fescueknot.membership.port import DatagramPort
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.readertask import ReaderTask
from fescueknot.membership.task import GossipTask
from fescueknot.randomness import seeded

PATIENCE_S = 30
_NODE_COUNT = 4
ANY_PORT = Address(host='127.0.0.1', port=0)
_CLOCK = SystemClock()


class _DirectBulk(BulkClient):
    """Asks the tasks of this process."""

    def __init__(self) -> None:
        self.tasks: dict[Address, GossipTask] = {}

    def fetch(self, peer, request):
        task = self.tasks.get(peer)
        if task is None:
            raise BulkError(f'no {peer}')
        command = ExportBulk(request=request)
        task.put(command)
        bulk = command.answer.result(timeout=PATIENCE_S)
        return decode_bulk(encode_bulk(bulk))


class Node:
    """One node's tasks."""

    def __init__(self, number, *, bulk, store, seeds) -> None:
        port = DatagramPort(
            address=ANY_PORT, codec=DatagramCodec(key=b'shared')
        )
        own = msgspec.structs.replace(
            announcement(number, place=places(regions=1, domains=1)[0]),
            host=port.address.host,
            gossip_port=port.address.port,
            peer_port=port.address.port,
        )
        self.address = port.address
        core = MembershipCore(own=own, now_s=_CLOCK.monotonic_s(), seeds=seeds)
        self.published = PublishedMembership(own=own)
        self.task = GossipTask(
            core=core,
            port=port,
            published=self.published,
            bulk_client=bulk,
            clock=_CLOCK,
            rng=seeded(seed=number),
        )
        bulk.tasks[self.address] = self.task
        self.reader = ReaderTask(
            feed=StoreFeed(store=store, wait_s=0.2),
            published=self.published,
            gossip=self.task,
            clock=_CLOCK,
            rng=seeded(seed=number),
        )


@contextlib.contextmanager
def fleet(store):
    bulk = _DirectBulk()
    nodes = []
    for number in range(_NODE_COUNT):
        seeds = (nodes[0].address,) if nodes else ()
        nodes.append(Node(number, bulk=bulk, store=store, seeds=seeds))
    with ThreadPoolExecutor(3 * _NODE_COUNT) as pool:
        ends = [node.task.start(pool) for node in nodes]
        ends += [node.reader.start(pool) for node in nodes]
        try:
            yield nodes
        finally:
            for node in nodes:
                node.reader.stop()
                node.task.put(Stop())
            for end in ends:
                end.result(timeout=PATIENCE_S)
