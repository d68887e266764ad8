"""One client of a host: its requests and what it sends again."""

import asyncio
import random
import time

from tools.site_rig.caller import Caller
from tools.site_rig.client_troubles import ClientTroubles
from tools.site_rig.exchanges import Exchange
from tools.site_rig.library_caller import LibraryCaller
from tools.site_rig.manners import Manner
from tools.site_rig.member import Member
from tools.site_rig.orders import Order
from tools.site_rig.records import Outcome
from tools.site_rig.scene import Host
from tools.site_rig.site import RequestClass

_MS_PER_S = 1000
_SPARE_CONNECTIONS = 2
_IDLE_SHARE = 0.8
_LEAST_LEFT_S = 0.05
_RETRIED_STATUSES = frozenset((408, 421, 429, 503))
_FAILURES = 500
_PIPELINE = 'pipeline'
_UPLOADS = frozenset(('POST', 'PUT'))
HABITS = ('pool', _PIPELINE)


class Client:
    """One client of a host; ``place`` (0 to 1) is where it stands in shares."""

    def __init__(
        self,
        *,
        host: Host,
        member: Member,
        rng: random.Random,
        troubles: ClientTroubles,
        manner: Manner,
        place: float,
    ) -> None:
        self.host = host
        self.manner = manner
        self.place = place
        self._troubles = troubles
        self._callers = {
            habit: _caller(host, member, rng, manner) for habit in HABITS
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
        body = b'x' * self._body_bytes(kind)
        habit = _PIPELINE if self.manner.is_pipelined else kind.habit
        repeats = self._troubles.repeats(self.place)
        for number in range(1 + self._troubles.retries(self.place)):
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
                is_pipelined=habit == _PIPELINE,
                is_on_new_connection=number > 0,
                patience_s=self._troubles.patience_s(self.place, kind.aim_ms),
            )
            exchange = await self._callers[habit].send(order)
            if not _is_sent_again(kind, exchange):
                return
            if not repeats:
                pause_s = exchange.answer.retry_after_s
                await asyncio.sleep(min(pause_s, left_s / 3))

    def _body_bytes(self, kind: RequestClass) -> int:
        drawn = int(kind.req_bytes.draw(self._rng))
        is_upload = kind.method in _UPLOADS or self.manner.is_pipelined
        return max(drawn, self.manner.body_bytes) if is_upload else drawn


def _caller(
    host: Host, member: Member, rng: random.Random, manner: Manner
) -> Caller | LibraryCaller:
    if manner.is_library:
        return LibraryCaller(host=host, records=member.records)
    return Caller(
        host=host,
        records=member.records,
        rng=rng,
        manner=manner,
        delay_s=member.scene.site.net.client_ms / _MS_PER_S,
    )


def _is_sent_again(kind: RequestClass, exchange: Exchange) -> bool:
    if exchange.outcome is Outcome.ANSWERED:
        status = exchange.answer.status
        is_retried = status in _RETRIED_STATUSES
        return is_retried or (status >= _FAILURES and kind.is_idempotent)
    return kind.is_idempotent and exchange.outcome is Outcome.ENDED
