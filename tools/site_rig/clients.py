"""Clients of one failure domain: requests at its rate."""

import asyncio
import itertools
import math
import random
import statistics
import time
from types import MappingProxyType

from tools.site_rig.caller import Caller, Order
from tools.site_rig.exchanges import Exchange
from tools.site_rig.member import Member
from tools.site_rig.records import Outcome
from tools.site_rig.scene import Disruption, Host
from tools.site_rig.site import RequestClass, Traffic

_MS_PER_S = 1000
_SPARE_CONNECTIONS = 2
_IDLE_SHARE = 0.8
_RETRIES = 1
_LEAST_LEFT_S = 0.05
_RETRIED_STATUSES = frozenset((408, 421, 429, 503))
# Requests that are sent at once.
_LENGTHS = MappingProxyType({'pool': (1,), 'pipeline': (1, 2, 3)})
_BURST = 6
_BURST_SPAN_S = 0.3


class Client:
    """One client of a host."""

    def __init__(
        self, *, host: Host, member: Member, rng: random.Random
    ) -> None:
        self.host = host
        self._callers = {
            habit: Caller(host=host, records=member.records, rng=rng)
            for habit in ('pool', 'pipeline')
        }
        self._rng = rng

    async def open(self) -> None:
        """Open connections that are used later."""
        for caller in self._callers.values():
            for _ in range(_SPARE_CONNECTIONS):
                await caller.open()

    def set_idle_limit(self, limit_s: float) -> None:
        """Reuse connections that have been idle for less."""
        for caller in self._callers.values():
            caller.idle_limit_s = _IDLE_SHARE * limit_s

    async def request(self, kind: RequestClass, attempt: str) -> None:
        """Send a request, and again what may be sent again."""
        ends_s = time.monotonic() + kind.deadline_ms / _MS_PER_S
        body = b'x' * int(kind.req_bytes.draw(self._rng))
        for number in range(1 + _RETRIES):
            left_s = ends_s - time.monotonic()
            if left_s < _LEAST_LEFT_S:
                return
            order = Order(
                attempt=f'{attempt}-{number}',
                method=kind.method,
                path=f'/{kind.name}/{attempt}',
                deadline_ms=int(left_s * _MS_PER_S),
                limit_ms=kind.limit_ms,
                body=body,
                is_pipelined=kind.habit == 'pipeline',
                is_on_new_connection=number > 0,
            )
            exchange = await self._callers[kind.habit].send(order)
            if not _is_sent_again(kind, exchange):
                return
            await asyncio.sleep(min(exchange.retry_after_s, left_s / 3))


class Clients:
    """The clients of one failure domain."""

    def __init__(self, *, traffic: Traffic, member: Member) -> None:
        scene = member.scene
        seed = f'{scene.seed} {traffic.zone}'
        self._rng = random.Random(seed)  # noqa: S311
        self._scene = scene
        self._traffic = traffic
        self._numbers = itertools.count()
        hosts = [host for host in scene.hosts if host.zone == traffic.zone]
        self._clients = [
            Client(host=host, member=member, rng=self._rng)
            for host, _ in zip(
                itertools.cycle(hosts), range(traffic.clients), strict=False
            )
        ]
        self._kinds = [scene.site.class_named(name) for name in traffic.mix]
        self._weights = [
            traffic.mix[kind.name] / _mean_length(kind) for kind in self._kinds
        ]
        self._requests: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests from the start of the load to its end."""
        await asyncio.sleep(self._scene.began_s - time.monotonic())
        for client in self._clients:
            self._start(client.open())
        for disruption in self._scene.disruptions:
            self._start(self._meet(disruption))
        await self._load()
        await asyncio.gather(*self._requests)

    async def _load(self) -> None:
        due_s = time.monotonic()
        while due_s < self._scene.ends_s:
            due_s += self._rng.expovariate(self._rate_per_s(due_s))
            await asyncio.sleep(due_s - time.monotonic())
            kind = self._rng.choices(self._kinds, self._weights)[0]
            self._send(self._rng.choice(self._present()), kind)

    def _present(self) -> list[Client]:
        at_s = time.monotonic() - self._scene.began_s
        return [
            client for client in self._clients if client.host.is_there(at_s)
        ]

    def _rate_per_s(self, now_s: float) -> float:
        shape = self._traffic.shape
        turn = (now_s - self._scene.began_s) / shape.period_s + shape.phase
        wave = 1 + shape.swing * math.sin(math.tau * turn)
        return self._traffic.per_s * self._scene.rate_ratio * wave

    def _send(self, client: Client, kind: RequestClass) -> None:
        for _ in range(self._rng.choice(_LENGTHS[kind.habit])):
            name = f'{self._traffic.zone}-{next(self._numbers)}'
            self._start(client.request(kind, name))

    async def _meet(self, disruption: Disruption) -> None:
        """Follow an idle limit; press a host that is about to stop."""
        at_s = self._scene.began_s + disruption.at_s
        if disruption.idle_limit_s:
            await asyncio.sleep(at_s - time.monotonic())
            for client in self._clients:
                client.set_idle_limit(disruption.idle_limit_s)
        if not disruption.is_busy:
            return
        await asyncio.sleep(at_s - _BURST_SPAN_S - time.monotonic())
        beside = [
            near for near in self._clients if near.host.name == disruption.host
        ]
        for pressing in beside * _BURST:
            self._send(pressing, self._rng.choice(self._kinds))
            await asyncio.sleep(_BURST_SPAN_S / (_BURST * len(beside)))

    def _start(self, work) -> None:
        task = asyncio.ensure_future(work)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)


def _mean_length(kind: RequestClass) -> float:
    return statistics.mean(_LENGTHS[kind.habit])


def _is_sent_again(kind: RequestClass, exchange: Exchange) -> bool:
    if exchange.outcome is Outcome.ANSWERED:
        is_retried = exchange.status in _RETRIED_STATUSES
        is_failed = exchange.status >= 500
        return is_retried or (is_failed and kind.is_idempotent)
    return kind.is_idempotent and exchange.outcome is Outcome.ENDED
