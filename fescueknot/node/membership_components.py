"""Builds the tasks that know the fleet and the platform's store."""

import dataclasses
from concurrent.futures import Executor

from fescueknot.membership import commands
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.feeds import StoreFeed
from fescueknot.membership.port import DatagramPort
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.readertask import ReaderTask
from fescueknot.membership.rosterwriter import RosterWriter
from fescueknot.membership.task import GossipTask
from fescueknot.node.bulk_http import BulkHttpClient
from fescueknot.node.control import ControlClient
from fescueknot.node.runtime import Runtime
from fescueknot.objectapi.http_store import HttpStore
from fescueknot.settings.model import NodeSettings

_WATCH_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class MembershipParts:
    """Gossip, the reader of the store, and the writer of rosters."""

    published: PublishedMembership
    gossip: GossipTask
    reader: ReaderTask
    rosters: RosterWriter

    def start(self, executor: Executor) -> None:
        """Start the tasks on threads of ``executor``."""
        self.gossip.start(executor)
        self.reader.start(executor)
        self.rosters.start(executor)

    def stop(self) -> None:
        """End the tasks."""
        self.rosters.stop()
        self.reader.stop()
        self.gossip.put(commands.Stop())

    def is_superseded(self) -> bool:
        """Tell whether a later start of the same name is running."""
        return self.published.status.is_superseded

    def announce(self, state: InstanceState) -> None:
        """Announce this instance in a state, unless it is announced so."""
        if self.published.status.own.state is state:
            return
        own = self.published.status.own
        notify = tuple(
            known.gossip
            for known in self.published.instances(own.service)
            if known.name != own.name
        )
        self.gossip.put(commands.Announce(state=state, notify=notify))


def build_membership(
    *,
    runtime: Runtime,
    settings: NodeSettings,
    control: ControlClient,
) -> MembershipParts:
    """Return the tasks; none is started."""
    own = _announcement(runtime, settings)
    published = PublishedMembership(own=own)
    gossip = GossipTask(
        core=MembershipCore(
            own=own,
            now_s=runtime.now_s(),
            seeds=settings.seeds,
        ),
        port=DatagramPort(
            address=settings.addresses.gossip,
            codec=DatagramCodec(key=settings.shared_key.encode()),
        ),
        published=published,
        bulk_client=BulkHttpClient(control=control),
        clock=runtime.clock,
        rng=runtime.rng,
    )
    store = HttpStore(address=settings.platform[0])
    reader = ReaderTask(
        feed=StoreFeed(store=store, wait_s=_WATCH_S),
        published=published,
        gossip=gossip,
        clock=runtime.clock,
        rng=runtime.rng,
    )
    rosters = RosterWriter(
        store=HttpStore(address=settings.platform[0]),
        rng=runtime.rng,
    )
    return MembershipParts(
        published=published,
        gossip=gossip,
        reader=reader,
        rosters=rosters,
    )


def _announcement(runtime: Runtime, settings: NodeSettings) -> Announcement:
    addresses = settings.addresses
    return Announcement(
        name=runtime.instance.name,
        incarnation=runtime.instance.incarnation,
        sequence=0,
        state=InstanceState.DRAINING,
        service=settings.service,
        region=settings.place.region,
        failure_domain=settings.place.failure_domain,
        host=addresses.entry.host,
        entry_port=addresses.entry.port,
        peer_port=addresses.peer.port,
        ops_port=addresses.ops.port,
        gossip_port=addresses.gossip.port,
        slots=settings.target_slots,
        stated_at_s=int(runtime.wall_s()),
    )
