"""What a node sends of its own accord, tick by tick."""

import random

from fescueknot.gossip.peer_choice import PeerChoice
from fescueknot.identity import Address
from fescueknot.membership import messages as wire
from fescueknot.membership.exchange import Exchanges
from fescueknot.membership.liveness import Liveness
from fescueknot.membership.view import LocalView
from fescueknot.membership.witnesses import Witnesses

TICK_PERIOD_S = 0.5
PAUSE_S = 3.0
SEED_PERIOD_S = 10.0
_EXPIRY_PERIOD_S = 60.0


class GossipSchedule:
    """Opens one exchange a tick, and pursues liveness.

    Seeds from the settings are tried while nobody else is known and now and
    then later, so that parts of the fleet that removed each other meet again.
    """

    def __init__(
        self,
        *,
        view: LocalView,
        exchanges: Exchanges,
        liveness: Liveness,
        witnesses: Witnesses,
        choice: PeerChoice,
        seeds: tuple[Address, ...],
    ) -> None:
        self._view = view
        self._exchanges = exchanges
        self._liveness = liveness
        self._witnesses = witnesses
        self._choice = choice
        self._seeds = seeds
        self._ticked_at_s: float | None = None
        self._seeded_at_s = -SEED_PERIOD_S
        self._expired_at_s = -_EXPIRY_PERIOD_S

    def tick(
        self, *, now_s: float, rng: random.Random
    ) -> tuple[wire.Outgoing, ...]:
        """Return the messages that are due."""
        self._notice_pause(now_s)
        if now_s - self._expired_at_s >= _EXPIRY_PERIOD_S:
            self._expired_at_s = now_s
            self._view.catalog.expire(wall_s=self._view.wall_s(now_s))
        sent = self._witnesses.tick(now_s=now_s)
        sent += self._liveness.tick(now_s=now_s, rng=rng)
        targets = self._seed(now_s, rng) + self._peer(now_s, rng)
        return sent + tuple(
            wire.Outgoing(
                target=target,
                message=self._exchanges.open(now_s=now_s, rng=rng),
            )
            for target in targets
        )

    def _notice_pause(self, now_s: float) -> None:
        """Trust no timeout that ran out while the process stood still."""
        last_s = now_s if self._ticked_at_s is None else self._ticked_at_s
        self._ticked_at_s = now_s
        if now_s - last_s > PAUSE_S:
            self._liveness.forget()
            self._witnesses.forget()

    def _seed(self, now_s: float, rng: random.Random) -> tuple[Address, ...]:
        is_alone = self._view.catalog.present_count <= 1
        is_due = now_s - self._seeded_at_s >= SEED_PERIOD_S
        if not self._seeds or not (is_alone or is_due):
            return ()
        self._seeded_at_s = now_s
        seed = rng.choice(self._seeds)
        return () if seed == self._view.own.gossip else (seed,)

    def _peer(self, now_s: float, rng: random.Random) -> tuple[Address, ...]:
        name = self._liveness.next_probe(now_s=now_s)
        if name is None:
            name = self._choice.pick(self._view.catalog.places, rng)
        if name is None:
            return ()
        return (self._view.catalog.find(name).gossip,)
