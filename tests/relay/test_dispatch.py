"""Answers of a target over a connection, and what they announce."""

import asyncio

import msgspec
import pytest

from fescueknot.platform.headers import PLATFORM_HEADERS
from fescueknot.relay.announcement import Announcement
from fescueknot.relay.dispatch import HttpDispatcher
from fescueknot.relay.messages import Ending
from tests.httpio.raw_server import RawServer
from tests.relay.fakes import make_call, run

_SIGNED = f'{PLATFORM_HEADERS.signature}: s'
_ECHO = f'{PLATFORM_HEADERS.attempt}: c'
_NOT_RUN = f'{PLATFORM_HEADERS.not_executed}: 1'
_LIMITED = 'Server-Limit: 11.5'
_LEAVING = 'Server-Leaving: 1'


def _response(*headers, status=200):
    lines = (f'HTTP/1.1 {status} S', 'Content-Length: 2', *headers, '', 'ok')
    return '\r\n'.join(lines).encode()


def _reply(*responses, expires_in_s=30):
    async def scenario():
        server = await RawServer(*responses).start()
        dispatcher = HttpDispatcher(
            address=server.address, header_names=PLATFORM_HEADERS
        )
        now_s = asyncio.get_running_loop().time()
        call = msgspec.structs.replace(
            make_call('c'), expires_s=now_s + expires_in_s
        )
        return await dispatcher.send(call)

    return run(scenario)


class TestAnnouncements:
    """Announcements in the headers of answers."""

    def test_an_answer_announces_and_keeps_its_headers(self):
        reply = _reply(_response(_ECHO, _SIGNED, _LIMITED, _LEAVING))
        assert reply.announcement == Announcement(
            rate_limit_per_s=11.5, is_leaving=True
        )
        names = {name for name, _ in reply.response.headers}
        assert {'server-limit', 'server-leaving'} <= names

    @pytest.mark.parametrize('status', [429, 503])
    def test_a_refusal_by_the_target_announces_too(self, status):
        refusal = _response(_ECHO, _NOT_RUN, _LIMITED, status=status)
        reply = _reply(refusal)
        assert reply.head.ending is Ending.TURNED_AWAY
        assert reply.announcement.rate_limit_per_s == 11.5

    def test_another_target_announces_nothing_for_this_one(self):
        other = _response(_ECHO, _NOT_RUN, _LIMITED, _LEAVING, status=421)
        assert _reply(other).announcement is None

    def test_a_copy_of_an_earlier_answer_announces_nothing(self):
        earlier = _response(
            f'{PLATFORM_HEADERS.attempt}: before', _SIGNED, _LIMITED
        )
        reply = _reply(earlier + _response(_ECHO, _SIGNED))
        assert reply.announcement == Announcement()

    def test_an_answer_that_does_not_end_announces_nothing(self):
        endless = _response(_ECHO, _SIGNED, _LIMITED)[:-1]
        reply = _reply(endless, expires_in_s=0.2)
        assert reply.head.ending is Ending.UNKNOWN
        assert reply.announcement is None
