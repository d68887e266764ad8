"""The gates of the stand-in store: what they do to calls."""

import asyncio
import random

import pytest

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Limits, Request, Response
from tests.site_rig.small_site import small_hosts
from tools.site_rig.scene import Disruption
from tools.site_rig.store_gates import GateState, StoreGate, StoreGates
from tools.site_rig.store_player import state_of

HOSTS = small_hosts()
READ = Request(method='GET', target='/v1/objects/a', headers=())
WATCH = Request(method='GET', target='/v1/objects/a?watch=3', headers=())
REMOVAL = Request(method='DELETE', target='/v1/objects/a/b', headers=())
WRITE = Request(method='PUT', target='/v1/objects/a/b', headers=())


class Store(Handler):
    """Takes all calls."""

    def __init__(self) -> None:
        self.calls = 0

    def limits(self) -> Limits:
        return Limits()

    async def answer(self, request: Request, peer: str) -> Response | None:
        self.calls += 1
        return Response(status=200)


class Stand:
    """A gate before a store."""

    def __init__(self, state: GateState) -> None:
        self.store = Store()
        self.gate = StoreGate(store=self.store, rng=random.Random(1))
        self.gate.state = state

    def call(self, request: Request) -> Response | None:
        """Return the answer to a call, and let late work be done."""

        async def called() -> Response | None:
            answer = await self.gate.answer(request, '127.0.0.1')
            await turns()
            return answer

        return asyncio.run(called())


async def turns() -> None:
    for _ in range(10):
        await asyncio.sleep(0)


class TestGate:
    """What a gate does in each of its states."""

    # Guards against a gate that harms calls when nothing is wrong.
    @pytest.mark.parametrize('call', [READ, WATCH, WRITE])
    def test_open(self, call):
        stand = Stand(GateState())

        assert stand.call(call).status == 200
        assert stand.store.calls == 1

    # Guards against a refusal that does what it refuses.
    def test_busy(self):
        stand = Stand(GateState(is_busy=True))

        statuses = {stand.call(WRITE).status for _ in range(30)}

        assert statuses == {429, 503}
        assert stand.store.calls == 0

    # Guards against a reset that answers.
    def test_reset(self):
        stand = Stand(GateState(is_resetting=True))

        assert stand.call(READ) is None
        assert stand.store.calls == 0

    # Guards against lost answers whose writes are lost too.
    @pytest.mark.parametrize(
        ('call', 'is_answered'), [(WRITE, False), (READ, True)]
    )
    def test_lost_answers(self, call, is_answered):
        stand = Stand(GateState(lost_share=1))

        assert (stand.call(call) is not None) is is_answered
        assert stand.store.calls == 1

    # Guards against silence that ends without the store's return.
    def test_silent(self):
        async def called() -> bool:
            stand = Stand(GateState(is_silent=True))
            call = asyncio.ensure_future(stand.gate.answer(READ, ''))
            await turns()
            is_answered = call.done() or bool(stand.store.calls)
            call.cancel()
            return is_answered

        assert not asyncio.run(called())

    # Guards against answers that cross a cut of one direction, or a call that
    # does not.
    @pytest.mark.parametrize('call', [READ, WRITE])
    def test_mute(self, call):
        async def called() -> tuple[bool, int]:
            stand = Stand(GateState(is_mute=True))
            waiting = asyncio.ensure_future(stand.gate.answer(call, ''))
            await turns()
            is_answered = waiting.done()
            waiting.cancel()
            return is_answered, stand.store.calls

        assert asyncio.run(called()) == (False, 1)

    # Guards against watches that hear what the drill hides from them.
    def test_deaf(self):
        async def called() -> list:
            stand = Stand(GateState(is_deaf=True))
            read = await stand.gate.answer(READ, '')
            watch = asyncio.ensure_future(stand.gate.answer(WATCH, ''))
            await turns()
            is_early = watch.done()
            stand.gate.state = GateState()
            return [read.status, is_early, await watch]

        assert asyncio.run(called()) == [200, False, None]


class TestLastWriter:
    """Which host wrote last."""

    # Guards against a leader that only reads, or wrote before another.
    def test_last(self):
        gates = StoreGates(rng=random.Random(1))
        first, second, third = (gates.gate(host) for host in HOSTS[:3])

        async def called() -> None:
            for gate in (second, first):
                await gate.answer(REMOVAL, '')
            await third.answer(READ, '')

        asyncio.run(called())

        assert gates.last_writer() is first


class TestStates:
    """Which state a word of the site file gives a gate."""

    # Guards against a word that is played as another one.
    @pytest.mark.parametrize(
        ('how', 'ratio', 'state'),
        [
            ('silent', 0, GateState(is_silent=True)),
            ('busy', 0, GateState(is_busy=True)),
            ('reset', 0, GateState(is_resetting=True)),
            ('deaf', 0, GateState(is_deaf=True)),
            ('mute', 0, GateState(is_mute=True)),
            ('mute leader', 0, GateState(is_mute=True)),
            ('slow', 50, GateState(delay_s=0.2)),
            ('lost', 0.3, GateState(lost_share=0.3)),
            ('lost late', 0.3, GateState(lost_share=0.3, late_s=(1, 6))),
        ],
    )
    def test_state(self, how, ratio, state):
        disruption = Disruption(at_s=1, kind='store_gate', how=how, ratio=ratio)

        assert state_of(disruption) == state
