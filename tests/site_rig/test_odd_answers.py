"""Odd answers of the rig's targets, as a caller reads them."""

import asyncio
import functools

import pytest

from tools.site_rig.answer_ways import WAYS
from tools.site_rig.records import RunEnd
from tools.site_rig.replies import Reply
from tools.site_rig.target_connection import App, Arrival, TargetConnection

BODY = b'y' * 100
REQUEST = b'GET /a/b HTTP/1.1\r\nhost: h\r\n\r\n'
WAIT_S = 0.5
# For what a target sends on, however busy the machine is.
AMPLE_S = 300
MUCH_BYTES = 400_000
SOME_BYTES = 500
ENDLESS = sorted(name for name in WAYS if name.startswith('endless '))
SLOW = ('endless slow body', 'endless slow interim', 'endless slow lines')


class FixedApp(App):
    """Answers each request in one way."""

    def __init__(self, *, way: str, is_early: bool = False) -> None:
        self.reply = Reply(status=200, headers={}, body=BODY, way=way)
        self.is_early = is_early

    async def answer(self, arrival: Arrival) -> Reply:
        return self.reply

    def reject_early(self, arrival: Arrival) -> Reply | None:
        return self.reply if self.is_early else None


async def read_all(
    reader: asyncio.StreamReader,
    most: int = MUCH_BYTES,
    wait_s: float = WAIT_S,
) -> tuple[bytes, str]:
    """Read up to a number of bytes; return them and how that ended."""
    received = b''
    try:
        async with asyncio.timeout(wait_s):
            while len(received) < most:
                chunk = await reader.read(65_536)
                if not chunk:
                    return received, 'end'
                received += chunk
    except TimeoutError:
        return received, 'open'
    except ConnectionResetError:
        return received, 'reset'
    return received, 'much'


async def exchange(
    app: App,
    sent: bytes = REQUEST,
    most: int = MUCH_BYTES,
    wait_s: float = WAIT_S,
) -> tuple[bytes, str]:
    """Send bytes to a target and return what it sends back."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        functools.partial(TargetConnection, app=app), '127.0.0.1', 0
    )
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(sent)
    try:
        return await read_all(reader, most, wait_s)
    finally:
        writer.transport.abort()
        server.close()


def answer(way: str) -> tuple[bytes, str]:
    return asyncio.run(exchange(FixedApp(way=way)))


class _ShortOutlet:
    """Counts what is sent, and closes after some pieces."""

    def __init__(self) -> None:
        self.sent_bytes = 0
        self._left = 20

    @property
    def is_closed(self) -> bool:
        return self._left <= 0

    def write(self, sent: bytes) -> None:
        self.sent_bytes += len(sent)
        self._left -= 1

    async def flow(self) -> None:
        """Let all go on."""


class TestEndless:
    """Answers without end go on until their caller closes."""

    # Guards against a kind that ends, or that sends nothing. Slow ones send
    # some, the others much.
    @pytest.mark.parametrize('way', ENDLESS)
    def test_goes_on(self, way):
        most = SOME_BYTES if way in SLOW else MUCH_BYTES
        received, ending = asyncio.run(
            exchange(FixedApp(way=way), most=most, wait_s=AMPLE_S)
        )

        assert len(received) >= most
        assert ending == 'much'

    # Guards against slow kinds that are sent fast, or fast ones slowly.
    @pytest.mark.parametrize('way', ENDLESS)
    def test_rate(self, way, monkeypatch):
        pauses_s = []

        async def sleep(pause_s: float) -> None:
            pauses_s.append(pause_s)

        monkeypatch.setattr(asyncio, 'sleep', sleep)
        outlet = _ShortOutlet()
        reply = Reply(status=200, headers={}, body=BODY, way=way)
        asyncio.run(WAYS[way].send(outlet, reply))

        rate = outlet.sent_bytes / sum(pauses_s)
        assert (rate * WAIT_S < MUCH_BYTES) is (way in SLOW)

    # Guards against an endless answer that the rule takes for a sound one.
    @pytest.mark.parametrize('way', ENDLESS)
    def test_counts_as_broken_off(self, way):
        assert WAYS[way].end is RunEnd.BROKE_OFF

    # Guards against a target that sends on when its caller is gone.
    def test_ends_with_the_connection(self):
        async def play() -> list[asyncio.Task]:
            await exchange(FixedApp(way='endless chunks'))
            await asyncio.sleep(0.1)
            return [
                task
                for task in asyncio.all_tasks()
                if task is not asyncio.current_task()
            ]

        assert asyncio.run(play()) == []


class TestOddWays:
    """Answers that are lost, cut, spoiled or doubled."""

    # Guards against a way that looks like another one to its caller.
    @pytest.mark.parametrize(
        ('way', 'ending', 'answers', 'bodies'),
        [
            ('', 'open', 1, 1),
            ('lost', 'open', 0, 0),
            ('lost by reset', 'reset', 0, 0),
            ('cut head', 'end', 1, 0),
            ('cut body', 'end', 1, 0),
            ('spoiled', 'open', 1, 1),
            ('twice', 'open', 2, 2),
            ('twice late', 'open', 2, 2),
            ('unframed', 'end', 1, 1),
            ('unframed reset', 'reset', 1, 0),
        ],
    )
    def test_what_is_read(self, way, ending, answers, bodies):
        received, seen = answer(way)

        assert seen == ending
        assert received.count(b'HTTP/1.1 200') == answers
        assert received.count(BODY) == bodies

    # Guards against a pause that ends the answer, or none.
    def test_stalled(self):
        async def halves() -> tuple[bytes, bytes, float]:
            loop = asyncio.get_running_loop()
            app = FixedApp(way='stalled')
            server = await loop.create_server(
                functools.partial(TargetConnection, app=app), '127.0.0.1', 0
            )
            port = server.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(REQUEST)
            first, _ = await read_all(reader, 60)
            began_s = loop.time()
            rest = await reader.readexactly(len(BODY) // 2)
            writer.transport.abort()
            server.close()
            return first, rest, loop.time() - began_s

        first, rest, pause_s = asyncio.run(halves())
        assert first.endswith(b'\r\n\r\n' + BODY[:50])
        assert rest == BODY[50:]
        assert pause_s > 0.3

    # Guards against a spoiled answer that can be read all the same.
    def test_spoiled_begins_with_no_answer(self):
        assert not answer('spoiled')[0].startswith(b'HTTP/')

    # Guards against an unframed answer that has a length.
    def test_unframed_has_no_length(self):
        assert b'content-length' not in answer('unframed')[0].lower()

    # Guards against an early rejection that waits for the body.
    def test_early(self):
        head = b'POST /a HTTP/1.1\r\ncontent-length: 9000\r\n\r\n'
        early = FixedApp(way='', is_early=True)

        assert asyncio.run(exchange(early, head))[0].endswith(BODY)
        assert asyncio.run(exchange(FixedApp(way=''), head))[0] == b''

    # Guards against a second answer when the body has come, and against a
    # connection that serves nothing after an early rejection.
    def test_serves_on_after_early(self):
        upload = b'POST /a HTTP/1.1\r\ncontent-length: 9000\r\n\r\n%s' % (
            b'z' * 9000
        )
        early = FixedApp(way='', is_early=True)
        received, _ = asyncio.run(exchange(early, upload + REQUEST))

        assert received.count(BODY) == 2
