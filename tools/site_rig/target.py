"""A target: slots, work, calls of its runs and the records of them."""

import asyncio
import itertools
import random
import time

import msgspec

from fescueknot.platform.headers import PLATFORM_HEADERS as NAMES
from tools.site_rig.answer_ways import PLAIN, WAYS
from tools.site_rig.caller import Caller
from tools.site_rig.orders import Order
from tools.site_rig.records import Outcome, RecordFile, RunEnd, RunRecord
from tools.site_rig.replies import Reply
from tools.site_rig.scene import Host
from tools.site_rig.site import CallRule, RequestClass, Site
from tools.site_rig.target_connection import App, Arrival
from tools.site_rig.target_troubles import TargetTroubles

_MS_PER_S = 1000
_PARTS_OF_WORK = 2
_FULL = 503
_WRONG_TARGET = 421
_FAILED = 500
_TOO_LATE = 504
_OK = 200
_CONNECTION = 'connection'
_CLOSE = 'close'


class Run(msgspec.Struct, kw_only=True):
    """A request at work."""

    attempt: str
    kind: RequestClass
    arrived_s: float
    deadline_s: float
    began_s: float = 0

    @property
    def left_s(self) -> float:
        """Return the time until its deadline."""
        return self.arrived_s + self.deadline_s - time.monotonic()


class SiteTarget(App):
    """One target of a site."""

    def __init__(
        self,
        *,
        host: Host,
        site: Site,
        records: RecordFile,
        rng: random.Random,
        number: int = 0,
    ) -> None:
        self.host = host
        self.instance = f'i-{host.name}-{number}'
        self.is_leaving = False
        self.is_down = False
        self.started_ms = int(time.time() * _MS_PER_S)
        self._started_s = time.monotonic()
        self._site = site
        self._service = site.service_named(host.service)
        self._records = records
        self._rng = rng
        self.troubles = TargetTroubles(rng=rng)
        self._slots = asyncio.Semaphore(self._service.slots)
        self._present = 0
        self._calls = itertools.count()
        # Short, and of no other target of a run.
        self._tag = f'{host.ip.rpartition(".")[2]}-{number}'
        self._caller = Caller(host=host, records=records, rng=rng)

    @property
    def warmup_left_s(self) -> float:
        """Return for how long it stays slow after its start."""
        warm_s = self._started_s + self._service.cold_s
        return max(0, warm_s - time.monotonic())

    async def answer(self, arrival: Arrival) -> Reply:
        """Run one request, or reject it."""
        if arrival.path.startswith('/health'):
            return self._reply(_FULL if self.is_leaving else _OK, '')
        attempt = arrival.headers.get(NAMES.attempt, '')
        expected = arrival.headers.get(NAMES.expected_instance)
        run = self._run_of(arrival, attempt)
        if expected not in (None, self.instance):
            return self._reject(run, _WRONG_TARGET)
        if self._present >= self._service.slots + self._service.queue:
            return self._reject(run, _FULL)
        if self.troubles.sheds():
            return self._reject(run, _FULL)
        self._present += 1
        try:
            return await self._take(run)
        except asyncio.CancelledError:
            end = RunEnd.BROKE_OFF if self.is_down else RunEnd.CUT
            self._note(run, end, 0)
            raise
        finally:
            self._present -= 1

    def reject_early(self, arrival: Arrival) -> Reply | None:
        """Reject a long request before it is in, if it is time for that."""
        if not self.troubles.rejects_early():
            return None
        attempt = arrival.headers.get(NAMES.attempt, '')
        return self._reject(self._run_of(arrival, attempt), _FULL)

    async def _take(self, run: Run) -> Reply:
        async with self._slots:
            if run.left_s <= 0:
                return self._reject(run, _FULL)
            run.began_s = time.monotonic()
            try:
                status = await asyncio.wait_for(self._work(run), run.left_s)
            except TimeoutError:
                status = _TOO_LATE
        way = self.troubles.way()
        self._note(run, WAYS[way].end, status)
        size = int(run.kind.resp_bytes.draw(self._rng))
        return self._reply(status, run.attempt, body=b'x' * size, way=way)

    async def _work(self, run: Run) -> int:
        """Work, call in the middle, and return the status."""
        work_ms = run.kind.work_ms.draw(self._rng) / self.host.speed
        work_ms *= self.troubles.slowness
        if self.warmup_left_s:
            work_ms *= self._service.cold_x
        part_s = work_ms / _MS_PER_S / _PARTS_OF_WORK
        await asyncio.sleep(part_s)
        for rule in run.kind.calls:
            if not await self._call(run, rule):
                return _FAILED
        await asyncio.sleep(part_s)
        is_failing = self._rng.random() < run.kind.error_share
        return _FAILED if is_failing or self.troubles.fails() else _OK

    async def _call(self, run: Run, rule: CallRule) -> bool:
        kind = self._site.class_named(rule.name)
        attempts = [self._call_id(run) for _ in range(rule.times)]
        if rule.together:
            calls = [self._send(run, kind, attempt) for attempt in attempts]
            return all(await asyncio.gather(*calls))
        for attempt in attempts:
            if not await self._send(run, kind, attempt):
                return False
        return True

    async def _send(self, run: Run, kind: RequestClass, attempt: str) -> bool:
        left_ms = min(run.left_s * _MS_PER_S, kind.deadline_ms)
        exchange = await self._caller.send(
            Order(
                attempt=attempt,
                method=kind.method,
                path=f'/{kind.name}/{attempt}',
                deadline_ms=max(1, int(left_ms)),
                limit_ms=kind.limit_ms,
            )
        )
        is_answered = exchange.outcome is Outcome.ANSWERED
        return is_answered and exchange.answer.status == _OK

    def _call_id(self, run: Run) -> str:
        """Return an id that no run of the request has used, here or there."""
        return f'{run.attempt}.{self._tag}-{next(self._calls)}'

    def _run_of(self, arrival: Arrival, attempt: str) -> Run:
        kind = self._site.class_named(arrival.path.split('/')[1])
        given_ms = arrival.headers.get(NAMES.remaining_ms, kind.deadline_ms)
        return Run(
            attempt=attempt,
            kind=kind,
            arrived_s=time.monotonic(),
            deadline_s=float(given_ms) / _MS_PER_S,
        )

    def _reject(self, run: Run, status: int) -> Reply:
        self._note(run, RunEnd.REJECTED, status)
        return self._reply(status, run.attempt, more={NAMES.not_executed: '1'})

    def _reply(
        self,
        status: int,
        attempt: str,
        *,
        more: dict[str, str] | None = None,
        body: bytes = b'',
        way: str = PLAIN,
    ) -> Reply:
        slots = self._service.slots
        running = min(self._present, slots)
        load = f'{running},{self._present - running},{slots}'
        headers = {
            NAMES.attempt: attempt,
            NAMES.signature: self.instance,
            NAMES.instance: self.instance,
            NAMES.load: load,
        }
        if self.is_leaving:
            headers[_CONNECTION] = _CLOSE
        fields = headers | (more or {})
        return Reply(status=status, headers=fields, body=body, way=way)

    def _note(self, run: Run, end: RunEnd, status: int) -> None:
        self._records.add(
            RunRecord(
                attempt=run.attempt,
                target=self.host.name,
                arrived_s=run.arrived_s,
                began_s=run.began_s,
                ended_s=time.monotonic(),
                end=end,
                status=status,
            )
        )
