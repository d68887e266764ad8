"""Failure detection: each node probes a few other instances.

A node watches its successors on the ring of its failure domain and on the
ring of its service, so that each instance is watched by a few nodes in
several failure domains.
"""

import random

from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.eviction_limiter import EvictionLimiter
from fescueknot.membership.suspicion import FailureReport, Suspicion
from fescueknot.membership.view import LocalView
from fescueknot.membership.witness_selection import (
    failure_reports_needed,
    is_near,
    witness_requests,
)

WATCHED_PER_RING = 2
PROBE_PERIOD_S = 1.5
PROBE_TIMEOUT_S = 1.0
MAX_SUSPICIONS = 4


class Liveness:
    """Pending probes, and the suspicions opened when a probe times out."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._eviction_limiter = EvictionLimiter(catalog=view.catalog)
        self._probe_count = 0
        self._last_probe_at_s = -PROBE_PERIOD_S
        self._pending_probes: dict[str, float] = {}
        self._suspicions: dict[str, Suspicion] = {}

    def record_message(self, name: str, incarnation: int) -> None:
        """Record that a message of the instance ``name`` was received."""
        self._pending_probes.pop(name, None)
        suspicion = self._suspicions.get(name)
        if (
            suspicion is not None
            and suspicion.target.incarnation <= incarnation
        ):
            self._suspicions.pop(name)

    def clear(self) -> None:
        """Remove all probes and suspicions, after a pause of the process."""
        self._pending_probes.clear()
        self._suspicions.clear()

    def next_probe(self, *, now_s: float) -> str | None:
        """Return the watched instance to probe now by an exchange, if due."""
        if now_s - self._last_probe_at_s < PROBE_PERIOD_S:
            return None
        watched = [
            name for name in self._watched() if name not in self._suspicions
        ]
        if not watched:
            return None
        self._probe_count += 1
        self._last_probe_at_s = now_s
        name = watched[self._probe_count % len(watched)]
        self._pending_probes.setdefault(name, now_s)
        return name

    def record_report(
        self, message: wire.WitnessReport, *, now_s: float
    ) -> None:
        """Apply a witness's report."""
        suspicion = self._suspicions.get(message.target)
        witness = self._view.catalog.find(message.name)
        if suspicion is None or witness is None:
            return
        if message.target_incarnation != suspicion.target.incarnation:
            return
        if message.is_reached:
            self._suspicions.pop(message.target)
            return
        is_near_witness = is_near(
            self._view, target=suspicion.target, witness=witness
        )
        suspicion.add_report(
            FailureReport(
                witness=message.name, is_near=is_near_witness, at_s=now_s
            )
        )

    def tick(
        self, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Advance all suspicions; return probes and witness requests."""
        self._open_suspicions(now_s)
        messages: list[wire.Outgoing] = []
        for name, suspicion in tuple(self._suspicions.items()):
            self._advance(name, suspicion, now_s)
        for suspicion in self._suspicions.values():
            if suspicion.take_due_request(now_s=now_s):
                messages.extend(
                    witness_requests(self._view, suspicion.target, rng)
                )
        return tuple(messages)

    def _watched(self) -> tuple[str, ...]:
        own = self._view.own
        catalog = self._view.catalog
        domain_ring = catalog.places[own.place]
        domain_successors = domain_ring.successors(own.name, WATCHED_PER_RING)
        service_ring = catalog.index.services[own.service]
        service_successors = service_ring.successors(own.name, WATCHED_PER_RING)
        return tuple(dict.fromkeys(domain_successors + service_successors))

    def _open_suspicions(self, now_s: float) -> None:
        for name, probed_at_s in tuple(self._pending_probes.items()):
            if now_s - probed_at_s < PROBE_TIMEOUT_S:
                continue
            self._pending_probes.pop(name)
            target = self._view.catalog.find(name)
            if target is None or len(self._suspicions) >= MAX_SUSPICIONS:
                continue
            self._suspicions.setdefault(
                name, Suspicion(target=target, now_s=now_s)
            )

    def _advance(self, name: str, suspicion: Suspicion, now_s: float) -> None:
        """Apply state announced by other nodes, then advance if possible."""
        current = self._view.catalog.find(name)
        if current is None or current.is_ended:
            self._suspicions.pop(name)
            return
        if current.version[:2] != suspicion.target.version[:2]:
            self._suspicions.pop(name)
            return
        if current.state is not suspicion.target.state:
            suspicion.start_stage(current, now_s=now_s)
        if suspicion.can_advance(
            now_s=now_s, reports_needed=failure_reports_needed(self._view)
        ):
            self._announce_failure(suspicion, now_s)

    def _announce_failure(self, suspicion: Suspicion, now_s: float) -> None:
        wall_s = self._view.wall_s(now_s)
        if not self._eviction_limiter.allows(suspicion.target, wall_s=wall_s):
            return
        state = InstanceState.LOST
        if suspicion.target.is_working:
            state = InstanceState.SUSPECT
        announcement = suspicion.target.with_state(state=state, wall_s=wall_s)
        self._view.merge(announcement, now_s=now_s)
        suspicion.start_stage(announcement, now_s=now_s)
