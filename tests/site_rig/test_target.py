"""The targets of the rig: how they leave and end."""

import asyncio
import pathlib
import random
from types import SimpleNamespace

import msgspec
import pytest

from fescueknot.httpio.messages import Request, Response
from fescueknot.platform.headers import PLATFORM_HEADERS
from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.exchanges import Answer, Exchange
from tools.site_rig.heartbeats import Heartbeats
from tools.site_rig.records import (
    Outcome,
    RecordFile,
    RunEnd,
    read_records,
)
from tools.site_rig.site import CallRule, Distribution, Site
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_connection import Arrival

_MODULE = 'tools.site_rig.target'


class Stand:
    """A target and its records."""

    def __init__(
        self,
        folder: pathlib.Path,
        site: Site | None = None,
        number: int = 0,
    ) -> None:
        self._path = folder / 'records.jsonl'
        self._records = RecordFile(path=self._path)
        self.target = SiteTarget(
            host=small_hosts()[0],
            site=site or small_site(),
            records=self._records,
            rng=random.Random(1),
            number=number,
        )

    async def answer(self, path: str):
        """Return the answer to a request."""
        headers = {PLATFORM_HEADERS.attempt: 'r1'}
        arrival = Arrival(method='GET', path=path, headers=headers)
        return await self.target.answer(arrival)

    def ends(self) -> list[RunEnd]:
        """Return how the runs ended."""
        self._records.close()
        return [run.end for run in read_records(self._path)]


def cold_site(**fields) -> Site:
    """Return a site whose targets are slow at first."""
    site = small_site()
    return msgspec.structs.replace(
        site,
        services=tuple(
            msgspec.structs.replace(service, cold_s=3, cold_x=2)
            for service in site.services
        ),
        classes=(msgspec.structs.replace(site.classes[0], **fields),),
    )


@pytest.fixture
def stand(tmp_path):
    return Stand(tmp_path)


class TestStart:
    """A target that has just started."""

    # Guards against targets that are never slow, or always.
    @pytest.mark.parametrize(
        ('at_s', 'left_s', 'work_s'), [(0, 3, 0.2), (2, 1, 0.2), (3, 0, 0.1)]
    )
    def test_slow_at_first(self, tmp_path, monkeypatch, at_s, left_s, work_s):
        now_s, slept_s = [100], []

        async def sleep(for_s: float) -> None:
            slept_s.append(for_s)

        monkeypatch.setattr(f'{_MODULE}.time.monotonic', lambda: now_s[0])
        monkeypatch.setattr(f'{_MODULE}.asyncio.sleep', sleep)
        work = Distribution(mean=100, max=100)
        stand = Stand(tmp_path, cold_site(work_ms=work))
        now_s[0] += at_s

        left = stand.target.warmup_left_s
        asyncio.run(stand.answer('/read/1'))

        assert left == left_s
        assert sum(slept_s) == work_s

    # Guards against heartbeats that hide it.
    @pytest.mark.parametrize(('left_s', 'told_ms'), [(1.25, 1250), (0, 0)])
    def test_heartbeats(self, tmp_path, left_s, told_ms):
        target = SimpleNamespace(
            host=small_hosts()[0],
            instance='i',
            is_leaving=False,
            started_ms=1,
            warmup_left_s=left_s,
        )
        sent = []

        async def exchange(request: Request) -> Response:
            sent.append(msgspec.json.decode(request.body))
            return Response(status=200)

        beats = Heartbeats(target=target, slots=2)
        beats._client = SimpleNamespace(exchange=exchange)

        assert asyncio.run(beats.tell())
        assert [told['warmupLeftMs'] for told in sent] == [told_ms]


class TestCalls:
    """Calls that runs make."""

    # Guards against taking the call of one run for that of another.
    def test_ids(self, tmp_path, monkeypatch):
        orders = []

        async def send(caller, order) -> Exchange:
            orders.append(order.attempt)
            exchange = Exchange()
            exchange.outcome = Outcome.ANSWERED
            exchange.answer = Answer(status=200)
            return exchange

        monkeypatch.setattr(f'{_MODULE}.Caller.send', send)
        rules = (CallRule(name='read', times=2),)
        once = Distribution(mean=0, max=0)
        stands = []
        for number in (1, 2):
            folder = tmp_path / str(number)
            folder.mkdir()
            site = cold_site(work_ms=once, calls=rules)
            stands.append(Stand(folder, site, number))
        for stand in (*stands, *stands):
            asyncio.run(stand.answer('/read/1'))

        assert len(orders) == 8
        assert len(set(orders)) == 8
        assert all(order.startswith('r1.') for order in orders)


class TestLeaving:
    """A target that leaves."""

    # Guards against a target that leaves and looks as if it stayed.
    @pytest.mark.parametrize(
        ('is_leaving', 'status', 'connection'),
        [(False, 200, None), (True, 503, 'close')],
    )
    def test_answers(self, stand, is_leaving, status, connection):
        stand.target.is_leaving = is_leaving

        health = asyncio.run(stand.answer('/health'))
        answer = asyncio.run(stand.answer('/read/1'))

        assert health.status == status
        assert answer.status == 200
        assert answer.headers.get('connection') == connection


class TestEnd:
    """A target that ends with requests at work."""

    # Guards against blaming a node for a target that broke off.
    @pytest.mark.parametrize(
        ('is_down', 'end'), [(False, RunEnd.CUT), (True, RunEnd.BROKE_OFF)]
    )
    def test_broken_off(self, stand, is_down, end):
        async def cut() -> None:
            answer = asyncio.ensure_future(stand.answer('/read/1'))
            await asyncio.sleep(0)
            stand.target.is_down = is_down
            answer.cancel()
            await asyncio.wait((answer,))

        asyncio.run(cut())

        assert stand.ends() == [end]
