"""Clients of one failure domain: requests at its rate."""

import asyncio
import itertools
import math
import random
import statistics
import time
from types import MappingProxyType

from tools.site_rig.client import Client
from tools.site_rig.client_player import ClientPlayer
from tools.site_rig.client_troubles import ClientTroubles
from tools.site_rig.manners import manner_of
from tools.site_rig.member import Member
from tools.site_rig.new_work import NewWork
from tools.site_rig.player import play_all
from tools.site_rig.scene import Disruption
from tools.site_rig.site import RequestClass, Traffic

# Requests that are sent at once.
_LENGTHS = MappingProxyType({'pool': (1,), 'pipeline': (1, 2, 3)})
_PIPELINED = (3,)
_BURST = 6
_BURST_SPAN_S = 0.3


class Clients:
    """The clients of one failure domain."""

    def __init__(self, *, traffic: Traffic, member: Member) -> None:
        scene = member.scene
        seed = f'{scene.seed} {traffic.zone}'
        self._rng = random.Random(seed)  # noqa: S311
        self._member = member
        self._traffic = traffic
        self._numbers = itertools.count()
        self._new_work = NewWork(folder=scene.folder)
        self._troubles = ClientTroubles(zone=traffic.zone, rng=self._rng)
        zones = {host.zone: None for host in scene.hosts}
        self._clients = {zone: self._clients_of(zone) for zone in zones}
        self._kinds = [scene.site.class_named(name) for name in traffic.mix]
        self._weights = [
            traffic.mix[kind.name] / _mean_length(kind) for kind in self._kinds
        ]
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests from the start of the load to its end."""
        scene = self._member.scene
        await asyncio.sleep(scene.began_s - time.monotonic())
        for client in self._clients[self._traffic.zone]:
            self._start(client.open())
        for disruption in scene.disruptions:
            self._start(self._meet(disruption))
        player = ClientPlayer(
            troubles=self._troubles, records=self._member.records
        )
        playing = asyncio.ensure_future(play_all(scene, (player,)))
        await self._load()
        playing.cancel()
        await asyncio.gather(*self._requests)

    def _clients_of(self, zone: str) -> list[Client]:
        """Return as many clients as there are, at the hosts of a domain."""
        scene = self._member.scene
        hosts = [host for host in scene.hosts if host.zone == zone]
        count = self._traffic.clients
        return [
            Client(
                host=host,
                member=self._member,
                rng=self._rng,
                troubles=self._troubles,
                manner=manner_of(number, scene.odd_share),
                place=number / count,
            )
            for number, host in zip(
                range(count), itertools.cycle(hosts), strict=False
            )
        ]

    async def _load(self) -> None:
        due_s = time.monotonic()
        while due_s < self._member.scene.ends_s:
            due_s += self._rng.expovariate(self._rate_per_s(due_s))
            await asyncio.sleep(due_s - time.monotonic())
            kind = self._rng.choices(self._kinds, self._weights)[0]
            present = self._present()
            if present:
                self._send(self._rng.choice(present), kind)

    def _present(self) -> list[Client]:
        """Return the clients whose machine gets new work."""
        shift = self._troubles.shift
        zone = shift.to_zone if shift else self._traffic.zone
        taking = self._new_work.hosts()
        return [
            client
            for client in self._clients[zone]
            if client.host.name in taking
        ]

    def _rate_per_s(self, now_s: float) -> float:
        shape, scene = self._traffic.shape, self._member.scene
        turn = (now_s - scene.began_s) / shape.period_s + shape.phase
        wave = 1 + shape.swing * math.sin(math.tau * turn)
        ratio = scene.rate_ratio * self._troubles.rate_ratio
        return self._traffic.per_s * ratio * wave

    def _send(self, client: Client, kind: RequestClass) -> None:
        lengths = _LENGTHS[kind.habit]
        if client.manner.is_pipelined:
            lengths = _PIPELINED
        for _ in range(self._rng.choice(lengths)):
            name = f'{self._traffic.zone}-{next(self._numbers)}'
            self._start(client.request(kind, name))

    async def _meet(self, disruption: Disruption) -> None:
        """Follow an idle limit; press a host that is about to stop."""
        at_s = self._member.scene.began_s + disruption.at_s
        clients = self._clients[self._traffic.zone]
        if disruption.idle_limit_s:
            await asyncio.sleep(at_s - time.monotonic())
            for client in clients:
                client.set_idle_limit(disruption.idle_limit_s)
        if not disruption.is_busy:
            return
        await asyncio.sleep(at_s - _BURST_SPAN_S - time.monotonic())
        beside = [near for near in clients if near.host.name == disruption.host]
        for pressing in beside * _BURST:
            self._send(pressing, self._rng.choice(self._kinds))
            await asyncio.sleep(_BURST_SPAN_S / (_BURST * len(beside)))

    def _start(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)


def _mean_length(kind: RequestClass) -> float:
    return statistics.mean(_LENGTHS[kind.habit])
