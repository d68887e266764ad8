"""Routing, retries and connections towards the services that a node calls.

One :class:`ServiceChannel` per called service has the picker, the retry policy
and the connections to the nodes of its instances.
"""

import random
import threading

from fescueknot.calls import CallPolicy
from fescueknot.clock import Clock
from fescueknot.identity import Address, InstanceId, Place
from fescueknot.membership.announcements import Announcement, InstanceState
from fescueknot.membership.published import PublishedMembership
from fescueknot.node.connections import ConnectionPool
from fescueknot.node.runtime import Runtime
from fescueknot.node.verdicts import Verdict
from fescueknot.retries.allotment import RetryAllotment
from fescueknot.retries.policy import (
    FailedAttempt,
    GiveUp,
    RetryAfter,
    RetryPolicy,
)
from fescueknot.routing.messages import (
    CallResult,
    Candidate,
    CandidateState,
    LoadReport,
    NoTarget,
    Pick,
)
from fescueknot.routing.picker import TargetPicker
from fescueknot.routing.subset import Viewpoint


class ServiceChannel:
    """Routing and retries towards one service; thread-safe."""

    def __init__(self, *, viewpoint: Viewpoint, clock: Clock) -> None:
        self._picker = TargetPicker(viewpoint=viewpoint)
        self._retries = RetryPolicy()
        self._clock = clock
        self._lock = threading.Lock()
        self._announcements: tuple[Announcement, ...] = ()
        self._by_instance: dict[InstanceId, Announcement] = {}
        self._pools: dict[Address, ConnectionPool] = {}
        self._known_since_s: dict[InstanceId, float] = {}

    def update(self, announcements: tuple[Announcement, ...]) -> None:
        """Apply the announced instances, if they have changed."""
        if announcements is self._announcements:
            return
        with self._lock:
            self._announcements = announcements
            self._by_instance = {
                announcement.instance: announcement
                for announcement in announcements
            }
            self._record_first_known(self._clock.monotonic_s())
            self._remove_unused_pools()
            self._picker.update(
                tuple(
                    self._candidate(announcement)
                    for announcement in announcements
                ),
            )

    def peer_address(self, instance: InstanceId) -> Address | None:
        """Return the peer address of the node of ``instance``, if known."""
        announcement = self._by_instance.get(instance)
        return announcement.peer if announcement else None

    def pool(self, instance: InstanceId) -> ConnectionPool | None:
        """Return the connections to the node of ``instance``, if known."""
        with self._lock:
            address = self.peer_address(instance)
            if address is None:
                return None
            pool = self._pools.get(address)
            if pool is None:
                pool = ConnectionPool(address=address)
                self._pools[address] = pool
            return pool

    def pick(
        self,
        rng: random.Random,
        exclude: frozenset[InstanceId],
        rank: float,
    ) -> Pick | NoTarget:
        """Pick the instance for an attempt and count the attempt."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            picked = self._picker.pick(now_s, rng, exclude, rank)
            if isinstance(picked, Pick):
                self._picker.started(picked.instance)
            return picked

    def started(self, instance: InstanceId) -> None:
        """Count an attempt at an instance that ``pick`` did not choose."""
        with self._lock:
            self._picker.started(instance)

    def finished(self, instance: InstanceId, result: CallResult) -> None:
        """Record the result of an attempt."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._picker.finished(instance, result, now_s)

    def first_attempt(self) -> None:
        """Count a first attempt towards the retry budget."""
        with self._lock:
            self._retries.first_attempt()

    def decide(
        self,
        policy: CallPolicy,
        attempt: FailedAttempt,
        allotment: RetryAllotment,
        rng: random.Random,
    ) -> RetryAfter | GiveUp:
        """Return whether, and after what wait, to retry."""
        with self._lock:
            return self._retries.decide(policy, attempt, allotment, rng)

    def _record_first_known(self, now_s: float) -> None:
        """Record since when each instance is known.

        Instances of the first update count as known since time 0, so that
        they are not treated as newly started.
        """
        first_known_s = now_s if self._known_since_s else float(0)
        self._known_since_s = {
            instance: self._known_since_s.get(instance, first_known_s)
            for instance in self._by_instance
        }

    def _candidate(self, announcement: Announcement) -> Candidate:
        state = CandidateState.SERVING
        if announcement.state is InstanceState.DRAINING:
            state = CandidateState.DRAINING
        return Candidate(
            instance=announcement.instance,
            place=announcement.place,
            state=state,
            started_s=self._known_since_s[announcement.instance],
        )

    def _remove_unused_pools(self) -> None:
        addresses = {
            announcement.peer for announcement in self._by_instance.values()
        }
        for unused in self._pools.keys() - addresses:
            self._pools.pop(unused).drop_idle()


class ServiceChannels:
    """The channels of this node by service name; thread-safe.

    A channel is created when its service is first called, so that the state
    is bounded by the services that this node calls.
    """

    def __init__(
        self,
        *,
        runtime: Runtime,
        place: Place,
        published: PublishedMembership,
    ) -> None:
        self._viewpoint = Viewpoint(node=runtime.instance, place=place)
        self._clock = runtime.clock
        self._published = published
        self._channels: dict[str, ServiceChannel] = {}
        self._lock = threading.Lock()

    def find(self, service: str) -> ServiceChannel | None:
        """Return the channel to ``service``, or None if it is unknown."""
        announcements = self._published.instances(service)
        channel = self._channels.get(service)
        if channel is None:
            if not announcements:
                return None
            channel = self._new_channel(service)
        channel.update(announcements)
        return channel

    def _new_channel(self, service: str) -> ServiceChannel:
        with self._lock:
            channel = ServiceChannel(
                viewpoint=self._viewpoint, clock=self._clock
            )
            return self._channels.setdefault(service, channel)


def load_report(verdict: Verdict) -> LoadReport | None:
    """Return the load report in the verdict of a node, if any."""
    level = verdict.level
    if level is None:
        return None
    return LoadReport(
        limit=level.limit,
        in_flight=level.in_flight,
        waiting=level.waiting,
        level_rank=verdict.own_rank,
    )
