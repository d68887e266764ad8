"""One run of a fleet at the change rate of the planned size."""

import functools
import math
import statistics
import time
from collections.abc import Callable

import msgspec

from fescueknot.bench.fakenetwork import FakeNode
from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.bench.gossipload import Load
from fescueknot.gossip.peer_choice import PeerChoice

WARM_UP_S = 6.0
IDLE_S = 6.0
LOADED_S = 24.0
PATIENCE_S = 20.0
TRIALS = 4
SAMPLES = 12
SAMPLE_PERIOD_S = 0.3
_SMALL_FLEET = 100
_MS_PER_S = 1000


class GossipRun(msgspec.Struct, frozen=True, kw_only=True):
    """What one run measured; bytes and times are per node.

    Bytes are those sent, with the headers of IP and UDP; about as many are
    received. Times run from a change at one node until it is at all.
    ``cpu_ms_per_s`` includes the fake network.
    """

    choice: str
    size: int
    idle_bytes_per_s: float
    loaded_bytes_per_s: float
    loaded_far_bytes_per_s: float
    rule_median_s: float
    rule_longest_s: float
    drain_median_s: float
    drain_longest_s: float
    evidence_median_s: float
    evidence_longest_s: float
    cpu_ms_per_s: float
    largest_datagram_bytes: int
    bulk_copies: int


def measure(*, size: int, choice: type[PeerChoice], seed: int) -> GossipRun:
    """Run a fleet and return what it took."""
    where = places(regions=6, domains=13)
    if size < _SMALL_FLEET:
        where = places(regions=3, domains=6)
    fleet = Fleet(size=size, where=where, seed=seed, choice=choice)
    load = Load(fleet=fleet)
    load.run(WARM_UP_S, rates=())
    idle = _count(fleet, lambda: load.run(IDLE_S, rates=()))
    loaded = _count(fleet, lambda: load.run(LOADED_S, rates=load.rates()))
    rules_s = [_time_rule(fleet, load) for _ in range(TRIALS)]
    drains_s = [_time_drain(fleet, load) for _ in range(TRIALS)]
    ages_s = _ages_s(fleet, load)
    return GossipRun(
        choice=choice.__name__,
        size=size,
        idle_bytes_per_s=round(idle.sent_bytes / IDLE_S / size, 1),
        loaded_bytes_per_s=round(loaded.sent_bytes / LOADED_S / size, 1),
        loaded_far_bytes_per_s=round(loaded.far_bytes / LOADED_S / size, 1),
        rule_median_s=round(statistics.median(rules_s), 2),
        rule_longest_s=round(max(rules_s), 2),
        drain_median_s=round(statistics.median(drains_s), 2),
        drain_longest_s=round(max(drains_s), 2),
        evidence_median_s=round(statistics.median(ages_s), 2),
        evidence_longest_s=round(max(ages_s), 2),
        cpu_ms_per_s=round(loaded.cpu_s / LOADED_S / size * _MS_PER_S, 3),
        largest_datagram_bytes=fleet.network.traffic.largest_bytes,
        bulk_copies=fleet.network.traffic.bulk_copies,
    )


def _ages_s(fleet: Fleet, load: Load) -> list[float]:
    """Return the ages of all nodes' evidence at several moments."""
    ages_s = []
    for _ in range(SAMPLES):
        load.run(SAMPLE_PERIOD_S, rates=())
        now_s = fleet.network.now_s
        ages_s.extend(
            node.core.evidence(node.clock_s(now_s)).age_s
            for node in fleet.nodes
        )
    return ages_s


class _Counts(msgspec.Struct, frozen=True, kw_only=True):
    sent_bytes: int
    far_bytes: int
    cpu_s: float


def _count(fleet: Fleet, run: Callable[[], None]) -> _Counts:
    """Return the traffic and processor time of ``run``."""
    traffic = fleet.network.traffic
    sent_bytes = traffic.total_bytes
    far_bytes = traffic.inter_region_bytes
    begun_s = time.process_time()
    run()
    return _Counts(
        sent_bytes=traffic.total_bytes - sent_bytes,
        far_bytes=traffic.inter_region_bytes - far_bytes,
        cpu_s=time.process_time() - begun_s,
    )


def _time_rule(fleet: Fleet, load: Load) -> float:
    revision = load.change_rule()
    return _time(fleet, lambda node: node.view.documents.held >= revision)


def _time_drain(fleet: Fleet, load: Load) -> float:
    changed = load.toggle()
    name = changed.name
    version = changed.view.own.version
    return _time(
        fleet, lambda node: node.view.catalog.find(name).version >= version
    )


def _time(fleet: Fleet, knows: Callable[[FakeNode], bool]) -> float:
    """Return how long until all nodes know, infinite when too long."""
    begun_s = fleet.network.now_s
    pending = list(fleet.nodes)
    is_done = fleet.network.run(
        until_s=begun_s + PATIENCE_S,
        is_done=functools.partial(_is_known, pending, knows),
    )
    return fleet.network.now_s - begun_s if is_done else math.inf


def _is_known(
    pending: list[FakeNode], knows: Callable[[FakeNode], bool]
) -> bool:
    while pending and knows(pending[-1]):
        pending.pop()
    return not pending
