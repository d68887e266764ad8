"""Proper and odd requests on one connection to a handler of callers."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fescueknot.httpio.connection import ServerConnection
from fescueknot.httpio.response_parser import ResponseParser
from tests.httpio.fake_transport import FakeTransport, NoOpOwner
from tests.relay.caller_handlers import ANSWERED, FakePeers, make_handler
from tests.relay.simulated_loop import run_simulated

_ODD_NUMBERS = (
    '\xb2',
    '9' * 400,
    '9' * 5000,
    '9' * 16,
    '-1',
    '1e5',
    '',
    '5, 5',
    '007',
)
_TEXTS = st.text(
    st.characters(
        min_codepoint=0x20, max_codepoint=0xFF, exclude_characters='\x7f'
    ),
    max_size=12,
)
_NUMBERS = st.one_of(st.sampled_from(_ODD_NUMBERS), _TEXTS)
_SEED_OF_EXAMPLES = settings(
    derandomize=True, deadline=None, max_examples=100, database=None
)


class _Peers(FakePeers):
    """Answers every call after some work."""

    def __init__(self):
        super().__init__(())

    async def send(self, call, node):
        self.calls.append(call)
        await asyncio.sleep(0.05)
        return ANSWERED


def _request(method, target, attempt, deadline, host):
    lines = (
        f'{method} {target} HTTP/1.1',
        f'host: {host}',
        f'attempt-id: {attempt}',
        f'deadline-ms: {deadline}',
    )
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


_REQUESTS = st.builds(
    _request,
    st.sampled_from(('GET', 'DELETE', 'OPTIONS')),
    st.sampled_from(('/a/1', '/a/?x', '//', '/', '*', '/a/%00', '/b/')),
    _TEXTS,
    _NUMBERS,
    st.one_of(st.sampled_from(('h', 'H:80')), _TEXTS),
)


def _answers(*pieces, **route):
    """Return the answers to pieces that arrive one after another."""

    async def scenario():
        connection = ServerConnection(
            handler=make_handler(_Peers(), **route), owner=NoOpOwner()
        )
        transport = FakeTransport()
        connection.connection_made(transport)
        for piece in pieces:
            connection.data_received(piece)
            await asyncio.sleep(0)
        await asyncio.sleep(10)
        return bytes(transport.written)

    written = run_simulated(scenario)
    return _parsed(written.removesuffix(b'(end)'))


def _parsed(written):
    parser = ResponseParser()
    return parser.feed(written)


class TestOddNumbers:
    """Headers whose numbers are none, or too large."""

    # Guards against a handler that fails: its caller gets a 500, and the
    # requests behind it on the connection are dropped.
    @pytest.mark.parametrize('number', _ODD_NUMBERS)
    def test_each_request_and_the_next_are_answered(self, number):
        odd = _request('GET', '/a/1', 'a', number, 'h')
        proper = _request('GET', '/a/1', 'b', '5000', 'h')
        answers = _answers(proper + odd + proper)
        statuses = [answer.status for answer in answers]
        assert statuses[::2] == [200, 200]
        assert statuses[1] in {200, 504}


class TestEveryRequest:
    """Requests of all kinds, in pieces of all sizes."""

    # Guards against a request that is read and gets no answer.
    @_SEED_OF_EXAMPLES
    @given(st.lists(_REQUESTS, min_size=1, max_size=20), st.data())
    def test_each_gets_an_answer_unless_one_before_it_closes(
        self, requests, data
    ):
        everything = b''.join(requests)
        cut = data.draw(st.integers(0, len(everything)))
        route = {'idempotent': data.draw(st.booleans())}
        answers = _answers(everything[:cut], everything[cut:], **route)
        closing = [answer.closing for answer in answers]
        assert not any(closing[:-1])
        assert len(answers) == len(requests) or closing[-1]
        assert all(answer.status != 500 for answer in answers)
