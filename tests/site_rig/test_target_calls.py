"""The calls that runs at targets make."""

import asyncio
import pathlib
import random

import msgspec

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.exchanges import Exchange
from tools.site_rig.orders import Order
from tools.site_rig.records import Outcome, RecordFile
from tools.site_rig.site import CallRule, Site
from tools.site_rig.target import NAMES, SiteTarget
from tools.site_rig.target_connection import Arrival

ARRIVAL = Arrival(method='GET', path='/read/1', headers={NAMES.attempt: 'a'})
RULES = (CallRule(name='read', times=2), CallRule(name='read', together=True))
RUNS, STARTS = 2, 2


class Calls:
    """Stands for the caller of a target; notes the ids of what it sends."""

    def __init__(self) -> None:
        self.attempts: list[str] = []

    def __call__(self, **options) -> 'Calls':
        return self

    async def send(self, order: Order) -> Exchange:
        self.attempts.append(order.attempt)
        exchange = Exchange()
        exchange.outcome = Outcome.ANSWERED
        exchange.answer = msgspec.structs.replace(exchange.answer, status=200)
        return exchange


def calling_site() -> Site:
    site = small_site()
    kind = msgspec.structs.replace(site.classes[0], calls=RULES)
    return msgspec.structs.replace(site, classes=(kind,))


async def run_at(folder: pathlib.Path, number: int) -> None:
    target = SiteTarget(
        host=small_hosts()[0],
        site=calling_site(),
        records=RecordFile(path=folder / f'{number}.jsonl'),
        rng=random.Random(1),
        number=number,
    )
    for _ in range(RUNS):
        await target.answer(ARRIVAL)


class TestIds:
    """Ids of calls."""

    # Guards against two requests under one id, as where a request runs again:
    # the runs of one would be taken for those of the other.
    def test_unique(self, tmp_path, monkeypatch):
        calls = Calls()
        monkeypatch.setattr('tools.site_rig.target.Caller', calls)

        for number in range(STARTS):
            asyncio.run(run_at(tmp_path, number))

        assert len(calls.attempts) == 3 * RUNS * STARTS
        assert len(set(calls.attempts)) == len(calls.attempts)
        assert all(each.startswith('a.') for each in calls.attempts)
