"""What this node knows about the services that it calls.

One :class:`ServiceChannel` per called service: the picker, the retry policy and
the connections to the nodes of its instances.
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
        self._announced: tuple[Announcement, ...] = ()
        self._peers: dict[InstanceId, Announcement] = {}
        self._pools: dict[Address, ConnectionPool] = {}
        self._known_since_s: dict[InstanceId, float] = {}

    def follow(self, announced: tuple[Announcement, ...]) -> None:
        """Take the instances known now, unless nothing has changed."""
        if announced is self._announced:
            return
        with self._lock:
            self._announced = announced
            self._peers = {known.instance: known for known in announced}
            self._note_age(self._clock.monotonic_s())
            self._drop_pools()
            self._picker.update(
                tuple(self._candidate(known) for known in announced),
            )

    def peer_address(self, instance: InstanceId) -> Address | None:
        """Return where the node of ``instance`` takes calls, if known."""
        known = self._peers.get(instance)
        return known.peer if known else None

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
        """Return the instance for an attempt and count it as started."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            picked = self._picker.pick(now_s, rng, exclude, rank)
            if isinstance(picked, Pick):
                self._picker.started(picked.instance)
            return picked

    def started(self, instance: InstanceId) -> None:
        """Count an attempt at an instance that was not picked here."""
        with self._lock:
            self._picker.started(instance)

    def finished(self, instance: InstanceId, result: CallResult) -> None:
        """Report the end of an attempt."""
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
        """Return whether a failed attempt is tried again."""
        with self._lock:
            return self._retries.decide(policy, attempt, allotment, rng)

    def _note_age(self, now_s: float) -> None:
        """Remember since when each instance is known; the first for ever."""
        unknown_s = now_s if self._known_since_s else float(0)
        self._known_since_s = {
            instance: self._known_since_s.get(instance, unknown_s)
            for instance in self._peers
        }

    def _candidate(self, known: Announcement) -> Candidate:
        state = CandidateState.SERVING
        if known.state is InstanceState.DRAINING:
            state = CandidateState.DRAINING
        return Candidate(
            instance=known.instance,
            place=known.place,
            state=state,
            started_s=self._known_since_s[known.instance],
        )

    def _drop_pools(self) -> None:
        addresses = {known.peer for known in self._peers.values()}
        for gone in self._pools.keys() - addresses:
            self._pools.pop(gone).drop_idle()


class ServiceChannels:
    """The service lines of this node by service name; thread-safe.

    A line is made when its service is first called, so that the state is
    bounded by the services that this node calls.
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
        self._lines: dict[str, ServiceChannel] = {}
        self._lock = threading.Lock()

    def find(self, service: str) -> ServiceChannel | None:
        """Return the line to ``service``, or None when it is unknown."""
        announced = self._published.instances(service)
        channel = self._lines.get(service)
        if channel is None:
            if not announced:
                return None
            channel = self._new_line(service)
        channel.follow(announced)
        return channel

    def _new_line(self, service: str) -> ServiceChannel:
        with self._lock:
            channel = ServiceChannel(
                viewpoint=self._viewpoint, clock=self._clock
            )
            return self._lines.setdefault(service, channel)


def load_report(verdict: Verdict) -> LoadReport | None:
    """Return what routing learns from the verdict of a node."""
    level = verdict.level
    if level is None:
        return None
    return LoadReport(
        limit=level.limit,
        in_flight=level.in_flight,
        waiting=level.waiting,
        level_rank=verdict.own_rank,
    )
