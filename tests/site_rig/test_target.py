"""The targets of the rig: how they leave and end."""

import asyncio
import pathlib
import random
import types

import msgspec
import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.exchanges import Answer
from tools.site_rig.records import Outcome, RecordFile, RunEnd, read_records
from tools.site_rig.site import CallRule, Site
from tools.site_rig.target import SiteTarget
from tools.site_rig.target_connection import Arrival


class Stand:
    """A target and its records."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / 'records.jsonl'
        self._records = RecordFile(path=self._path)
        self.target = SiteTarget(
            host=small_hosts()[0],
            site=small_site(),
            records=self._records,
            rng=random.Random(1),
        )

    async def answer(self, path: str):
        """Return the answer to a request."""
        arrival = Arrival(method='GET', path=path, headers={})
        return await self.target.answer(arrival)

    def ends(self) -> list[RunEnd]:
        """Return how the runs ended."""
        self._records.close()
        return [run.end for run in read_records(self._path)]


@pytest.fixture
def stand(tmp_path):
    return Stand(tmp_path)


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


class _Caller:
    """Answers each call, and keeps its id."""

    def __init__(self) -> None:
        self.attempts: list[str] = []

    async def send(self, order):
        """Answer."""
        self.attempts.append(order.attempt)
        return types.SimpleNamespace(
            outcome=Outcome.ANSWERED, answer=Answer(status=200)
        )


def _calling_site() -> Site:
    """Return a site whose reads call themselves once."""
    site = small_site()
    (read,) = site.classes
    calling = msgspec.structs.replace(read, calls=(CallRule(name='read'),))
    return msgspec.structs.replace(site, classes=(calling,))


class TestCalls:
    """Calls of a run."""

    # Guards against the run of a repeated request that is taken for that of
    # the first: their calls are requests of their own.
    def test_ids_of_calls_differ_between_targets(self, tmp_path):
        caller = _Caller()
        arrival = Arrival(
            method='GET',
            path='/read/1',
            headers={'x-fescueknot-attempt-id': 'first'},
        )
        for host in small_hosts()[:2]:
            target = SiteTarget(
                host=host,
                site=_calling_site(),
                records=RecordFile(path=tmp_path / host.name),
                rng=random.Random(1),
            )
            target._caller = caller
            asyncio.run(target.answer(arrival))
        assert len(caller.attempts) == 2
        assert len(set(caller.attempts)) == 2
