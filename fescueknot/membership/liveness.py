"""Liveness: each node watches a few others.

It watches its successors on the ring of its failure domain and on the ring
of its service, so that each instance has a few watchers at several places.
"""

import random

from fescueknot.membership import messages as wire
from fescueknot.membership.announcements import InstanceState
from fescueknot.membership.eviction_limiter import EvictionGuard
from fescueknot.membership.suspicion import Case, Denial
from fescueknot.membership.view import LocalView
from fescueknot.membership.witness_selection import (
    denials_needed,
    inquiries,
    is_near,
)

WATCHED_PER_RING = 2
PROBE_PERIOD_S = 1.5
PROBE_TIMEOUT_S = 1.0
CASES_LIMIT = 4


class Liveness:
    """Probes that are under way and the cases that came of them."""

    def __init__(self, *, view: LocalView) -> None:
        self._view = view
        self._guard = EvictionGuard(catalog=view.catalog)
        self._turn = 0
        self._probed_at_s = -PROBE_PERIOD_S
        self._awaited: dict[str, float] = {}
        self._cases: dict[str, Case] = {}

    def heard(self, name: str, incarnation: int) -> None:
        """Note a sign of life."""
        self._awaited.pop(name, None)
        case = self._cases.get(name)
        if case is not None and case.target.incarnation <= incarnation:
            self._cases.pop(name)

    def forget(self) -> None:
        """Drop all probes and cases, after a pause."""
        self._awaited.clear()
        self._cases.clear()

    def next_probe(self, *, now_s: float) -> str | None:
        """Return whom to gossip with now to see whether it is alive."""
        if now_s - self._probed_at_s < PROBE_PERIOD_S:
            return None
        watched = [name for name in self._watched() if name not in self._cases]
        if not watched:
            return None
        self._turn += 1
        self._probed_at_s = now_s
        name = watched[self._turn % len(watched)]
        self._awaited.setdefault(name, now_s)
        return name

    def testify(self, message: wire.Testimony, *, now_s: float) -> None:
        """Take a witness's word in."""
        case = self._cases.get(message.target)
        witness = self._view.catalog.find(message.name)
        if case is None or witness is None:
            return
        if message.target_incarnation != case.target.incarnation:
            return
        if message.is_reached:
            self._cases.pop(message.target)
            return
        near = is_near(self._view, target=case.target, witness=witness)
        case.add(Denial(witness=message.name, is_near=near, at_s=now_s))

    def tick(
        self, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Open, pursue and decide cases; return probes and witness calls."""
        self._open_cases(now_s)
        sent: list[wire.Outgoing] = []
        for name, case in tuple(self._cases.items()):
            self._refresh(name, case, now_s)
        for case in self._cases.values():
            if case.asks(now_s=now_s):
                sent.extend(inquiries(self._view, case.target, rng))
        return tuple(sent)

    def _watched(self) -> tuple[str, ...]:
        own = self._view.own
        catalog = self._view.catalog
        domain = catalog.places[own.place]
        near = domain.successors(own.name, WATCHED_PER_RING)
        siblings = catalog.index.services[own.service]
        akin = siblings.successors(own.name, WATCHED_PER_RING)
        return tuple(dict.fromkeys(near + akin))

    def _open_cases(self, now_s: float) -> None:
        for name, probed_at_s in tuple(self._awaited.items()):
            if now_s - probed_at_s < PROBE_TIMEOUT_S:
                continue
            self._awaited.pop(name)
            target = self._view.catalog.find(name)
            if target is None or len(self._cases) >= CASES_LIMIT:
                continue
            self._cases.setdefault(name, Case(target=target, now_s=now_s))

    def _refresh(self, name: str, case: Case, now_s: float) -> None:
        """Follow what others announced, then decide."""
        known = self._view.catalog.find(name)
        if known is None or known.is_ended:
            self._cases.pop(name)
            return
        if known.version[:2] != case.target.version[:2]:
            self._cases.pop(name)
            return
        if known.state is not case.target.state:
            case.restart(known, now_s=now_s)
        if case.is_ripe(now_s=now_s, needed=denials_needed(self._view)):
            self._declare(case, now_s)

    def _declare(self, case: Case, now_s: float) -> None:
        wall_s = self._view.wall_s(now_s)
        if not self._guard.allows(case.target, wall_s=wall_s):
            return
        state = InstanceState.LOST
        if case.target.is_working:
            state = InstanceState.SUSPECT
        declared = case.target.restated(state=state, wall_s=wall_s)
        self._view.merge(declared, now_s=now_s)
        case.restart(declared, now_s=now_s)
